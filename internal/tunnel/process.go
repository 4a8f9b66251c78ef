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

// newProcess returns the process at the other end of a new stream.
func newProcess(p peer.StreamPeer, v *membership.View) process {
	m, ok := v.Member(p.VM)
	return process{StreamPeer: p, known: ok && m.Process >= p.Incarnation}
}

// hasEnded reports whether the process is known to have ended, by the latest view. A VM that is not known yet, or of
// which only the end of an earlier process is, has just started.
func (p *process) hasEnded(v *membership.View) bool {
	m, ok := v.Member(p.VM)
	switch {
	case !ok:
		return p.known
	case m.Process < p.Incarnation:
		return false
	}
	p.known = true
	return m.Process > p.Incarnation || m.State == membership.Gone
}
