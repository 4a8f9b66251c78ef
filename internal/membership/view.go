// Package membership knows which daemons are here, leaving, or gone.
package membership

import "masticturn/internal/rendezvous"

// State is the state of a member as this daemon believes it.
type State uint8

// The states of a member, in the order in which they supersede each other
// within one incarnation.
const (
	Alive   State = iota // heartbeats arrive
	Suspect              // heartbeats are late; it still counts as holding what it held
	Leaving              // it said that it drains: no new work goes there
	Gone                 // it left, or was silent for too long
)

// String returns the name used in status and logs.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[s]
}

// Member is one daemon. Incarnation differs for each process start and rises
// with time for one VM name.
type Member struct {
	Name          string
	Zone          string
	Region        string
	PeerAddress   string // host:port of the peer listener
	CallerAddress string // host:port of the caller listener
	Incarnation   uint64
	State         State
	Generation    uint64 // generation of the document it has in force
	Hash          uint64 // hash of that document
}

// View is an immutable list of the known members, sorted by name, without
// those gone. It includes this daemon.
type View struct {
	Version uint64 // rises with each change
	Self    string
	Members []Member
}

// Member returns the member of that name; ok is false when it is not known.
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

// Source hands out the view. View is one atomic load and never returns nil.
type Source interface {
	View() *View
	// Subscribe calls f after each change, in order, from one goroutine.
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

// Brokers returns the first n members in line to broker a service in a region,
// the broker first. Members that are alive go before suspect ones, which are
// named only where no other is left. All who elect the broker, or tell it
// something, use this order.
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
