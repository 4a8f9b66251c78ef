package placement

import (
	"time"

	"masticturn/internal/rendezvous"
)

// Fleet lists the VMs that share the limit of a cold target. They keep it without
// messages: each VM sends a cold target one request per coldGap, and only as many VMs
// send as the limit allows.
type Fleet struct {
	Self string
	VMs  []VM // that may send, this one included; empty: unknown
	// The limit within one second is ColdFactor times the service's rate plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
}

// VM is one VM of the fleet.
type VM struct{ Name, Region string }

const (
	// coldGap is the time between two requests of a VM to a cold target: the second of
	// the limit with some jitter.
	coldGap = 1100 * time.Millisecond
	// coldReserve is left for VMs with another member list, as after a partition.
	coldReserve = 3
)

// mayUseCold reports whether the target is warm or may take one more request of this
// VM.
func (p *Pool) mayUseCold(t *targetState, now time.Time) bool {
	if !t.cold(now) || p.coldRate == 0 {
		return true
	}
	return now.Sub(t.coldSent) >= coldGap && p.sendsToCold(t)
}

// sendsToCold reports whether this VM is among the senders of a cold target: as many as
// its limit allows, those of its region first. It is computed once per fleetVersion.
func (p *Pool) sendsToCold(t *targetState) bool {
	if t.coldFleet != p.fleetVersion {
		t.coldFleet = p.fleetVersion
		t.coldSender = p.isColdSender(t)
	}
	return t.coldSender
}

func (p *Pool) isColdSender(t *targetState) bool {
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

// coldRank orders the senders of a cold target.
type coldRank struct {
	local bool // in the target's region
	score uint64
}

func (r coldRank) before(other coldRank) bool {
	if r.local != other.local {
		return r.local
	}
	return r.score > other.score
}
