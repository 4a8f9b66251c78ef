package emulation

import (
	"time"

	"masticturn/internal/targetconn"
)

// targetIdleTimeout is the keep-alive timeout that emulated targets announce.
const targetIdleTimeout = 10 * time.Second

// connPool holds the connections of one VM to one target.
type connPool struct {
	inUse        int
	openingAhead bool
	idleSince    []time.Time // of each idle connection; most recently used last
}

// hasIdle reports whether an idle connection is recent enough to be reused.
func (c *connPool) hasIdle(now time.Time) bool {
	n := len(c.idleSince)
	return n > 0 && now.Sub(c.idleSince[n-1]) <= targetconn.IdleLimitFor(targetIdleTimeout)
}

// acquire takes the most recently used idle connection. It returns false if a new one must be
// opened.
func (c *connPool) acquire(now time.Time) bool {
	c.inUse++
	if !c.hasIdle(now) {
		c.idleSince = nil
		return false
	}
	c.idleSince = c.idleSince[:len(c.idleSince)-1]
	return true
}

// release returns a connection to the pool after a complete exchange.
func (c *connPool) release(now time.Time) {
	c.inUse--
	c.idleSince = append(c.idleSince, now)
}

// drop closes a connection whose exchange was aborted.
func (c *connPool) drop() { c.inUse-- }

// connsTo returns the VM's connections to a target.
func (v *vm) connsTo(name string) *connPool {
	c := v.conns[name]
	if c == nil {
		c = &connPool{}
		v.conns[name] = c
	}
	return c
}

// connectTime takes a connection to a target and returns the time to open it: a round trip, or 0
// if an idle one is reused or the workload doesn't model connections.
func (s *simulation) connectTime(v *vm, t *target) time.Duration {
	if !s.workload.ModelConnections {
		return 0
	}
	if t.region != v.region {
		v.aheadBudget.Deposit()
	}
	if v.connsTo(t.name).acquire(s.now) {
		return 0
	}
	return 2 * s.delay(v.region, t.region)
}

// openAhead periodically opens connections to targets that are likely to get requests soon.
func (s *simulation) openAhead(v *vm) {
	if !s.workload.ModelConnections || s.now.Sub(startTime) > s.workload.Length {
		return
	}
	for _, t := range v.pool.PreconnectCandidates(s.now) {
		c := v.connsTo(t.Name)
		if c.inUse > 0 || c.openingAhead || c.hasIdle(s.now) {
			continue
		}
		if !v.aheadBudget.Withdraw() {
			break
		}
		c.openingAhead = true
		s.after(2*s.delay(v.region, t.Region), func() {
			c.openingAhead = false
			c.idleSince = append(c.idleSince, s.now)
		})
	}
	s.after(targetconn.AheadInterval, func() { s.openAhead(v) })
}
