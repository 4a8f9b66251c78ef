package discovery

import (
	"context"
	"errors"
	"time"

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
	settlePause = 150 * time.Millisecond
)

// source reads one kind of objects.
type source interface {
	List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Version, error)
	Watch(ctx context.Context, kind platform.Kind, since platform.Version) ([]platform.Event, platform.Version, error)
}

// watcher keeps the mirror of one kind up to date.
type watcher struct {
	kind    platform.Kind
	source  source
	logger  *telemetry.Logger
	publish func(change change)

	asOf   platform.Version // 0: a list is needed
	lost   bool
	lostAt time.Time
	pause  time.Duration
}

// change is what one read of the store brought.
type change struct {
	kind     platform.Kind
	list     []platform.Object // a whole list, when listed
	listed   bool
	events   []platform.Event
	asOf     platform.Version
	regained bool // the store was lost before
}

// run reads until the context is done.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil {
			w.failed(ctx, err)
		}
	}
}

// step makes one call.
func (w *watcher) step(ctx context.Context) error {
	if w.asOf == 0 {
		return w.list(ctx)
	}
	events, asOf, err := w.source.Watch(ctx, w.kind, w.asOf)
	if err != nil {
		return err
	}
	w.asOf = asOf
	w.succeeded(change{events: events, asOf: asOf})
	if len(events) > 0 {
		sleep(ctx, settlePause)
	}
	return nil
}

func (w *watcher) list(ctx context.Context) error {
	list, asOf, err := w.source.List(ctx, w.kind)
	if err != nil {
		return err
	}
	w.asOf = asOf
	w.succeeded(change{list: list, listed: true, asOf: asOf})
	return nil
}

func (w *watcher) succeeded(c change) {
	w.pause = 0
	c.kind = w.kind
	if w.lost {
		w.lost = false
		c.regained = true
		w.logger.Log(eventStoreRegained, telemetry.Value("kind", string(w.kind)),
			telemetry.Value("away_ms", time.Since(w.lostAt).Milliseconds()))
	}
	if c.listed || c.regained || len(c.events) > 0 {
		w.publish(c)
	}
}

func (w *watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, platform.ErrCompacted) {
		w.asOf = 0
		return
	}
	if !w.lost {
		w.lost = true
		w.lostAt = time.Now()
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
