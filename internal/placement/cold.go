package placement

import (
	"maps"
	"time"

	"masticturn/internal/rendezvous"
)

// Fleet lists the VMs that share the rate limit of cold targets. They keep to it without
// exchanging messages: each VM sends a cold target at most one request per coldInterval, and
// only as many VMs send requests as the limit allows.
type Fleet struct {
	Self string
	VMs  []VM // members, including this one; empty: not known
	// MayRun lists all VMs that may be running, whether they are members or not. It lacks this VM while others may not
	// know it. Empty: not known.
	MayRun []VM
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
	// reservedColdSenders is the part of the limit reserved for VMs that have been added while VMs were cut off from each
	// other, and for requests that take longer on their way than the next ones.
	reservedColdSenders = 3
)

// coldLimitAllows reports whether a target is warm, or cold and may get one more request of
// this VM.
func (p *Pool) coldLimitAllows(t *targetState, now time.Time) bool {
	if !t.cold(now) || p.coldRate == 0 {
		return true
	}
	// An earlier process of this VM may have sent a request until it ended.
	return now.Sub(t.lastColdRequest) >= coldInterval && now.Sub(p.started) >= coldInterval && p.sendsToCold(t)
}

// sendsToCold reports whether this VM may send requests to a cold target. As many VMs may as
// the target's limit allows, those of its region first.
func (p *Pool) sendsToCold(t *targetState) bool {
	rank := p.coldSenderRank(t)
	return rank >= 0 && rank < p.coldSenders()
}

// coldSenders returns the number of VMs that may send requests to a cold target.
func (p *Pool) coldSenders() int {
	return int(p.coldRate*p.fleet.ColdFactor+p.fleet.ColdSlack) - reservedColdSenders
}

// coldSenderRank returns this VM's rank among the senders to a cold target; 0 is the first, -1 means that the
// fleet isn't known. The result is cached per fleetVersion.
func (p *Pool) coldSenderRank(t *targetState) int {
	if t.coldSenderVersion != p.fleetVersion {
		t.coldSenderVersion = p.fleetVersion
		t.coldSenderRank = p.computeColdSenderRank(t)
	}
	return t.coldSenderRank
}

func (p *Pool) computeColdSenderRank(t *targetState) int {
	own := senderRank{local: p.region == t.Region, score: rendezvous.Score(t.Name, p.fleet.Self)}
	ahead, known := 0, false
	for _, vm := range p.fleet.MayRun {
		known = known || vm.Name == p.fleet.Self
		rank := senderRank{local: vm.Region == t.Region, score: rendezvous.Score(t.Name, vm.Name)}
		if rank.before(own) {
			ahead++
		}
	}
	if !known {
		return -1
	}
	return ahead
}

// coldRequest describes a request to a cold target, for logs.
type coldRequest struct {
	vms, rank, senders int           // VMs in the list, this VM's rank among them, and how many may send
	coldFor            time.Duration // time left until the target is warm
	sinceLast          time.Duration // since this VM's last request to the target while it was cold; -1 ms: none
}

// recordColdRequest records that a request is sent to a cold target.
func (p *Pool) recordColdRequest(t *targetState, now time.Time) *coldRequest {
	r := &coldRequest{
		vms: len(p.fleet.MayRun), rank: p.coldSenderRank(t), senders: p.coldSenders(),
		coldFor: later(t.coldUntil, t.restartingUntil).Sub(now), sinceLast: -time.Millisecond,
	}
	if !t.lastColdRequest.IsZero() {
		r.sinceLast = now.Sub(t.lastColdRequest)
	}
	t.lastColdRequest = now
	return r
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

// coldRequests holds this VM's last requests to cold targets that are not listed any more, by name. Their entries may
// come back within coldInterval.
type coldRequests map[string]time.Time

// add records the last request to a target and drops those that don't matter beside it any more.
func (c coldRequests) add(name string, at time.Time) {
	maps.DeleteFunc(c, func(_ string, other time.Time) bool { return at.Sub(other) >= coldInterval })
	c[name] = at
}

// take removes and returns the last request to a target; zero: none.
func (c coldRequests) take(name string) time.Time {
	at := c[name]
	delete(c, name)
	return at
}
