package targetconn

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
)

const (
	// closeMargin is how long before the target's timeout an idle connection is given up: the longest
	// one-way delay, and the target's earlier start of its timer.
	closeMargin = time.Second
	// keptMost bounds the idle time of a connection that is kept ready.
	keptMost = 30 * time.Second
)

// OpenAhead opens a connection to the target if none is in use or idle, within half of the limit. It
// reports whether it did.
func (p *Pools) OpenAhead(ctx context.Context, t *config.TargetIndex, limit int) (bool, error) {
	pl := p.pool(poolKey{t.Name, t.Address})
	if !pl.reserveAhead(limit/2, p.deps.Clock.Now()) {
		return false, nil
	}
	c, err := p.connect(ctx, pl, t.Address)
	if err != nil {
		pl.unreserve()
		return false, trace.Wrap(err, "connect ahead to target %s at %s", t.Name, t.Address)
	}
	p.ahead.Inc()
	pl.add(c)
	pl.releaseIdle(c, p.deps.Clock.Now())
	return true, nil
}

// MostlyStale reports whether many idle connections were stale lately.
func (p *Pools) MostlyStale() bool {
	return p.staleness.bound(IdleLimit, p.deps.Clock.Now()) < IdleLimit
}

// HasOpen reports whether a usable connection to the target is open.
func (p *Pools) HasOpen(t *config.TargetIndex) bool {
	pl := p.pool(poolKey{t.Name, t.Address})
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.hasOpen(p.deps.Clock.Now())
}

// reserveAhead reserves a connection to open ahead; false if one is open or opening, or the limit is
// reached.
func (p *pool) reserveAhead(limit int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired || p.dialing > 0 || len(p.open) >= limit || p.hasOpen(now) {
		return false
	}
	p.dialing++
	return true
}

// hasOpen reports whether a usable connection is open; p.mu is held.
func (p *pool) hasOpen(now time.Time) bool {
	n := len(p.idle)
	return len(p.open) > n || n > 0 && p.idle[n-1].usable(now, p.idleLimit())
}

// idleLimit is the longest usable idle time; p.mu is held.
func (p *pool) idleLimit() time.Duration { return KeptLimit(p.targetKeeps) }

// KeptLimit is the longest usable idle time by the target's keep-alive timeout; 0: not announced.
func KeptLimit(targetKeeps time.Duration) time.Duration {
	return min(max(targetKeeps-closeMargin, IdleLimit), keptMost)
}

// TargetKeeps records the target's keep-alive timeout.
func (c *Conn) TargetKeeps(d time.Duration) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.targetKeeps = d
}
