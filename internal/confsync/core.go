package confsync

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/membership"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// Times and bounds of the spread.
const (
	tickInterval = 100 * time.Millisecond

	// fetchDelay is how long a daemon that learns of a higher generation waits for a push before it
	// fetches; up to as much again is added at random.
	fetchDelay = 100 * time.Millisecond
	// fetchRetry is the wait after a peer that did not help. It doubles, up to
	// maxFetchRetry, each time all have been asked in vain.
	fetchRetry    = 200 * time.Millisecond
	maxFetchRetry = 5 * time.Second

	// readInterval is how often a watcher reads the head besides watching, in
	// case a watch has lost track.
	readInterval = 10 * time.Second
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = time.Second      // of watchers
	maxBootWait  = 10 * time.Second // of the first read of others

	// awayAfter is the gap between two ticks from which on the process counts
	// as having been paused.
	awayAfter = 3 * time.Second

	watchersPerRegion = 2
	// repairAfter is the time after an adoption from which members still behind are pushed to again.
	repairAfter    = time.Second
	repairInterval = 400 * time.Millisecond
	repairers      = 2 // daemons that push again to one that is behind

	treeDegree    = 8 // pushes of one daemon for each root of its region
	maxRoots      = 4 // roots that a daemon relays for, per generation
	maxPushBytes  = 32 << 10
	maxPieceBytes = 256 << 10
)

// source is where a document came from.
type source uint8

const (
	fromStore   source = iota // read or watched by this daemon
	fromApply                 // accepted through this daemon
	fromPush                  // pushed by a peer
	fromFetch                 // asked of a peer
	sourceCount = iota
)

func (s source) String() string {
	return [sourceCount]string{"store", "apply", "push", "fetch"}[s]
}

// core decides what a daemon adopts, asks, and passes on. It takes events with
// the time and returns actions; it does no I/O and takes no locks.
type core struct {
	self   membership.Member
	random *rand.Rand
	view   *membership.View
	cur    *held

	watch watchState
	fetch fetchState
	relay relayState

	storeTried    bool      // the store answered or failed since start or pause
	storeAnswered bool      // it answered
	peerAnswered  bool      // a peer answered or pushed
	ready         bool      // has caught up once since start or pause
	since         time.Time // start or end of the last pause
	lastTick      time.Time
	out           []action
}

func newCore(self membership.Member, seed uint64) *core {
	return &core{
		self:   self,
		random: rand.New(rand.NewPCG(seed, seed)),
		view:   &membership.View{Self: self.Name},
	}
}

// action is one thing for the adapter to do.
type action any

type (
	readHead  struct{}                         // read the head; answered by onHead
	watchHead struct{ since platform.Version } // wait for changes; answered by onWatch
	fetchFrom struct{ peer string }            // ask a peer; answered by onFetched
	pushTo    struct {
		peer    string
		message pushMessage
	}
	publish  struct{ doc *held } // put in force
	logEvent struct {
		event  *telemetry.Event
		fields []telemetry.Field
	}
)

func (c *core) emit(a action) { c.out = append(c.out, a) }

func (c *core) log(e *telemetry.Event, fields ...telemetry.Field) {
	c.emit(logEvent{e, fields})
}

// take returns the actions due and forgets them.
func (c *core) take() []action {
	out := c.out
	c.out = nil
	return out
}

// onStart begins: ask the store, and the peers already known.
func (c *core) onStart(now time.Time) {
	c.lastTick, c.since = now, now
	c.startRead()
	c.considerFetch(now)
}

// onView takes a new view of the members.
func (c *core) onView(now time.Time, v *membership.View) {
	if v.Version < c.view.Version {
		return
	}
	c.view = v
	c.elect()
	c.considerFetch(now)
	c.checkReady()
}

// onTick takes the passing of time.
func (c *core) onTick(now time.Time) {
	if now.Sub(c.lastTick) > awayAfter {
		c.wakeUp(now)
	}
	c.lastTick = now
	c.tickWatch(now)
	c.tickFetch(now)
	c.tickRepair(now)
	c.checkReady()
}

// wakeUp starts over as far as readiness goes: while this process was paused,
// others may have gone on.
func (c *core) wakeUp(now time.Time) {
	c.log(eventAway, telemetry.Value("seconds", now.Sub(c.lastTick).Seconds()))
	c.storeTried, c.storeAnswered, c.peerAnswered, c.ready = false, false, false, false
	c.fetch.startOver()
	c.fetch.tried = 0
	c.since = now
	if c.watch.step == WatchPausing || c.watch.step == WatchIdle {
		c.startRead()
	}
	c.considerFetch(now)
}

// onApplied takes a document that was accepted through this daemon.
func (c *core) onApplied(d *held) {
	c.adopt(d, fromApply, "")
	c.checkReady()
}

// adopt puts a document in force if its generation is higher, and passes it
// on. From the store alone it also takes another document of the generation
// in force: the store decides. It reports whether the document is now in
// force.
func (c *core) adopt(d *held, from source, root string) bool {
	if d.generation() < c.cur.generation() {
		c.ignore(d, from)
		return false
	}
	if d.generation() == c.cur.generation() {
		if d.hash() == c.cur.hash() {
			return true
		}
		c.dispute(d.generation(), from.String())
		if from != fromStore {
			return false
		}
	}
	if d.snap.Document == nil {
		return false // only its generation and hash came
	}
	c.cur = d
	c.fetch.startOver()
	c.relay.reset(d.generation(), c.lastTick)
	c.emit(publish{d})
	c.log(eventAdopted, telemetry.GenerationOf(uint64(d.generation())), telemetry.Value("from", from.String()))
	c.spread(from, root)
	return true
}

// ignore logs the first of several stale answers of the store.
func (c *core) ignore(d *held, from source) {
	if from != fromStore || c.watch.stale == c.cur.generation() {
		return
	}
	c.watch.stale = c.cur.generation()
	c.log(eventStale, telemetry.GenerationOf(uint64(d.generation())))
}

// dispute records two documents of one generation and reads the store, which decides.
func (c *core) dispute(gen config.Generation, peer string) {
	if c.watch.disputed == gen {
		return
	}
	c.watch.disputed = gen
	c.watch.readAt = time.Time{}
	c.log(eventDisputed, telemetry.GenerationOf(uint64(gen)), telemetry.Peer(peer))
	if c.watch.step == WatchIdle {
		c.startRead()
	}
}

// enoughPeers is how many peers a daemon asks before it relies on the store
// alone.
const enoughPeers = 3

// aloneAfter is how long a daemon waits for peers before it relies on the store alone.
const aloneAfter = time.Second

// checkReady latches readiness once the document in force is confirmed by a peer, or by the store
// without peers, and no higher generation is known. It waits for the first answer of the store, as
// peers may have been partitioned.
func (c *core) checkReady() {
	if c.ready || c.cur == nil || !c.storeTried {
		return
	}
	peersTried := c.fetch.tried >= min(enoughPeers, len(c.others())) && c.lastTick.Sub(c.since) >= aloneAfter
	confirmed := c.peerAnswered || (c.storeAnswered && peersTried)
	c.ready = confirmed && !c.knowsHigher()
}

// knowsHigher reports whether some peer is known to have a higher generation.
func (c *core) knowsHigher() bool {
	return c.fetch.hintGen > c.cur.generation() || c.bestAdvertised() != nil
}

// NotReadyError is why a daemon has not caught up with the document.
type NotReadyError struct {
	Generation config.Generation // in force here; 0 when none is
	Reason     string
	Err        error // last error of the store, if any
}

// Error implements error.
func (e *NotReadyError) Error() string {
	msg := "no document in force"
	if e.Generation > 0 {
		msg = fmt.Sprintf("generation %d in force is not confirmed", e.Generation)
	}
	msg += ": " + e.Reason
	if e.Err != nil {
		msg += ": store: " + e.Err.Error()
	}
	return msg
}

// Unwrap returns the last error of the store.
func (e *NotReadyError) Unwrap() error { return e.Err }

// whyNotReady returns nil once the daemon has caught up.
func (c *core) whyNotReady() error {
	if c.ready {
		return nil
	}
	e := &NotReadyError{Generation: c.cur.generation(), Err: c.watch.lastErr}
	switch best := c.bestAdvertised(); {
	case best != nil:
		e.Reason = fmt.Sprintf("%s has generation %d", best.Name, best.Generation)
	case errors.Is(c.watch.lastErr, repository.ErrNoDocument):
		e.Reason = "none has been applied"
	case len(c.others()) == 0:
		e.Reason = "no peer is known"
	default:
		e.Reason = fmt.Sprintf("%d of %d peers asked", c.fetch.tried, len(c.others()))
	}
	return e
}
