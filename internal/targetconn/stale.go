package targetconn

import (
	"sync"
	"time"
)

const (
	// staleFor is how long a high share of stale connections is remembered.
	staleFor = 10 * time.Second
	// staleWeight is the weight of one use in the share of stale connections, and staleLeast the share from
	// which idle times are shortened. A lower share may stem from addresses that changed hands.
	staleWeight = 0.1
	staleLeast  = 0.25
	// stalePart is the share of a stale connection's idle time within which others are used meanwhile, as
	// the actual timeout is only known to be shorter.
	stalePart = 0.25
	// resetTrips and resetSlack bound the delay of a reset by a stale connection: a round trip by the
	// shortest opening, with some slack. A failing target resets later.
	resetTrips = 1.25
	resetSlack = 15 * time.Millisecond
	// idleLeast is the shortest idle time of a stale connection.
	idleLeast = 150 * time.Millisecond
)

// staleness is the share of idle connections that their targets had closed. If it is high, requests
// avoid connections with long idle times.
type staleness struct {
	mu    sync.Mutex
	share float64       // of the latest uses of idle connections
	limit time.Duration // for which a connection may be idle meanwhile
	until time.Time
}

// recordUse records a usable idle connection.
func (s *staleness) recordUse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share -= staleWeight * s.share
}

// note records a stale connection with its idle time.
func (s *staleness) note(idle time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share += staleWeight * (1 - s.share)
	if s.share < staleLeast {
		return
	}
	limit := time.Duration(stalePart * float64(idle))
	if now.Before(s.until) {
		limit = min(limit, s.limit)
	}
	s.limit = limit
	s.until = now.Add(staleFor)
}

// bound returns the limit, or the shorter one in force.
func (s *staleness) bound(limit time.Duration, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.until) {
		return min(limit, s.limit)
	}
	return limit
}

// Stale reports whether the connection had been idle and was reset too soon after the request for the
// target to have read it. It must be called once, after an exchange without an answer.
func (c *Conn) Stale(sent time.Duration) bool {
	longest := time.Duration(resetTrips*float64(c.pool.shortestOpening())) + resetSlack
	if !c.reused || c.idleFor < idleLeast || sent > longest {
		return false
	}
	c.pool.staleness.note(c.idleFor, c.pool.now())
	return true
}
