package tunnel

import (
	"masticturn/internal/membership"
	"masticturn/internal/peer"
)

// process is the process of another VM at the other end of a tunnel.
type process struct {
	peer.StreamPeer
	known bool // the members have named it
}

// hasEnded reports whether the process is known to have ended. A VM that is not known yet, or of which only the end
// of an earlier process is, has just started.
func (p *process) hasEnded(v *membership.View) bool {
	m, ok := v.Member(p.VM)
	switch {
	case !ok:
		return p.known
	case m.Incarnation < p.Incarnation:
		return false
	}
	p.known = true
	return m.Incarnation > p.Incarnation || m.State == membership.Gone
}
