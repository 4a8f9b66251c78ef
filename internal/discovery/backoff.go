package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"masticturn/internal/kernel"
	"masticturn/internal/platform"
)

// retryPause is the pause between calls during an outage, over all kinds.
const retryPause = 200 * time.Millisecond

// outageBackoff spaces the calls of all kinds during an outage of the store.
type outageBackoff struct {
	mu   sync.Mutex
	down bool
	next time.Time // earliest next call during an outage
}

// call makes one call, after a pause during an outage.
func (g *outageBackoff) call(ctx context.Context, clock kernel.Clock, read func(context.Context) error) error {
	// A timer of zero would stall tests in fake time.
	if pause := g.pause(clock.Now()); pause > 0 {
		sleep(ctx, pause)
	}
	err := read(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() == nil {
		g.down = err != nil && !errors.Is(err, platform.ErrCompacted)
	}
	return err
}

// due reports whether a call may begin without a pause.
func (g *outageBackoff) due(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.down || !now.Before(g.next)
}

// pause returns the time until the next call may begin; 0 without an outage.
func (g *outageBackoff) pause(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.down {
		return 0
	}
	if g.next.Before(now) {
		g.next = now
	}
	g.next = g.next.Add(retryPause)
	return g.next.Sub(now)
}
