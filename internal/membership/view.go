// Package membership detects which daemons are alive, leaving or gone.
package membership

import "masticturn/internal/rendezvous"

// State is a member's state as seen by this daemon.
type State uint8

// The states, in the order in which they supersede each other within one incarnation.
const (
	Alive   State = iota // heartbeats arrive
	Suspect              // heartbeats are late; grants from it remain valid
	Leaving              // draining; receives no new requests
	Gone                 // left, or silent for too long
)

// String returns the name used in status and logs.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[s]
}

// Member is the state of one daemon. Its incarnation increases with each process start under the
// same VM name, and whenever the daemon renews it.
type Member struct {
	Name          string
	Zone          string
	Region        string
	PeerAddress   string  // host:port of the peer listener
	CallerAddress string  // host:port of the caller listener
	Cores         float64 // CPU capacity of the VM, in cores; 0: unknown
	Incarnation   uint64
	Process       uint64 // incarnation at the start of the process; unlike Incarnation, it changes only on a restart
	State         State
	Generation    uint64 // generation of the configuration document it has in force
	Hash          uint64 // hash of that document
	RefusesKeys   bool   // refuses requests with keys
	Term          uint64 // its term as granter of rate limits; 0: not the granter
	Carries       bool   // carries connections of other VMs to targets
	Partitioned   bool   // can't reach targets itself, while other VMs can
	GrantsTokens  bool   // grants tokens under targets' rate limits
}

// View is an immutable list of all members that are not gone, sorted by name. It includes this
// daemon.
type View struct {
	Version uint64 // increases with each change
	Self    string
	Members []Member
}

// Member returns the member with the given name; ok is false if there is none.
func (v *View) Member(name string) (m Member, ok bool) {
	for i := range v.Members {
		if v.Members[i].Name == name {
			return v.Members[i], true
		}
	}
	return Member{}, false
}

// InRegion returns the members of a region that are alive or suspect.
func (v *View) InRegion(region string) []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Region == region && (m.State == Alive || m.State == Suspect) {
			out = append(out, m)
		}
	}
	return out
}

// Source provides the current view. View costs one atomic load and never returns nil.
type Source interface {
	View() *View
	// Subscribe registers f to be called after changes with the latest view, in order, from one
	// goroutine.
	Subscribe(f func(*View)) (cancel func())
}

// Count returns the number of members in a state.
func (v *View) Count(s State) int {
	n := 0
	for i := range v.Members {
		if v.Members[i].State == s {
			n++
		}
	}
	return n
}

// Brokers returns the first n members in the order in which they are elected as a service's broker
// in a region. Suspect members are included only if no member is alive.
func (v *View) Brokers(service, region string, n int) []Member {
	members := v.InRegion(region)
	alive := make([]Member, 0, len(members))
	for _, m := range members {
		if m.State == Alive {
			alive = append(alive, m)
		}
	}
	if len(alive) > 0 {
		members = alive
	}
	return rendezvous.Top(service+"\x00"+region, members, n, func(m Member) string { return m.Name })
}
