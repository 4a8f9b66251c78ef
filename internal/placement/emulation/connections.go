package emulation

import (
	"time"

	"masticturn/internal/targetconn"
)

// targetIdleTimeout is the keep-alive timeout that emulated targets announce.
const targetIdleTimeout = 10 * time.Second

// connections are those of one VM to one target.
type connections struct {
	inUse     int
	opening   bool
	idleSince []time.Time // of the idle ones, the most recently used last
}

// idle reports whether an idle connection is fresh enough for use.
func (c *connections) idle(now time.Time) bool {
	n := len(c.idleSince)
	return n > 0 && now.Sub(c.idleSince[n-1]) <= targetconn.IdleLimitFor(targetIdleTimeout)
}

// acquire uses the most recently used connection; false if a new one must be opened.
func (c *connections) acquire(now time.Time) bool {
	c.inUse++
	if !c.idle(now) {
		c.idleSince = nil
		return false
	}
	c.idleSince = c.idleSince[:len(c.idleSince)-1]
	return true
}

// release returns a connection after an exchange.
func (c *connections) release(now time.Time) {
	c.inUse--
	c.idleSince = append(c.idleSince, now)
}

// drop closes a connection whose exchange broke.
func (c *connections) drop() { c.inUse-- }

// toTarget returns the VM's connections to a target.
func (v *vm) toTarget(name string) *connections {
	c := v.connections[name]
	if c == nil {
		c = &connections{}
		v.connections[name] = c
	}
	return c
}

// opening returns the time to open a connection: a round trip if none is open. Loads
// without connections always have one.
func (r *run) opening(v *vm, t *target) time.Duration {
	if !r.load.Connect {
		return 0
	}
	if t.region != v.region {
		v.ahead.Deposit()
	}
	if v.toTarget(t.name).acquire(r.now) {
		return 0
	}
	return 2 * r.delay(v.region, t.region)
}

// openAhead regularly opens connections to targets that are expected to get requests.
func (r *run) openAhead(v *vm) {
	if !r.load.Connect || r.now.Sub(start) > r.load.Length {
		return
	}
	for _, t := range v.pool.Expected(r.now) {
		c := v.toTarget(t.Name)
		if c.inUse > 0 || c.opening || c.idle(r.now) {
			continue
		}
		if !v.ahead.Withdraw() {
			break
		}
		c.opening = true
		r.after(2*r.delay(v.region, t.Region), func() {
			c.opening = false
			c.idleSince = append(c.idleSince, r.now)
		})
	}
	r.after(targetconn.AheadInterval, func() { r.openAhead(v) })
}
