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

// Intervals and limits of distributing the document.
const (
	tickInterval = 100 * time.Millisecond

	// fetchDelay is how long a daemon that learns of a higher generation waits for a push before it
	// fetches the document. A random delay of up to the same length is added.
	fetchDelay = 100 * time.Millisecond
	// fetchRetryDelay is the delay after a failed fetch. It doubles up to maxFetchRetryDelay each
	// time all candidates have been tried without success.
	fetchRetryDelay    = 200 * time.Millisecond
	maxFetchRetryDelay = 5 * time.Second

	// readInterval is how often a watcher reads the head in addition to watching, in case a watch
	// has missed a change.
	readInterval      = 10 * time.Second
	minBackoff        = 200 * time.Millisecond
	maxBackoff        = time.Second      // for watchers
	maxInitialBackoff = 10 * time.Second // for other daemons, until they are ready

	// pauseThreshold is the gap between two ticks above which the process is considered to have
	// been paused.
	pauseThreshold = 3 * time.Second

	watchersPerRegion = 2
	// repairDelay is the time after adoption from which members that are still behind are pushed to
	// again.
	repairDelay        = time.Second
	repairInterval     = 400 * time.Millisecond
	repairersPerMember = 2 // daemons that push again to the same member

	// treeDegree is the fan-out of the tree by which a new document is relayed within a region. Its
	// root is the daemon that brought the document into the region.
	treeDegree = 8
	// maxRoots is the number of roots for which a daemon relays a generation. Several daemons may
	// bring the same generation into a region, each as the root of its own tree.
	maxRoots = 4

	maxPushBytes  = 32 << 10
	maxPieceBytes = 256 << 10
)

// source is the origin of a document.
type source uint8

const (
	fromStore   source = iota // read or watched by this daemon
	fromApply                 // accepted through this daemon
	fromPush                  // pushed by a peer
	fromFetch                 // fetched from a peer
	sourceCount = iota
)

func (s source) String() string {
	return [sourceCount]string{"store", "apply", "push", "fetch"}[s]
}

// core is the state machine of one daemon: it decides which documents to adopt, request and relay.
// It takes events with their time and returns actions; it does no I/O and takes no locks.
type core struct {
	self   membership.Member
	random *rand.Rand
	view   *membership.View
	cur    *loadedDocument

	watch watchState
	fetch fetchState
	relay relayState

	storeTried    bool      // the store has answered or failed since start or pause
	storeAnswered bool      // the store has answered since start or pause
	peerAnswered  bool      // a peer has answered or pushed since start or pause
	ready         bool      // readiness was reached since start or pause
	resumedAt     time.Time // start or end of the last pause
	lastTick      time.Time
	actions       []action
}

func newCore(self membership.Member, seed uint64) *core {
	return &core{
		self:   self,
		random: rand.New(rand.NewPCG(seed, seed)),
		view:   &membership.View{Self: self.Name},
	}
}

// action is an operation that the core asks the service to perform.
type action any

type (
	readHead  struct{}                         // read the head; answered by onHead
	watchHead struct{ since platform.Version } // wait for changes; answered by onWatch
	fetchFrom struct{ peer string }            // fetch from a peer; answered by onFetched
	pushTo    struct {
		peer    string
		message pushMessage
	}
	publish  struct{ doc *loadedDocument } // put in force
	logEvent struct {
		event  *telemetry.Event
		fields []telemetry.Field
	}
)

func (c *core) emit(a action) { c.actions = append(c.actions, a) }

func (c *core) log(e *telemetry.Event, fields ...telemetry.Field) {
	c.emit(logEvent{e, fields})
}

// takeActions returns the pending actions and clears them.
func (c *core) takeActions() []action {
	out := c.actions
	c.actions = nil
	return out
}

// onStart reads the head from the store and schedules a fetch from known peers.
func (c *core) onStart(now time.Time) {
	c.lastTick, c.resumedAt = now, now
	c.startRead()
	c.scheduleFetch(now)
}

// onView handles a new membership view.
func (c *core) onView(now time.Time, v *membership.View) {
	if v.Version < c.view.Version {
		return
	}
	c.view = v
	c.updateWatcherRole()
	c.scheduleFetch(now)
	c.updateReady()
}

// onTick handles a tick of the clock.
func (c *core) onTick(now time.Time) {
	if now.Sub(c.lastTick) > pauseThreshold {
		c.onResume(now)
	}
	c.lastTick = now
	c.tickWatch(now)
	c.tickFetch(now)
	c.tickRepair(now)
	c.updateReady()
}

// onResume resets readiness after a pause of this process, as the fleet may have adopted a newer
// document meanwhile.
func (c *core) onResume(now time.Time) {
	c.log(eventPaused, telemetry.Value("seconds", now.Sub(c.lastTick).Seconds()))
	c.storeTried, c.storeAnswered, c.peerAnswered, c.ready = false, false, false, false
	c.fetch.resetAsked()
	c.fetch.callsEnded = 0
	c.resumedAt = now
	if c.watch.step == WatchPausing || c.watch.step == WatchIdle {
		c.startRead()
	}
	c.scheduleFetch(now)
}

// onApplied handles a document that was accepted through this daemon.
func (c *core) onApplied(d *loadedDocument) {
	c.adopt(d, fromApply, "")
	c.updateReady()
}

// adopt puts a document in force if its generation is higher, and relays it. A different document
// of the generation in force is accepted only from the store, which is authoritative. It reports
// whether the document is now in force.
func (c *core) adopt(d *loadedDocument, from source, root string) bool {
	if d.generation() < c.cur.generation() {
		c.logStale(d, from)
		return false
	}
	if d.generation() == c.cur.generation() {
		if d.hash() == c.cur.hash() {
			return true
		}
		c.onConflict(d.generation(), from.String())
		if from != fromStore {
			return false
		}
	}
	if d.snap.Document == nil {
		return false // only its generation and hash are known
	}
	c.cur = d
	c.fetch.resetAsked()
	c.relay.reset(d.generation(), c.lastTick)
	c.emit(publish{d})
	c.log(eventAdopted, telemetry.GenerationOf(uint64(d.generation())), telemetry.Value("from", from.String()))
	c.propagate(from, root)
	return true
}

// logStale logs a stale document from the store, once per generation in force.
func (c *core) logStale(d *loadedDocument, from source) {
	if from != fromStore || c.watch.staleLoggedGen == c.cur.generation() {
		return
	}
	c.watch.staleLoggedGen = c.cur.generation()
	c.log(eventStale, telemetry.GenerationOf(uint64(d.generation())))
}

// onConflict handles a second document of the same generation by reading the store, which is
// authoritative.
func (c *core) onConflict(gen config.Generation, peer string) {
	if c.watch.conflictGen == gen {
		return
	}
	c.watch.conflictGen = gen
	c.watch.readAt = time.Time{}
	c.log(eventConflict, telemetry.GenerationOf(uint64(gen)), telemetry.Peer(peer))
	if c.watch.step == WatchIdle {
		c.startRead()
	}
}

// minPeersAsked is how many peers a daemon queries before it relies on the store alone.
const minPeersAsked = 3

// peerWait is how long a daemon waits for peers before it relies on the store alone.
const peerWait = time.Second

// updateReady sets ready once no higher generation is known and the document in force is confirmed
// by a peer, or by the store if peers were queried without an answer. Readiness holds until the
// next pause of the process. It also requires a first result of the store, even an error, because
// the peers that answered may be cut off from the rest of the fleet.
func (c *core) updateReady() {
	if c.ready || c.cur == nil || !c.storeTried {
		return
	}
	peersTried := c.fetch.callsEnded >= min(minPeersAsked, len(c.peers())) && c.lastTick.Sub(c.resumedAt) >= peerWait
	confirmed := c.peerAnswered || (c.storeAnswered && peersTried)
	c.ready = confirmed && !c.knowsHigher()
}

// knowsHigher reports whether a peer is known to have a higher generation.
func (c *core) knowsHigher() bool {
	return c.fetch.hintGen > c.cur.generation() || c.newestPeer() != nil
}

// NotReadyError describes why a daemon is not ready.
type NotReadyError struct {
	Generation config.Generation // in force on this daemon; 0 if there is none
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

// readyError returns nil if the daemon is ready, and otherwise the reason.
func (c *core) readyError() error {
	if c.ready {
		return nil
	}
	e := &NotReadyError{Generation: c.cur.generation(), Err: c.watch.lastErr}
	switch best := c.newestPeer(); {
	case best != nil:
		e.Reason = fmt.Sprintf("%s has generation %d", best.Name, best.Generation)
	case errors.Is(c.watch.lastErr, repository.ErrNoDocument):
		e.Reason = "none has been applied"
	case len(c.peers()) == 0:
		e.Reason = "no peer is known"
	default:
		e.Reason = fmt.Sprintf("%d of %d peers queried", c.fetch.callsEnded, len(c.peers()))
	}
	return e
}
