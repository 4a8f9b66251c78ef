package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"masticturn/internal/kernel"
	"masticturn/internal/platform"
)

// retryPause is the pause between calls while the store is out of reach: with
// three kinds each has its turn early enough for a bound of two seconds.
const retryPause = 200 * time.Millisecond

// gate spaces the calls of all kinds while the store is out of reach: what one
// call finds out holds for the others.
type gate struct {
	mu   sync.Mutex
	down bool
	next time.Time // at which a call may begin while the store is down
}

// call makes one call, after a pause while the store is down.
func (g *gate) call(ctx context.Context, clock kernel.Clock, read func(context.Context) error) error {
	// A timer that is due at once ends the race detector in tests with fake time.
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

// pause returns how long to wait for the next turn to call; 0 while the store
// answers.
func (g *gate) pause(now time.Time) time.Duration {
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
