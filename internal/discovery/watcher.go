package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"masticturn/internal/kernel"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// Intervals and limits of calls to the store and to peers.
const (
	// minLapse is the shortest outage in which entries can lapse: a few report intervals of a
	// target.
	minLapse = 2 * time.Second
	// settlePause collects further changes before the next watch, to save calls.
	settlePause = 200 * time.Millisecond
	// restartWait is how long a starting VM tries peers before it reads the store. At a fleet's
	// first start no callers wait yet, so that it is longer (firstStartWait).
	restartWait    = 300 * time.Millisecond
	firstStartWait = 2 * time.Second
	// bootstrapInterval is the interval of tries to find a peer while bootstrapping.
	bootstrapInterval = 20 * time.Millisecond
	// pollPause is the pause while all sources are skipped.
	pollPause = 50 * time.Millisecond
	// bootstrapPollTimeout bounds a poll while bootstrapping, as the peer may not have started.
	bootstrapPollTimeout = 250 * time.Millisecond
	// fallbackReadRate is the rate of reads of a kind by the fleet's other VMs, in reads/s, once
	// minStaleAnswers peers in a row were stale. The store may refuse all readers and serve others.
	fallbackReadRate = 12
	minStaleAnswers  = 2
	// peerPolls is the number of polls of random peers after each failed call to the store, each
	// after peerPollPause and for peerPollTimeout at most.
	peerPolls       = 2
	peerPollPause   = 100 * time.Millisecond
	peerPollTimeout = 400 * time.Millisecond
)

// change is the result of one read of the store or a peer.
type change struct {
	kind     platform.Kind
	list     []platform.Object // complete, if listed
	listed   bool
	events   []platform.Event
	asOf     platform.Version
	age      time.Duration // of the content
	regained bool          // ends an outage
	// confirmed is when the content was certainly the store's latest.
	confirmed confirmation
}

// watcher keeps a kind's mirror up to date, from peers while they are fresh, else from the store.
type watcher struct {
	kind    platform.Kind
	stale   time.Duration // age from which a peer's state is insufficient
	store   platform.Store
	backoff *outageBackoff // shared by all kinds
	joined  func() bool    // whether this VM has joined the others, or is alone
	sources func() sources
	relay   func(vm string) relaySource
	clock   kernel.Clock
	boot    kernel.BootClock
	logger  *telemetry.Logger
	publish func(change change)
	confirm func(c confirmation) // of the present state

	firstStart   bool                 // of the whole fleet
	asOf         platform.Version     // 0: a list is needed
	skipUntil    map[string]time.Time // by peer
	staleAnswers int                  // consecutive ones
	lastDraw     time.Time            // of a fallback read, or the last success
	outage       bool                 // neither peers nor the store have current state
	readFailed   bool                 // the last read of the store
	pollsDue     int                  // of random peers before the next read
	lostAt       time.Time
	readNow      bool // read the store next, regardless of sources
}

// run works until the context is done.
func (w *watcher) run(ctx context.Context) {
	w.bootstrap(ctx)
	for ctx.Err() == nil {
		w.step(ctx)
	}
}

// bootstrap fetches the first list from a peer, to save calls to the store, and falls back to
// the store.
func (w *watcher) bootstrap(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, w.bootstrapWait())
	defer cancel()
	for waitCtx.Err() == nil && !w.joined() {
		sleep(waitCtx, bootstrapInterval)
	}
	for waitCtx.Err() == nil && w.asOf == 0 {
		from := w.sources().vms
		if len(from) == 0 || w.bootstrapFrom(waitCtx, w.nextSource(from)) {
			break
		}
		sleep(waitCtx, bootstrapInterval)
	}
	w.readNow = w.asOf == 0
}

func (w *watcher) bootstrapWait() time.Duration {
	if w.firstStart {
		return firstStartWait
	}
	return restartWait
}

// bootstrapFrom polls a peer, "" for none, for the first list. It reports whether peers need no
// more polls.
func (w *watcher) bootstrapFrom(ctx context.Context, vm string) bool {
	if vm == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapPollTimeout)
	defer cancel()
	err := w.poll(ctx, vm, false)
	if err == nil {
		return true
	}
	w.skipUntil[vm] = w.clock.Now().Add(skipBriefly)
	return errors.Is(err, errStarting) && !w.firstStart
}

// step makes one call.
func (w *watcher) step(ctx context.Context) {
	from := w.sources()
	vm := w.nextSource(from.vms)
	switch {
	case w.outage && (!w.readNow || w.readFailed) && w.prefersPeers():
		w.pollAnyPeer(ctx, &from)
	case w.readNow || vm == "" && w.staleAnswers == 0:
		w.readNow = false
		w.staleAnswers = 0
		if err := w.backoff.call(ctx, w.clock, w.read); err != nil {
			w.failed(ctx, err)
		}
	case vm == "":
		sleep(ctx, pollPause)
	default:
		w.pollPeer(ctx, vm, &from, false)
	}
}

// prefersPeers reports whether the next step of an outage polls a peer. A call to a silent store takes
// long, so that some polls follow each.
func (w *watcher) prefersPeers() bool {
	if w.pollsDue > 0 {
		w.pollsDue--
		return true
	}
	return !w.backoff.due(w.clock.Now())
}

// pollAnyPeer polls a random peer. In a partial outage the store may serve others than its readers.
func (w *watcher) pollAnyPeer(ctx context.Context, from *sources) {
	sleep(ctx, peerPollPause)
	if len(from.others) == 0 {
		return
	}
	vm := from.others[rand.IntN(len(from.others))]
	if !w.clock.Now().After(w.skipUntil[vm]) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	w.pollPeer(ctx, vm, from, true)
}

// nextSource returns the preferred source that is not skipped; "" if there is none.
func (w *watcher) nextSource(vms []string) string {
	now := w.clock.Now()
	for _, vm := range vms {
		if now.After(w.skipUntil[vm]) {
			return vm
		}
	}
	return ""
}

// pollPeer polls a peer and decides on the next step if it fails.
func (w *watcher) pollPeer(ctx context.Context, vm string, from *sources, immediate bool) {
	began := w.clock.Now()
	err := w.poll(ctx, vm, immediate)
	if err == nil || ctx.Err() != nil {
		return
	}
	now := w.clock.Now()
	if !w.outage {
		w.logger.Log(eventRelayLost, telemetry.Peer(vm), telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
	}
	if errors.Is(err, errStale) || errors.Is(err, errStarting) {
		w.skipUntil[vm] = now.Add(skipStaleFor)
		w.recordStale(from)
		return
	}
	w.skipUntil[vm] = now.Add(skipFor)
	// Another slow peer would exceed the bound.
	w.readNow = now.Sub(began) > w.stale/2
}

// recordStale records a stale peer. Readers then read the store. Other VMs do at random, at a
// rate that does not grow with the fleet.
func (w *watcher) recordStale(from *sources) {
	w.staleAnswers++
	w.readNow = from.reader
	if w.staleAnswers < minStaleAnswers {
		return
	}
	w.loseStore(errStale)
	now := w.clock.Now()
	expected := fallbackReadRate * now.Sub(w.lastDraw).Seconds()
	w.lastDraw = now
	w.readNow = w.readNow || rand.Float64()*float64(from.members) < expected
}

// poll makes one poll and applies its answer. Now requests an answer without waiting for changes.
func (w *watcher) poll(ctx context.Context, vm string, now bool) error {
	sent := w.boot.SinceBoot()
	a, err := w.relay(vm).poll(ctx, &pollRequest{Kind: w.kind, Since: w.asOf, Now: now})
	if err != nil {
		return err
	}
	if a.AsOf == 0 {
		return errStarting
	}
	if a.AsOf < w.asOf {
		return errStale // behind this VM
	}
	if a.Age > w.stale {
		w.applyNewer(a, sent)
		return errStale
	}
	w.staleAnswers = 0
	w.succeeded(a.change(w.kind, sent))
	return nil
}

// applyNewer applies state that is stale but newer than the present one.
func (w *watcher) applyNewer(a *pollAnswer, sent time.Duration) {
	if w.asOf == 0 {
		return
	}
	if a.AsOf == w.asOf {
		w.confirm(a.change(w.kind, sent).confirmed)
		return
	}
	w.asOf = a.AsOf
	w.publish(a.change(w.kind, sent))
}

// read makes one call to the store.
func (w *watcher) read(ctx context.Context) error {
	confirmed := confirmation{known: true, at: w.boot.SinceBoot()}
	if w.asOf == 0 {
		list, asOf, err := w.store.List(ctx, w.kind)
		if err != nil {
			return err
		}
		w.succeeded(change{kind: w.kind, list: list, listed: true, asOf: asOf, confirmed: confirmed})
		return nil
	}
	events, asOf, err := w.store.Watch(ctx, w.kind, w.asOf)
	if err != nil {
		return err
	}
	w.succeeded(change{kind: w.kind, events: events, asOf: asOf, confirmed: confirmed})
	if len(events) > 0 {
		sleep(ctx, settlePause)
	}
	return nil
}

func (w *watcher) succeeded(c change) {
	w.lastDraw = w.clock.Now()
	w.asOf = c.asOf
	w.readFailed = false
	if w.outage {
		w.outage = false
		c.regained = w.clock.Now().Sub(w.lostAt) >= minLapse
		w.logger.Log(eventStoreRegained, telemetry.Value("kind", string(w.kind)),
			telemetry.Value("away_ms", w.clock.Now().Sub(w.lostAt).Milliseconds()))
	}
	w.publish(c)
}

func (w *watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, platform.ErrCompacted) {
		w.asOf = 0
		return
	}
	w.readFailed = true
	w.pollsDue = peerPolls
	w.loseStore(err)
}

// loseStore begins an outage: neither peers nor the store have current state.
func (w *watcher) loseStore(err error) {
	if w.outage {
		return
	}
	w.outage = true
	w.lostAt = w.clock.Now()
	w.logger.Log(eventStoreLost, telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
}

// sleep waits, or returns early when the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
