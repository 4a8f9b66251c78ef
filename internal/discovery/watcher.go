package discovery

import (
	"context"
	"errors"
	"slices"
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
	// allSkippedDelay is the delay before the next step while all sources are skipped.
	allSkippedDelay = 50 * time.Millisecond
	// minStaleAnswers is the number of consecutive polls answered with stale state from which on the VMs
	// that are not readers read the store as well; see fallbackSchedule.
	minStaleAnswers = 2
)

// change is the result of one read of the store or one poll of a peer.
type change struct {
	kind       platform.Kind
	objects    []platform.Object // the complete list, if complete is set
	complete   bool
	withheld   []platform.Object // see pollAnswer.Withheld
	events     []platform.Event
	asOf       platform.Version
	age        time.Duration // age of the content
	path       []string      // VMs between the store and this VM; see pollAnswer.Path
	bytes      int           // size of the answer's content as it was sent; 0 if the store was read
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
	prime      func(change change)  // records a peer's state, against which a copy of the store does not hold
	// resolve returns the objects of a peer's deltas. It fails if the current state is not their base.
	resolve func(kind platform.Kind, deltas []objectDelta) ([]platform.Object, error)

	firstStart    bool                 // see Deps.FirstStart
	asOf          platform.Version     // version of the current state; 0: a complete list is needed
	skipUntil     map[string]time.Time // by peer; the peer is not polled before that time
	staleAnswers  int                  // number of consecutive stale answers
	fallback      fallbackSchedule     // reads of the store by a VM that is not a reader
	inOutage      bool                 // neither peers nor the store provide current state
	outageStart   time.Time
	readStoreNext bool        // read the store in the next step, regardless of sources
	substitute    *substitute // nil if the regular sources are used
}

// run bootstraps the mirror and then updates it until the context is done.
func (w *watcher) run(ctx context.Context) {
	wait := w.start(ctx)
	defer wait()
	for ctx.Err() == nil {
		w.step(ctx)
	}
}

// step polls one peer or makes one store call.
func (w *watcher) step(ctx context.Context) {
	src := w.sources()
	vm := w.nextSource(src.preferred)
	switch {
	case w.substitute != nil:
		w.useSubstitute(ctx, &src)
	case w.readStoreNext || vm == "" && w.staleAnswers == 0:
		w.readStoreNext = false
		w.staleAnswers = 0
		if w.inOutage {
			w.readStoreBesidePeers(ctx, &src)
		} else {
			w.readStore(ctx)
		}
	case w.inOutage && vm != "" && len(src.others) > 0:
		w.pollPeer(ctx, vm, &src, true)
	case w.inOutage:
		w.pollRandomPeer(ctx, &src)
	case vm == "":
		sleep(ctx, allSkippedDelay)
	default:
		w.pollPeer(ctx, vm, &src, false)
	}
}

// readStore makes one store call and reports whether it succeeded.
func (w *watcher) readStore(ctx context.Context) bool {
	return w.recordRead(ctx, w.callStore(ctx, w.asOf))
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

// pollPeer polls a peer and reports whether its state is fresh. If the poll fails, the peer is skipped for some time,
// and the next step may read the store. If immediate is set, the peer has peerPollTimeout to answer, and does so
// without waiting for changes.
func (w *watcher) pollPeer(ctx context.Context, vm string, src *sources, immediate bool) (fresh bool) {
	start := w.clock.Now()
	pollCtx := ctx
	if immediate {
		var cancel context.CancelFunc
		pollCtx, cancel = context.WithTimeout(ctx, peerPollTimeout)
		defer cancel()
	}
	err := w.poll(pollCtx, vm, immediate)
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	now := w.clock.Now()
	if !w.inOutage {
		w.logger.Log(eventSourceLost, telemetry.Peer(vm), telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
	}
	if errors.Is(err, errStale) || errors.Is(err, errStarting) {
		w.skipUntil[vm] = now.Add(skipStale)
		w.recordStaleAnswer(src)
		return false
	}
	w.skipUntil[vm] = now.Add(skipUnresponsive)
	if !immediate {
		// After a slow failure, a poll of another slow peer would exceed the bound.
		w.readStoreNext = now.Sub(start) > w.staleAfter/2
	}
	return false
}

// recordStaleAnswer records that a peer's state is stale. Readers then read the store; other VMs do so by their
// schedule.
func (w *watcher) recordStaleAnswer(src *sources) {
	w.staleAnswers++
	w.readStoreNext = src.isReader
	if w.staleAnswers < minStaleAnswers {
		return
	}
	now := w.clock.Now()
	if !w.inOutage {
		w.fallback.begin(now, src.fleetSize)
	}
	w.beginOutage(errStale)
	w.readStoreNext = w.readStoreNext || w.fallback.take(now, src.fleetSize)
}

// poll polls a peer and applies its answer. If immediate is set, the peer answers without waiting for
// changes.
func (w *watcher) poll(ctx context.Context, vm string, immediate bool) error {
	sent := w.boot.SinceBoot()
	a, err := w.requestChanges(ctx, vm, immediate)
	if err != nil {
		return err
	}
	if a.AsOf == 0 {
		return errStarting
	}
	if a.AsOf < w.asOf {
		return errStale // older than this VM's state
	}
	if slices.Contains(a.Path, w.sources().self) {
		return errCircular
	}
	c := a.toChange(w.kind, vm, sent)
	if a.Age > w.staleAfter {
		w.applyNewer(c)
		return errStale
	}
	w.staleAnswers = 0
	w.recordSuccess(c)
	return nil
}

// requestChanges polls a peer. Large objects come as deltas; if one does not fit the current state, the peer is asked
// again for whole objects.
func (w *watcher) requestChanges(ctx context.Context, vm string, immediate bool) (*pollAnswer, error) {
	source := w.sourceOf(vm)
	request := pollRequest{Kind: w.kind, Since: w.asOf, Now: immediate, Eras: true, Deltas: true}
	a, err := source.poll(ctx, &request)
	if err != nil || len(a.Deltas) == 0 {
		return a, err
	}
	if a.resolved, err = w.resolve(w.kind, a.Deltas); err == nil {
		return a, nil
	}
	w.logger.Log(eventDeltaRefused, telemetry.Peer(vm), telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
	request.Deltas = false
	return source.poll(ctx, &request)
}

// applyNewer applies an answer whose state is stale, but not older than this VM's state. A VM without
// state does not use it; but if the store then turns out to have come back from a copy, the answer is newer.
func (w *watcher) applyNewer(c change) {
	if w.asOf == 0 {
		w.prime(c)
		return
	}
	if c.asOf == w.asOf {
		w.confirm(c.confirmed)
		return
	}
	w.asOf = c.asOf
	w.publish(c)
}

// storeRead is the result of one store call.
type storeRead struct {
	change change
	err    error
}

// callStore makes one store call: a list if since is 0, else a watch from that version. During an outage it first
// waits for its turn.
func (w *watcher) callStore(ctx context.Context, since platform.Version) storeRead {
	var r storeRead
	r.err = w.backoff.call(ctx, w.clock, func(ctx context.Context) error {
		c := change{kind: w.kind, complete: since == 0, confirmed: confirmation{known: true, at: w.boot.SinceBoot()}}
		var err error
		if c.complete {
			c.objects, c.asOf, err = w.store.List(ctx, w.kind)
		} else {
			c.events, c.asOf, err = w.store.Watch(ctx, w.kind, since)
		}
		r.change = c
		return err
	})
	return r
}

// recordRead applies the result of a store call and reports whether it succeeded.
func (w *watcher) recordRead(ctx context.Context, r storeRead) bool {
	if r.err != nil {
		w.recordFailure(ctx, r.err)
		return false
	}
	w.recordSuccess(r.change)
	if len(r.change.events) > 0 {
		sleep(ctx, coalesceDelay)
	}
	return true
}

func (w *watcher) recordSuccess(c change) {
	w.asOf = c.asOf
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
