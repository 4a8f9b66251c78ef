package targetconn

import (
	"sync"
	"time"
)

const (
	// staleFor is how long it is remembered that many idle connections were stale.
	staleFor = 10 * time.Second
	// staleWeight is the weight of one use of an idle connection in the share of
	// stale ones, and staleLeast the share from which on idle times are shortened:
	// three in a row, or a quarter over some time. Fewer are no reason: the connections
	// of a target whose address another one has got are stale too.
	staleWeight = 0.1
	staleLeast  = 0.25
	// stalePart is the part of a stale connection's idle time for which others are
	// used meanwhile: targets, or what lies before them, drop idle connections after
	// a time that is known only to be shorter.
	stalePart = 0.25
	// resetTrips and resetSlack bound how long the reset of a stale connection
	// takes: one way there and back, as the shortest opening of a connection to the
	// target took, with some time for the processes. A target that resets after a
	// run does so later.
	resetTrips = 1.25
	resetSlack = 15 * time.Millisecond
	// idleLeast is how long a connection must have been idle to be stale: no target
	// drops one sooner.
	idleLeast = 150 * time.Millisecond
)

// staleness is what this VM has seen of stale connections: idle ones that were reset
// by the next request, as their targets had dropped them. When there are many, no
// request should go on a connection that was idle for long.
type staleness struct {
	mu    sync.Mutex
	share float64       // of the latest uses of idle connections
	limit time.Duration // for which a connection may be idle meanwhile
	until time.Time
}

// recordUse takes in an idle connection that was not stale.
func (s *staleness) recordUse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share -= staleWeight * s.share
}

// note takes in a connection that was stale after it had been idle for so long.
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

// bound returns the shorter of a limit and the one that holds meanwhile.
func (s *staleness) bound(limit time.Duration, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.until) {
		return min(limit, s.limit)
	}
	return limit
}

// Stale reports whether the connection had been idle and was reset so soon after
// the request was sent that the target can't have known it any more. It is asked
// once, after an exchange that ended before the answer began, and counts.
func (c *Conn) Stale(sent time.Duration) bool {
	longest := time.Duration(resetTrips*float64(c.pool.shortestOpening())) + resetSlack
	if !c.reused || c.idleFor < idleLeast || sent > longest {
		return false
	}
	c.pool.staleness.note(c.idleFor, c.pool.now())
	return true
}
