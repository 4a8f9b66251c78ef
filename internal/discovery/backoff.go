package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"masticturn/internal/kernel"
	"masticturn/internal/platform"
)

// outageRetryInterval is the interval between store calls during an outage, shared by all kinds.
const outageRetryInterval = 200 * time.Millisecond

// outageBackoff limits the rate of store calls during an outage of the store. One instance is
// shared by the watchers of all kinds.
type outageBackoff struct {
	mu   sync.Mutex
	down bool
	next time.Time // earliest start of the next call during an outage
}

// call makes one store call. During an outage it first waits for its turn.
func (b *outageBackoff) call(ctx context.Context, clock kernel.Clock, read func(context.Context) error) error {
	// No timer if there is no wait: a zero timer would stall tests that run in fake time.
	if pause := b.reserve(clock.Now()); pause > 0 {
		sleep(ctx, pause)
	}
	err := read(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	if ctx.Err() == nil {
		b.down = err != nil && !errors.Is(err, platform.ErrCompacted)
	}
	return err
}

// reserve reserves the next call and returns the time to wait until it may start. It is 0 if
// there is no outage.
func (b *outageBackoff) reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.down {
		return 0
	}
	if b.next.Before(now) {
		b.next = now
	}
	b.next = b.next.Add(outageRetryInterval)
	return b.next.Sub(now)
}
