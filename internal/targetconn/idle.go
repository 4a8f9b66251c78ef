package targetconn

import (
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// pool holds the connections to one target.
type pool struct {
	dropped   *metrics.Counter
	staleness *staleness // shared by the pools of all targets
	now       func() time.Time

	mu      sync.Mutex
	open    map[*Conn]struct{} // in use and idle
	dialing int
	idle    []*Conn // the most recently used last
	retired bool    // the target was removed from the document, or the pools were closed
	// keepAliveTimeout is the keep-alive timeout that the target announced; 0 if none.
	keepAliveTimeout time.Duration
	shortestConnect  time.Duration // shortest time it took to open a connection; 0 if none was opened
	// reuseRestrictedUntil is the time until which a mismatched response may arrive on any connection.
	reuseRestrictedUntil time.Time
}

func (p *Pools) newPool() *pool {
	return &pool{open: make(map[*Conn]struct{}), dropped: p.dropped, staleness: &p.staleness, now: p.deps.Clock.Now}
}

// acquireIdleFor returns an idle connection that is suitable for the use and the request, or nil.
func (p *pool) acquireIdleFor(use Use, r request, now time.Time) *Conn {
	switch use {
	case UseAny:
		return p.acquireIdle(now, p.staleness.limitIdleTime(p.idleLimit(), now), r.mayUse)
	case UseRecent:
		if !p.isReuseRestricted(now) {
			return p.acquireIdle(now, p.staleness.limitIdleTime(recentIdleLimit, now), isDirect)
		}
	}
	return nil
}

// openReasonFor returns why a request would have to open a connection, if it gets no idle one.
func (p *pool) openReasonFor(use Use, now time.Time) openReason {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case use == UseNew || use == UseRecent && now.Before(p.reuseRestrictedUntil):
		return reasonNewNeeded
	case len(p.idle) > 0:
		return reasonIdleLong
	case len(p.open) > 0:
		return reasonInUse
	}
	return reasonNoneOpen
}

// isReuseRestricted reports whether UseRecent requires a new connection.
func (p *pool) isReuseRestricted(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.reuseRestrictedUntil)
}

// restrictReuse makes UseRecent require a new connection until the given time.
func (p *pool) restrictReuse(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseRestrictedUntil = until
}

// acquireIdle begins an exchange on the most recently used idle connection that is suitable, usable and has
// been idle for no longer than the limit. It closes unusable ones and returns nil if none is left.
func (p *pool) acquireIdle(now time.Time, limit time.Duration, suits func(*Conn) bool) *Conn {
	for {
		c := p.popIdle(now, limit, suits)
		if c == nil {
			return nil
		}
		if c.usable(now, limit) && c.wire.beginExchange() {
			c.reused = true
			c.idleFor = now.Sub(c.idleSince)
			return c
		}
		c.Drop()
	}
}

// recordConnectTime records the time it took to open a connection.
func (p *pool) recordConnectTime(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shortestConnect == 0 || took < p.shortestConnect {
		p.shortestConnect = took
	}
}

// shortestConnectTime returns the shortest time it took to open a connection, or 0 if none was opened.
func (p *pool) shortestConnectTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shortestConnect
}

// idleCount returns the number of idle connections.
func (p *pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// idleLimit returns the longest idle time of a connection that a repeatable request may reuse.
func (p *pool) idleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleLimitLocked()
}

// popIdle removes and returns the most recently used idle connection that is suitable, or nil. If the limit is
// below defaultIdleLimit, a connection that has been idle for longer than the limit stays in the pool.
func (p *pool) popIdle(now time.Time, limit time.Duration, suits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if limit < defaultIdleLimit && now.Sub(c.idleSince) > limit {
			return nil // requests with a longer limit may still use it
		}
		if suits(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// reserve reserves a new connection within the limit, closing the least recently used idle one if
// needed.
func (p *pool) reserve(limit int) bool {
	p.mu.Lock()
	var evicted *Conn
	if len(p.open)+p.dialing >= limit && len(p.idle) > 0 {
		evicted = p.idle[0]
		p.idle = p.idle[1:]
		delete(p.open, evicted)
	}
	ok := len(p.open)+p.dialing < limit
	if ok {
		p.dialing++
	}
	p.mu.Unlock()
	if evicted != nil {
		evicted.Drop()
	}
	return ok
}

// unreserve cancels a reservation.
func (p *pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
}

// add converts a reservation into an open connection.
func (p *pool) add(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	p.open[c] = struct{}{}
}

// putIdle adds a connection to the idle ones. It closes the connection if the pool is retired or no
// longer holds it.
func (p *pool) putIdle(c *Conn, now time.Time) {
	p.mu.Lock()
	_, known := p.open[c]
	keep := known && !p.retired
	if keep {
		c.idleSince = now
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		// This may run in the connection's reader goroutine, so close in another one.
		go c.Drop()
	}
}

// remove removes a connection that is being closed from the pool.
func (p *pool) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.open[c]; !ok {
		return
	}
	delete(p.open, c)
	p.dropped.Inc()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// dropIdle closes all idle connections.
func (p *pool) dropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Drop()
	}
}

// retire closes all idle connections. Those in use are closed when they are released.
func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.dropIdle()
}

// sweep closes idle connections that are no longer usable.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	limit := p.idleLimitLocked()
	var expired []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.usable(now, limit) {
			kept = append(kept, c)
			continue
		}
		expired = append(expired, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.Drop()
	}
}
