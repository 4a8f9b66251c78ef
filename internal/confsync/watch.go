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

// WatchStep is a state of watching the document in the store.
type WatchStep uint8

// The states of watching the document in the store.
const (
	WatchIdle    WatchStep = iota // other daemons of the region watch
	WatchReading                  // the head is being read
	WatchWaiting                  // a watch waits for changes
	WatchPausing                  // backoff after an error, before the next read
)

// String returns the name of the state, as used in logs.
func (s WatchStep) String() string {
	return [...]string{"idle", "reading", "waiting", "pausing"}[s]
}

// WatchSteps returns all steps.
func WatchSteps() []WatchStep {
	return []WatchStep{WatchIdle, WatchReading, WatchWaiting, WatchPausing}
}

// watchState is the state of watching the document in the store. At most one call is in progress at
// any time.
type watchState struct {
	step           WatchStep
	isWatcher      bool              // selected as a watcher of its region
	since          platform.Version  // version after which to watch
	readAt         time.Time         // last successful read
	retryAt        time.Time         // end of WatchPausing
	failures       int               // consecutive
	lastErr        error             // of the last call; nil if it succeeded
	conflictGen    config.Generation // last generation with two different documents
	staleLoggedGen config.Generation // generation in force when a stale answer was last logged
}

// selectWatchers returns the daemons of a region that watch the store, chosen by rendezvous hashing
// over its live members.
func selectWatchers(v *membership.View, region string) []membership.Member {
	var live []membership.Member
	for _, m := range v.InRegion(region) {
		if m.State == membership.Alive {
			live = append(live, m)
		}
	}
	return rendezvous.Top("config.watch/"+region, live, watchersPerRegion, memberName)
}

func memberName(m membership.Member) string { return m.Name }

// updateWatcherRole determines whether this daemon is a watcher of its region. It is one as well if
// it knows no live member of the region.
func (c *core) updateWatcherRole() {
	chosen := selectWatchers(c.view, c.self.Region)
	selected := len(chosen) == 0
	for _, m := range chosen {
		selected = selected || m.Name == c.self.Name
	}
	if selected && !c.watch.isWatcher {
		c.log(eventWatcher)
	}
	c.watch.isWatcher = selected
	if selected && c.watch.step == WatchIdle {
		c.startRead()
	}
}

func (c *core) startRead() {
	c.watch.step = WatchReading
	c.emit(readHead{})
}

// onHead handles the result of reading the head: the document, or nil if the store has none. The
// error is repository.ErrNoDocument or an error of the store.
func (c *core) onHead(now time.Time, d *loadedDocument, version platform.Version, err error) {
	if err != nil && !errors.Is(err, repository.ErrNoDocument) {
		c.watchFailed(now, err)
		return
	}
	c.watchSucceeded(err)
	c.watch.readAt = now
	c.watch.since = version
	c.adoptFromStore(d)
	c.continueWatch()
}

// onWatch handles the result of a watch: the newest document reported, or nil if there was no
// change.
func (c *core) onWatch(now time.Time, d *loadedDocument, version platform.Version, err error) {
	if err != nil {
		c.watchFailed(now, err)
		return
	}
	c.watchSucceeded(c.watch.lastErr)
	c.watch.since = version
	c.adoptFromStore(d)
	if now.Sub(c.watch.readAt) >= readInterval {
		c.startRead()
		return
	}
	c.continueWatch()
}

func (c *core) adoptFromStore(d *loadedDocument) {
	if d != nil {
		c.watch.lastErr = nil
		c.adopt(d, fromStore, "")
	}
	c.storeTried, c.storeAnswered = true, true
	c.updateReady()
}

// continueWatch starts the next watch if this daemon is a watcher, and otherwise becomes idle.
func (c *core) continueWatch() {
	if !c.watch.isWatcher {
		c.watch.step = WatchIdle
		return
	}
	c.watch.step = WatchWaiting
	c.emit(watchHead{c.watch.since})
}

// watchSucceeded records that the store answered. noDocument is repository.ErrNoDocument or nil.
func (c *core) watchSucceeded(noDocument error) {
	if c.watch.failures > 0 {
		c.log(eventStoreRecovered)
	}
	c.watch.failures = 0
	c.watch.lastErr = noDocument
}

func (c *core) watchFailed(now time.Time, err error) {
	if c.watch.failures == 0 {
		c.log(eventStoreLost, telemetry.Step(c.watch.step.String()), telemetry.Err(err))
	}
	c.storeTried = true
	c.updateReady()
	c.watch.failures++
	c.watch.lastErr = err
	c.watch.step = WatchPausing
	c.watch.retryAt = now.Add(c.backoff())
}

// backoff returns the delay before the next read. It doubles with each failure, up to a limit;
// jitter reduces it by up to half.
func (c *core) backoff() time.Duration {
	limit := maxInitialBackoff
	if c.watch.isWatcher {
		limit = maxBackoff
	}
	wait := min(minBackoff<<min(c.watch.failures-1, 10), limit)
	return wait/2 + time.Duration(c.random.Int64N(int64(wait/2)))
}

// tickWatch reads the head again once the backoff has passed. A daemon that is not a watcher stops
// reading once it is ready.
func (c *core) tickWatch(now time.Time) {
	if c.watch.step != WatchPausing || now.Before(c.watch.retryAt) {
		return
	}
	if !c.watch.isWatcher && c.ready {
		c.watch.step = WatchIdle
		return
	}
	c.startRead()
}
