package targetconn

import (
	"sync"
	"time"
)

const (
	// reducedLimitTime is how long the idle limit stays reduced after a stale connection.
	reducedLimitTime = 10 * time.Second
	// staleSampleWeight is the weight of one use in the moving average of stale connections.
	staleSampleWeight = 0.1
	// minStaleShare is the share of stale connections from which the idle limit is reduced. A lower share
	// may be caused by addresses that were reassigned to other targets.
	minStaleShare = 0.25
	// reducedLimitFraction is the reduced limit as a fraction of a stale connection's idle time. The
	// target's timeout is only known to be shorter than that time.
	reducedLimitFraction = 0.25
	// resetRoundTrips and resetSlack bound the delay from a request on a stale connection to its reset: one
	// round trip, as estimated by the shortest connect time, and some slack. A target that fails while
	// it runs the request resets the connection later.
	resetRoundTrips = 1.25
	resetSlack      = 15 * time.Millisecond
	// minStaleIdle is the shortest idle time from which a connection may count as stale.
	minStaleIdle = 150 * time.Millisecond
)

// staleness tracks the share of idle connections that their targets had already closed when they were
// used. If it is high, the idle limit is reduced for a while.
type staleness struct {
	mu           sync.Mutex
	share        float64       // exponential moving average over uses of idle connections
	reducedLimit time.Duration // idle limit until reducedUntil
	reducedUntil time.Time
}

// recordUsable records the use of an idle connection that was not stale.
func (s *staleness) recordUsable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share -= staleSampleWeight * s.share
}

// recordStale records the use of a stale connection and how long it had been idle.
func (s *staleness) recordStale(idle time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share += staleSampleWeight * (1 - s.share)
	if s.share < minStaleShare {
		return
	}
	limit := time.Duration(reducedLimitFraction * float64(idle))
	if now.Before(s.reducedUntil) {
		limit = min(limit, s.reducedLimit)
	}
	s.reducedLimit = limit
	s.reducedUntil = now.Add(reducedLimitTime)
}

// limitIdleTime returns the given idle limit, or the reduced one if that is in force and shorter.
func (s *staleness) limitIdleTime(limit time.Duration, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.reducedUntil) {
		return min(limit, s.reducedLimit)
	}
	return limit
}

// DetectStale reports whether the connection had been idle and was reset so soon after the request that
// the target can't have read it, and records a stale connection. The parameter is the time since the
// request was sent. It must be called once, after an exchange that ended without a response.
func (c *Conn) DetectStale(sinceSent time.Duration) bool {
	maxResetDelay := time.Duration(resetRoundTrips*float64(c.pool.shortestConnectTime())) + resetSlack
	if !c.reused || c.idleFor < minStaleIdle || sinceSent > maxResetDelay {
		return false
	}
	c.pool.staleness.recordStale(c.idleFor, c.pool.now())
	return true
}
