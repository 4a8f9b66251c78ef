package discovery

import (
	"context"
	"errors"
	"time"

	"masticturn/internal/kernel"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// Pauses between calls to the store.
const (
	// retryPause is the first pause after a call that failed; it doubles up to
	// retryPauseMost, which leaves a bound of two seconds enough time for a read.
	retryPause     = 100 * time.Millisecond
	retryPauseMost = 400 * time.Millisecond
	// settlePause lets further changes gather before the next watch, since each
	// answer is a call that is paid for.
	settlePause = 200 * time.Millisecond
)

// change is what one read of the store, or of another VM, brought.
type change struct {
	kind     platform.Kind
	list     []platform.Object // a whole list, when listed
	listed   bool
	events   []platform.Event
	asOf     platform.Version
	age      time.Duration // of what was read
	regained bool          // the store was out of reach before
}

// watcher keeps the mirror of one kind up to date: from other VMs while they
// are up to date, else from the store.
type watcher struct {
	kind    platform.Kind
	stale   time.Duration // age at which what a VM tells is not good enough
	store   platform.Store
	parents func() []string // VMs to hear from, best first; none: read the store
	relay   func(vm string) relaySource
	clock   kernel.Clock
	logger  *telemetry.Logger
	publish func(change change)

	asOf    platform.Version     // 0: a list is needed
	avoid   map[string]time.Time // VMs that are passed over until then
	outage  bool                 // neither VMs nor the store tell anything new
	lostAt  time.Time
	pause   time.Duration
	readNow bool // read the store next, whatever VMs there are to ask
}

// run reads until the context is done.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.step(ctx)
	}
}

// step makes one call.
func (w *watcher) step(ctx context.Context) {
	vm := w.parent()
	if vm == "" || w.readNow {
		w.readNow = false
		if err := w.read(ctx); err != nil {
			w.failed(ctx, err)
		}
		return
	}
	err := w.poll(ctx, vm)
	if err == nil || ctx.Err() != nil {
		return
	}
	w.avoid[vm] = w.clock.Now().Add(avoidFor)
	w.logger.Log(eventRelayLost, telemetry.Peer(vm), telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
	// Whether it is out of touch or does not answer, most of the time there is has
	// passed: another VM that does not answer either would make the news late.
	w.readNow = true
}

// parent returns the VM to ask, "" when the store is to be read.
func (w *watcher) parent() string {
	now := w.clock.Now()
	for _, vm := range w.parents() {
		if now.After(w.avoid[vm]) {
			return vm
		}
	}
	return ""
}

// poll asks another VM.
func (w *watcher) poll(ctx context.Context, vm string) error {
	a, err := w.relay(vm).poll(ctx, w.kind, w.asOf)
	if err != nil {
		return err
	}
	if a.Age > w.stale {
		return errStale
	}
	if a.AsOf < w.asOf {
		return errStale // it is behind what this VM knows
	}
	w.succeeded(a.change(w.kind))
	return nil
}

// read makes one call to the store.
func (w *watcher) read(ctx context.Context) error {
	if w.asOf == 0 {
		list, asOf, err := w.store.List(ctx, w.kind)
		if err != nil {
			return err
		}
		w.succeeded(change{kind: w.kind, list: list, listed: true, asOf: asOf})
		return nil
	}
	events, asOf, err := w.store.Watch(ctx, w.kind, w.asOf)
	if err != nil {
		return err
	}
	w.succeeded(change{kind: w.kind, events: events, asOf: asOf})
	if len(events) > 0 {
		sleep(ctx, settlePause)
	}
	return nil
}

func (w *watcher) succeeded(c change) {
	w.pause = 0
	w.asOf = c.asOf
	if w.outage {
		w.outage = false
		c.regained = true
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
	if !w.outage {
		w.outage = true
		w.lostAt = w.clock.Now()
		w.logger.Log(eventStoreLost, telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
	}
	w.pause = min(max(2*w.pause, retryPause), retryPauseMost)
	sleep(ctx, w.pause)
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
