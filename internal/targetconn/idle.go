package targetconn

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// pool holds the connections to one target.
type pool struct {
	dropped   *metrics.Counter
	staleness *staleness // of the connections to all targets
	now       func() time.Time

	mu      sync.Mutex
	open    map[*Conn]struct{} // in use and idle
	dialing int
	idle    []*Conn // the most recently used last
	retired bool    // the target left the document
	// targetKeeps is the target's keep-alive timeout; 0: not announced.
	targetKeeps time.Duration
	opening     time.Duration // of the connection that opened fastest; 0: none has
	// doubtUntil is the end of the time in which an unexpected answer may arrive.
	doubtUntil time.Time
}

func (p *Pools) newPool() *pool {
	return &pool{open: make(map[*Conn]struct{}), dropped: p.dropped, staleness: &p.staleness, now: p.deps.Clock.Now}
}

// acquireIdleFor returns an idle connection suitable for a use, or nil.
func (p *pool) acquireIdleFor(use Use, now time.Time) *Conn {
	switch use {
	case UseAny:
		return p.acquireIdle(now, p.staleness.bound(p.usualLimit(), now))
	case UseRecent:
		if !p.doubted(now) {
			return p.acquireIdle(now, p.staleness.bound(recentLimit, now))
		}
	}
	return nil
}

func (p *pool) doubted(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.doubtUntil)
}

func (p *pool) distrust(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubtUntil = until
}

// acquireIdle returns the most recently used idle connection that is usable and was in use within the
// limit, in an exchange; or nil.
func (p *pool) acquireIdle(now time.Time, limit time.Duration) *Conn {
	for {
		c := p.popIdle(now, limit)
		if c == nil {
			return nil
		}
		if c.usable(now, limit) && c.wire.begin() {
			c.reused = true
			c.idleFor = now.Sub(c.idleAt)
			return c
		}
		c.Drop()
	}
}

// recordOpening records the time it took to open a connection.
func (p *pool) recordOpening(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opening == 0 || took < p.opening {
		p.opening = took
	}
}

// shortestOpening is the shortest time it took to open a connection.
func (p *pool) shortestOpening() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opening
}

// usualLimit is the longest idle time of a connection for a repeatable request.
func (p *pool) usualLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleLimit()
}

// popIdle removes the most recently used connection, if it was in use within the limit.
func (p *pool) popIdle(now time.Time, limit time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 || limit < IdleLimit && now.Sub(p.idle[n-1].idleAt) > limit {
		return nil // an older one is for other uses
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

// reserve reserves a new connection within the limit, closing an idle one if needed.
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

// releaseIdle makes a connection idle that is quiet after its exchange.
func (p *pool) releaseIdle(c *Conn, now time.Time) {
	p.mu.Lock()
	_, known := p.open[c]
	keep := known && !p.retired
	if keep {
		c.idleAt = now
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		// The caller may hold the connection's own reader: close elsewhere.
		go c.Drop()
	}
}

// forget removes a connection that is about to be closed.
func (p *pool) forget(c *Conn) {
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

func (p *pool) dropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Drop()
	}
}

func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.dropIdle()
}

// sweep drops idle connections that are too old.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	limit := p.idleLimit()
	var old []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.usable(now, limit) {
			kept = append(kept, c)
			continue
		}
		old = append(old, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.Drop()
	}
}
