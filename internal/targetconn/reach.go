package targetconn

import (
	"context"
	"net"
	"slices"

	"masticturn/internal/config"
)

// Reach states through which other VMs a request may be sent to its target.
type Reach struct {
	Regions []string // besides the target's region; empty: all
	// Relay allows a VM that has not connected to the target yet. If Undelivered reports that it could not, the
	// request has not reached the target.
	Relay bool
	// Repeatable reports that the request may be sent again if its connection breaks.
	Repeatable bool
}

// Allows reports whether a VM of a region may be used for a target of a region.
func (r Reach) Allows(vmRegion, targetRegion string) bool {
	return vmRegion == targetRegion || len(r.Regions) == 0 || slices.Contains(r.Regions, vmRegion)
}

// Dialer opens connections to targets, directly or through other VMs.
type Dialer interface {
	DialTarget(ctx context.Context, t *config.TargetIndex, reach Reach) (net.Conn, error)
}

// Tunnel is implemented by connections that another VM carries.
type Tunnel interface {
	// Carrier returns the carrying VM, its region and the tunnel's ID.
	Carrier() (vm, region, id string)
}

// tunnel returns the wire's connection if another VM carries it, or nil.
func (w *wire) tunnel() Tunnel {
	t, _ := w.Conn.(Tunnel)
	return t
}

// usable reports whether a request may be sent on the idle connection, as far as its way to the target is
// concerned.
func (w *wire) usable() bool {
	c, ok := w.Conn.(interface{ Usable() bool })
	return !ok || c.Usable()
}

// request is what decides which connections a request may use.
type request struct {
	targetRegion string
	reach        Reach
}

// mayUse reports whether the request may use a connection.
func (r request) mayUse(c *Conn) bool {
	t := c.wire.tunnel()
	if t == nil {
		return true
	}
	_, region, _ := t.Carrier()
	return r.reach.Allows(region, r.targetRegion)
}

// Undelivered reports whether the VM that carries the connection could not connect to the target, so that no
// byte of the request reached it.
func (c *Conn) Undelivered() bool {
	u, ok := c.wire.Conn.(interface{ Undelivered() bool })
	return ok && u.Undelivered()
}

// Overdue returns a channel that is closed if the VM that carries the connection does not tell in time whether it
// has connected to the target; nil if there is nothing to wait for.
func (c *Conn) Overdue() <-chan struct{} {
	if o, ok := c.wire.Conn.(interface{ Overdue() <-chan struct{} }); ok {
		return o.Overdue()
	}
	return nil
}

// isDirect reports whether no other VM carries a connection.
func isDirect(c *Conn) bool { return c.wire.tunnel() == nil }

// Carrier returns the VM that carries the connection and the tunnel's ID, or empty texts.
func (c *Conn) Carrier() (vm, id string) {
	if t := c.wire.tunnel(); t != nil {
		vm, _, id = t.Carrier()
	}
	return vm, id
}
