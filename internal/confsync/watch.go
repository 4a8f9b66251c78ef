package confsync

import (
	"errors"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/membership"
	"masticturn/internal/platform"
	"masticturn/internal/rendezvous"
	"masticturn/internal/telemetry"
)

// WatchStep is a step of following the document in the store.
type WatchStep uint8

// The steps of following the document in the store.
const (
	WatchIdle    WatchStep = iota // others of the region watch
	WatchReading                  // the head is being read
	WatchWaiting                  // a watch waits for changes
	WatchPausing                  // after an error, before the next read
)

// String returns the name used in tests and logs.
func (s WatchStep) String() string {
	return [...]string{"idle", "reading", "waiting", "pausing"}[s]
}

// WatchSteps returns all steps.
func WatchSteps() []WatchStep {
	return []WatchStep{WatchIdle, WatchReading, WatchWaiting, WatchPausing}
}

// watchState is the state of following the document in the store. At most one
// call is under way at any time.
type watchState struct {
	step     WatchStep
	watcher  bool              // chosen to watch
	since    platform.Version  // version to wait from
	readAt   time.Time         // last successful read
	resumeAt time.Time         // end of WatchPausing
	failures int               // in a row
	lastErr  error             // of the last call; nil when it succeeded
	disputed config.Generation // generation last found to exist twice
	stale    config.Generation // generation in force when a stale answer was last logged
}

// watchers returns the daemons of a region that watch, by rendezvous hashing
// over its live members.
func watchers(v *membership.View, region string) []membership.Member {
	var live []membership.Member
	for _, m := range v.InRegion(region) {
		if m.State == membership.Alive {
			live = append(live, m)
		}
	}
	return rendezvous.Top("config.watch/"+region, live, watchersPerRegion, nameOf)
}

func nameOf(m membership.Member) string { return m.Name }

// elect finds out whether this daemon is to watch. A daemon that knows nobody
// else of its region watches.
func (c *core) elect() {
	chosen := watchers(c.view, c.self.Region)
	is := len(chosen) == 0
	for _, m := range chosen {
		is = is || m.Name == c.self.Name
	}
	if is && !c.watch.watcher {
		c.log(eventWatcher)
	}
	c.watch.watcher = is
	if is && c.watch.step == WatchIdle {
		c.startRead()
	}
}

func (c *core) startRead() {
	c.watch.step = WatchReading
	c.emit(readHead{})
}

// onHead takes the result of reading the head: the document, nil when the
// store has none. The error is repository.ErrNoDocument or that of the store.
func (c *core) onHead(now time.Time, d *held, version platform.Version, err error) {
	if err != nil && !errors.Is(err, repository.ErrNoDocument) {
		c.watchFailed(now, err)
		return
	}
	c.watchSucceeded(err)
	c.watch.readAt = now
	c.watch.since = version
	c.fromWatch(d)
	c.goOn()
}

// onWatch takes the result of a watch: the newest document reported, nil when
// there was no change.
func (c *core) onWatch(now time.Time, d *held, version platform.Version, err error) {
	if err != nil {
		c.watchFailed(now, err)
		return
	}
	c.watchSucceeded(c.watch.lastErr)
	c.watch.since = version
	c.fromWatch(d)
	if now.Sub(c.watch.readAt) >= readInterval {
		c.startRead()
		return
	}
	c.goOn()
}

func (c *core) fromWatch(d *held) {
	if d != nil {
		c.watch.lastErr = nil
		c.adopt(d, fromStore, "")
	}
	c.storeTried, c.storeAnswered = true, true
	c.checkReady()
}

// goOn watches on, or leaves it to others.
func (c *core) goOn() {
	if !c.watch.watcher {
		c.watch.step = WatchIdle
		return
	}
	c.watch.step = WatchWaiting
	c.emit(watchHead{c.watch.since})
}

// watchSucceeded notes an answer of the store; noDocument is
// repository.ErrNoDocument or nil.
func (c *core) watchSucceeded(noDocument error) {
	if c.watch.failures > 0 {
		c.log(eventStoreBack)
	}
	c.watch.failures = 0
	c.watch.lastErr = noDocument
}

func (c *core) watchFailed(now time.Time, err error) {
	if c.watch.failures == 0 {
		c.log(eventStoreLost, telemetry.Step(c.watch.step.String()), telemetry.Err(err))
	}
	c.storeTried = true
	c.checkReady()
	c.watch.failures++
	c.watch.lastErr = err
	c.watch.step = WatchPausing
	c.watch.resumeAt = now.Add(c.backoff())
}

// backoff doubles with each failure, with jitter down to half.
func (c *core) backoff() time.Duration {
	limit := maxBootWait
	if c.watch.watcher {
		limit = maxBackoff
	}
	wait := min(minBackoff<<min(c.watch.failures-1, 10), limit)
	return wait/2 + time.Duration(c.random.Int64N(int64(wait/2)))
}

// tickWatch reads again after a pause. A daemon that need not watch stops
// asking once it is ready.
func (c *core) tickWatch(now time.Time) {
	if c.watch.step != WatchPausing || now.Before(c.watch.resumeAt) {
		return
	}
	if !c.watch.watcher && c.ready {
		c.watch.step = WatchIdle
		return
	}
	c.startRead()
}
