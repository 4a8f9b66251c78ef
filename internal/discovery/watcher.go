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
	// minExpiryOutage is the shortest outage in which entries can expire. It is a few report
	// intervals of a target.
	minExpiryOutage = 2 * time.Second
	// coalesceDelay is the delay before the next watch after a change. Changes in this time are
	// read with one call.
	coalesceDelay = 200 * time.Millisecond
	// restartBootstrapTimeout is how long a starting VM tries to bootstrap from peers before it
	// reads the store. firstStartBootstrapTimeout is used at the fleet's first start. It is longer,
	// as no callers are waiting yet.
	restartBootstrapTimeout    = 300 * time.Millisecond
	firstStartBootstrapTimeout = 2 * time.Second
	// bootstrapRetryInterval is the interval between attempts to find a peer while bootstrapping.
	bootstrapRetryInterval = 20 * time.Millisecond
	// allSkippedDelay is the delay before the next step while all sources are skipped.
	allSkippedDelay = 50 * time.Millisecond
	// bootstrapPollTimeout is the timeout of a poll while bootstrapping. It is short because the
	// peer may not have started yet.
	bootstrapPollTimeout = 250 * time.Millisecond
	// fallbackReadRate is the total rate, in reads/s per kind, at which the VMs that are not
	// readers read the store. Each of them does so once minStaleAnswers consecutive polls were
	// answered with stale state. The store may refuse all readers and still serve other VMs.
	fallbackReadRate = 12
	minStaleAnswers  = 2
	// peerPollsPerFailure is the number of random peers that are polled after each failed call to
	// the store. Each poll starts after peerPollDelay and takes at most peerPollTimeout.
	peerPollsPerFailure = 2
	peerPollDelay       = 100 * time.Millisecond
	peerPollTimeout     = 400 * time.Millisecond
)

// change is the result of one read of the store or one poll of a peer.
type change struct {
	kind       platform.Kind
	objects    []platform.Object // the complete list, if complete is set
	complete   bool
	events     []platform.Event
	asOf       platform.Version
	age        time.Duration // age of the content
	endsOutage bool          // the first success after an outage in which entries may have expired
	// confirmed is a time at which the content was at least as recent as the store's.
	confirmed confirmation
}

// watcher keeps the mirror of one kind up to date. It polls peers while their state is fresh, and
// reads the store otherwise.
type watcher struct {
	kind       platform.Kind
	staleAfter time.Duration // age above which a peer's state is stale
	store      platform.Store
	backoff    *outageBackoff // shared by the watchers of all kinds
	joined     func() bool    // see Deps.Joined
	sources    func() sources
	sourceOf   func(vm string) peerSource
	clock      kernel.Clock
	boot       kernel.BootClock
	logger     *telemetry.Logger
	publish    func(change change)
	confirm    func(c confirmation) // records a confirmation of the current state

	firstStart       bool                 // see Deps.FirstStart
	asOf             platform.Version     // version of the current state; 0: a complete list is needed
	skipUntil        map[string]time.Time // by peer; the peer is not polled before that time
	staleAnswers     int                  // number of consecutive stale answers
	lastFallbackDraw time.Time            // last random draw for a fallback read, or last success
	inOutage         bool                 // neither peers nor the store provide current state
	lastReadFailed   bool                 // the last read of the store failed
	peerPollsLeft    int                  // polls of random peers before the next read
	outageStart      time.Time
	readStoreNext    bool // read the store in the next step, regardless of sources
}

// run bootstraps the mirror and then updates it until the context is done.
func (w *watcher) run(ctx context.Context) {
	w.bootstrap(ctx)
	for ctx.Err() == nil {
		w.step(ctx)
	}
}

// bootstrap fetches the first list from a peer, to save store calls. If that fails, the first step
// reads the store.
func (w *watcher) bootstrap(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, w.bootstrapTimeout())
	defer cancel()
	for waitCtx.Err() == nil && !w.joined() {
		sleep(waitCtx, bootstrapRetryInterval)
	}
	for waitCtx.Err() == nil && w.asOf == 0 {
		vms := w.sources().preferred
		if len(vms) == 0 || w.bootstrapFrom(waitCtx, w.nextSource(vms)) {
			break
		}
		sleep(waitCtx, bootstrapRetryInterval)
	}
	w.readStoreNext = w.asOf == 0
}

func (w *watcher) bootstrapTimeout() time.Duration {
	if w.firstStart {
		return firstStartBootstrapTimeout
	}
	return restartBootstrapTimeout
}

// bootstrapFrom polls a peer for the first list; it does nothing if vm is "". It reports whether to
// stop polling peers: the list was received, or the peer has no state either and this is not the
// fleet's first start.
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
	w.skipUntil[vm] = w.clock.Now().Add(skipStarting)
	return errors.Is(err, errStarting) && !w.firstStart
}

// step polls one peer or makes one store call.
func (w *watcher) step(ctx context.Context) {
	src := w.sources()
	vm := w.nextSource(src.preferred)
	switch {
	case w.inOutage && (!w.readStoreNext || w.lastReadFailed) && w.takePeerPoll():
		w.pollRandomPeer(ctx, &src)
	case w.readStoreNext || vm == "" && w.staleAnswers == 0:
		w.readStoreNext = false
		w.staleAnswers = 0
		if err := w.backoff.call(ctx, w.clock, w.read); err != nil {
			w.recordFailure(ctx, err)
		}
	case vm == "":
		sleep(ctx, allSkippedDelay)
	default:
		w.pollPeer(ctx, vm, &src, false)
	}
}

// takePeerPoll reports whether this step of an outage polls a peer: for some polls after each failed
// call, which it counts, and while the backoff allows no call. The polls are needed because a call
// to an unresponsive store takes long.
func (w *watcher) takePeerPoll() bool {
	if w.peerPollsLeft > 0 {
		w.peerPollsLeft--
		return true
	}
	return !w.backoff.due(w.clock.Now())
}

// pollRandomPeer polls a random peer. In a partial outage the store may serve VMs other than its
// usual readers.
func (w *watcher) pollRandomPeer(ctx context.Context, src *sources) {
	sleep(ctx, peerPollDelay)
	if len(src.others) == 0 {
		return
	}
	vm := src.others[rand.IntN(len(src.others))]
	if !w.clock.Now().After(w.skipUntil[vm]) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	w.pollPeer(ctx, vm, src, true)
}

// nextSource returns the most preferred source that is not skipped, or "" if there is none.
func (w *watcher) nextSource(vms []string) string {
	now := w.clock.Now()
	for _, vm := range vms {
		if now.After(w.skipUntil[vm]) {
			return vm
		}
	}
	return ""
}

// pollPeer polls a peer. If the poll fails, the peer is skipped for some time, and the next step may
// read the store.
func (w *watcher) pollPeer(ctx context.Context, vm string, src *sources, immediate bool) {
	start := w.clock.Now()
	err := w.poll(ctx, vm, immediate)
	if err == nil || ctx.Err() != nil {
		return
	}
	now := w.clock.Now()
	if !w.inOutage {
		w.logger.Log(eventSourceLost, telemetry.Peer(vm), telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
	}
	if errors.Is(err, errStale) || errors.Is(err, errStarting) {
		w.skipUntil[vm] = now.Add(skipStale)
		w.recordStaleAnswer(src)
		return
	}
	w.skipUntil[vm] = now.Add(skipUnresponsive)
	// After a slow failure, a poll of another slow peer would exceed the bound.
	w.readStoreNext = now.Sub(start) > w.staleAfter/2
}

// recordStaleAnswer records that a peer's state is stale. Readers then read the store. Other VMs do
// so at random, at a total rate that does not grow with the fleet. A fleet that is small enough for all
// VMs to read within a second at that rate does not wait for chance at first.
func (w *watcher) recordStaleAnswer(src *sources) {
	w.staleAnswers++
	w.readStoreNext = src.isReader
	if w.staleAnswers < minStaleAnswers {
		return
	}
	immediate := !w.inOutage && src.fleetSize <= fallbackReadRate
	w.beginOutage(errStale)
	now := w.clock.Now()
	expected := fallbackReadRate * now.Sub(w.lastFallbackDraw).Seconds()
	w.lastFallbackDraw = now
	w.readStoreNext = w.readStoreNext || immediate || rand.Float64()*float64(src.fleetSize) < expected
}

// poll polls a peer and applies its answer. If immediate is set, the peer answers without waiting for
// changes.
func (w *watcher) poll(ctx context.Context, vm string, immediate bool) error {
	sent := w.boot.SinceBoot()
	a, err := w.sourceOf(vm).poll(ctx, &pollRequest{Kind: w.kind, Since: w.asOf, Now: immediate})
	if err != nil {
		return err
	}
	if a.AsOf == 0 {
		return errStarting
	}
	if a.AsOf < w.asOf {
		return errStale // older than this VM's state
	}
	if a.Age > w.staleAfter {
		w.applyNewer(a, sent)
		return errStale
	}
	w.staleAnswers = 0
	w.recordSuccess(a.toChange(w.kind, sent))
	return nil
}

// applyNewer applies an answer whose state is stale, but not older than this VM's state.
func (w *watcher) applyNewer(a *pollAnswer, sent time.Duration) {
	if w.asOf == 0 {
		return
	}
	if a.AsOf == w.asOf {
		w.confirm(a.toChange(w.kind, sent).confirmed)
		return
	}
	w.asOf = a.AsOf
	w.publish(a.toChange(w.kind, sent))
}

// read makes one store call: a list if this VM has no state, else a watch.
func (w *watcher) read(ctx context.Context) error {
	confirmed := confirmation{known: true, at: w.boot.SinceBoot()}
	if w.asOf == 0 {
		list, asOf, err := w.store.List(ctx, w.kind)
		if err != nil {
			return err
		}
		w.recordSuccess(change{kind: w.kind, objects: list, complete: true, asOf: asOf, confirmed: confirmed})
		return nil
	}
	events, asOf, err := w.store.Watch(ctx, w.kind, w.asOf)
	if err != nil {
		return err
	}
	w.recordSuccess(change{kind: w.kind, events: events, asOf: asOf, confirmed: confirmed})
	if len(events) > 0 {
		sleep(ctx, coalesceDelay)
	}
	return nil
}

func (w *watcher) recordSuccess(c change) {
	w.lastFallbackDraw = w.clock.Now()
	w.asOf = c.asOf
	w.lastReadFailed = false
	if w.inOutage {
		w.inOutage = false
		c.endsOutage = w.clock.Now().Sub(w.outageStart) >= minExpiryOutage
		w.logger.Log(eventStoreRegained, telemetry.Value("kind", string(w.kind)),
			telemetry.Value("away_ms", w.clock.Now().Sub(w.outageStart).Milliseconds()))
	}
	w.publish(c)
}

func (w *watcher) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, platform.ErrCompacted) {
		w.asOf = 0
		return
	}
	w.lastReadFailed = true
	w.peerPollsLeft = peerPollsPerFailure
	w.beginOutage(err)
}

// beginOutage records that neither peers nor the store provide current state.
func (w *watcher) beginOutage(err error) {
	if w.inOutage {
		return
	}
	w.inOutage = true
	w.outageStart = w.clock.Now()
	w.logger.Log(eventStoreLost, telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
}

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
