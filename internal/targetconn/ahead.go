package targetconn

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
)

const (
	// closeMargin is how long before the target's keep-alive timeout an idle connection is no longer
	// used. It covers the longest one-way delay, and that the target starts its timer before this VM.
	closeMargin = time.Second
	// maxIdleLimit is the upper bound of the idle time of a connection that may be reused, whatever
	// timeout the target announces.
	maxIdleLimit = 30 * time.Second
)

// OpenAhead opens an idle connection to the target, so that a later request need not wait for one. It
// does nothing if a connection is in use, idle or being opened, or if half of the limit is reached. It
// reports whether it opened a connection.
func (p *Pools) OpenAhead(ctx context.Context, t *config.TargetIndex, limit int) (bool, error) {
	pl := p.pool(poolKey{t.Name, t.Address})
	if !pl.reserveAhead(limit/2, p.deps.Clock.Now()) {
		return false, nil
	}
	c, err := p.connect(ctx, pl, t, Reach{Regions: []string{t.Region}})
	if err != nil {
		pl.unreserve()
		return false, trace.Wrap(err, "open connection ahead to target %s at %s", t.Name, t.Address)
	}
	p.ahead.Inc()
	pl.add(c)
	pl.putIdle(c, p.deps.Clock.Now())
	return true, nil
}

// MostlyStale reports whether the idle limit is currently reduced below the default because many idle
// connections were stale.
func (p *Pools) MostlyStale() bool {
	return p.staleness.limitIdleTime(defaultIdleLimit, p.deps.Clock.Now()) < defaultIdleLimit
}

// HasOpen reports whether a connection to the target is in use, or idle and usable.
func (p *Pools) HasOpen(t *config.TargetIndex) bool {
	pl := p.pool(poolKey{t.Name, t.Address})
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.hasOpenLocked(p.deps.Clock.Now())
}

// reserveAhead reserves a connection to open ahead. It returns false if one is open or being opened, if
// the limit is reached, or if the pool is retired.
func (p *pool) reserveAhead(limit int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired || p.dialing > 0 || len(p.open) >= limit || p.hasOpenLocked(now) {
		return false
	}
	p.dialing++
	return true
}

// hasOpenLocked reports whether a connection is in use, or idle and usable. p.mu must be held.
func (p *pool) hasOpenLocked(now time.Time) bool {
	n := len(p.idle)
	return len(p.open) > n || n > 0 && p.idle[n-1].usable(now, p.idleLimitLocked())
}

// idleLimitLocked returns the longest idle time of a connection for reuse. p.mu must be held.
func (p *pool) idleLimitLocked() time.Duration { return IdleLimitFor(p.keepAliveTimeout) }

// IdleLimitFor returns the longest idle time of a connection for reuse, given the keep-alive timeout
// that its target announces. A timeout of 0 means that the target announces none.
func IdleLimitFor(keepAliveTimeout time.Duration) time.Duration {
	return min(max(keepAliveTimeout-closeMargin, defaultIdleLimit), maxIdleLimit)
}

// SetKeepAliveTimeout records the keep-alive timeout that the target announced. It applies to all
// connections to the target.
func (c *Conn) SetKeepAliveTimeout(d time.Duration) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.keepAliveTimeout = d
}
