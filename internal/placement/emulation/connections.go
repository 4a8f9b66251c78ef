package emulation

import (
	"time"

	"masticturn/internal/targetconn"
)

// targetKeeps is how long emulated targets keep idle connections, and say so.
const targetKeeps = 10 * time.Second

// connections is the connections of one VM to one target.
type connections struct {
	inUse     int
	opening   bool
	idleSince []time.Time // of the idle ones, the one used last at the end
}

// idle reports whether one is idle and may still be used.
func (c *connections) idle(now time.Time) bool {
	n := len(c.idleSince)
	return n > 0 && now.Sub(c.idleSince[n-1]) <= targetconn.KeptLimit(targetKeeps)
}

// take takes the connection that was used last; false when there is none that
// may still be used.
func (c *connections) take(now time.Time) bool {
	c.inUse++
	if !c.idle(now) {
		c.idleSince = nil
		return false
	}
	c.idleSince = c.idleSince[:len(c.idleSince)-1]
	return true
}

// put takes a connection back after an exchange.
func (c *connections) put(now time.Time) {
	c.inUse--
	c.idleSince = append(c.idleSince, now)
}

// drop closes a connection whose exchange was broken off.
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

// opening returns how long a request waits for a connection: a way there and
// back where none is open. Loads without connections have them always open.
func (r *run) opening(v *vm, t *target) time.Duration {
	if !r.load.Connect {
		return 0
	}
	if t.region != v.region {
		v.ahead.Earn()
	}
	if v.toTarget(t.name).take(r.now) {
		return 0
	}
	return 2 * r.way(v.region, t.region)
}

// openAhead lets a VM open connections to the targets that are expected to get
// requests, again and again.
func (r *run) openAhead(v *vm) {
	if !r.load.Connect || r.now.Sub(start) > r.load.Length {
		return
	}
	for _, t := range v.pool.Expected(r.now) {
		c := v.toTarget(t.Name)
		if c.inUse > 0 || c.opening || c.idle(r.now) {
			continue
		}
		if !v.ahead.Spend() {
			break
		}
		c.opening = true
		r.after(2*r.way(v.region, t.Region), func() {
			c.opening = false
			c.idleSince = append(c.idleSince, r.now)
		})
	}
	r.after(targetconn.AheadInterval, func() { r.openAhead(v) })
}
