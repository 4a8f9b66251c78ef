package placement

import (
	"time"

	"masticturn/internal/rendezvous"
)

// Fleet is what a pool must know of the other VMs to keep a bound with them
// without a message: each VM sends a cold target at most one request in
// coldGap, and no more VMs send than the bound has room for.
type Fleet struct {
	Self string
	VMs  []VM // all VMs that may send, this one included; empty: not known yet
	// A cold target bears ColdFactor times the rate that its service states and
	// ColdSlack more within one second, from all VMs together.
	ColdFactor float64
	ColdSlack  float64
}

// VM is one VM of the fleet.
type VM struct{ Name, Region string }

const (
	// coldGap is the least time between two requests of one VM to a cold target:
	// a little over the second over which they are counted, as their ways differ.
	coldGap = 1100 * time.Millisecond
	// coldReserve is how many requests of the bound are left for VMs that see
	// another fleet, such as those that were cut off.
	coldReserve = 3
)

// mayChill reports whether the target may get one more request of this VM, if
// it is cold.
func (p *Pool) mayChill(t *targetState, now time.Time) bool {
	if !t.cold(now) || p.coldRate == 0 {
		return true
	}
	return now.Sub(t.coldSent) >= coldGap && p.sendsToCold(t)
}

// sendsToCold reports whether this VM is among those that may send to a cold
// target: as many as its bound allows, those of its own region first. It is worked
// out once for each view of the fleet, as that takes a look at all VMs.
func (p *Pool) sendsToCold(t *targetState) bool {
	if t.coldFleet != p.fleetSeen {
		t.coldFleet = p.fleetSeen
		t.coldSender = p.ranksForCold(t)
	}
	return t.coldSender
}

func (p *Pool) ranksForCold(t *targetState) bool {
	bound := p.coldRate*p.fleet.ColdFactor + p.fleet.ColdSlack
	senders := int(bound) - coldReserve
	own := coldRank{local: p.region == t.Region, score: rendezvous.Score(t.Name, p.fleet.Self)}
	ahead, known := 0, false
	for _, vm := range p.fleet.VMs {
		known = known || vm.Name == p.fleet.Self
		rank := coldRank{local: vm.Region == t.Region, score: rendezvous.Score(t.Name, vm.Name)}
		if rank.before(own) {
			ahead++
		}
	}
	return known && ahead < senders
}

// coldRank orders the VMs that may send to a cold target.
type coldRank struct {
	local bool // it is in the target's region
	score uint64
}

func (r coldRank) before(other coldRank) bool {
	if r.local != other.local {
		return r.local
	}
	return r.score > other.score
}
