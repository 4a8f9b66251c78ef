package placement

import (
	"time"

	"masticturn/internal/rendezvous"
)

// Fleet lists the VMs that share the rate limit of cold targets. They keep to it without
// exchanging messages: each VM sends a cold target at most one request per coldInterval, and
// only as many VMs send requests as the limit allows.
type Fleet struct {
	Self string
	VMs  []VM // VMs that may send requests, including this one; empty: not known
	// A cold target gets at most ColdFactor times the service's cold rate plus ColdSlack
	// requests within any second.
	ColdFactor float64
	ColdSlack  float64
}

// VM is a member of the fleet.
type VM struct{ Name, Region string }

const (
	// coldInterval is the minimum time between two requests of a VM to a cold target: the
	// second over which the limit counts, and a margin for jitter.
	coldInterval = 1100 * time.Millisecond
	// reservedColdSenders is the part of the limit reserved for VMs whose member lists
	// differ, as after a partition.
	reservedColdSenders = 3
)

// coldLimitAllows reports whether a target is warm, or cold and may get one more request of
// this VM.
func (p *Pool) coldLimitAllows(t *targetState, now time.Time) bool {
	if !t.cold(now) || p.coldRate == 0 {
		return true
	}
	return now.Sub(t.lastColdRequest) >= coldInterval && p.sendsToCold(t)
}

// sendsToCold reports whether this VM may send requests to a cold target. As many VMs may as
// the target's limit allows, those of its region first. The result is cached per
// fleetVersion.
func (p *Pool) sendsToCold(t *targetState) bool {
	if t.coldSenderVersion != p.fleetVersion {
		t.coldSenderVersion = p.fleetVersion
		t.coldSender = p.isColdSender(t)
	}
	return t.coldSender
}

// isColdSender computes the result of sendsToCold.
func (p *Pool) isColdSender(t *targetState) bool {
	limit := p.coldRate*p.fleet.ColdFactor + p.fleet.ColdSlack
	senders := int(limit) - reservedColdSenders
	own := senderRank{local: p.region == t.Region, score: rendezvous.Score(t.Name, p.fleet.Self)}
	ahead, known := 0, false
	for _, vm := range p.fleet.VMs {
		known = known || vm.Name == p.fleet.Self
		rank := senderRank{local: vm.Region == t.Region, score: rendezvous.Score(t.Name, vm.Name)}
		if rank.before(own) {
			ahead++
		}
	}
	return known && ahead < senders
}

// senderRank orders VMs as senders to a cold target.
type senderRank struct {
	local bool // the VM is in the target's region
	score uint64
}

// before reports whether r ranks before other.
func (r senderRank) before(other senderRank) bool {
	if r.local != other.local {
		return r.local
	}
	return r.score > other.score
}
