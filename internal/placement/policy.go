package placement

import (
	"cmp"
	"slices"
	"time"
)

// Policy names an algorithm that picks the target of a request.
type Policy string

// The policies. All respect the limits of cold targets and the allowed regions.
const (
	// PolicyCompletion takes the object's target with the earliest expected answer.
	PolicyCompletion Policy = "completion"
	// PolicyHashing takes the object's first target of the own region at which this VM
	// has slots left.
	PolicyHashing Policy = "hashing"
	// PolicyHashingRegions continues in other regions if the own one is full.
	PolicyHashingRegions Policy = "hashing-regions"
	// PolicyLeastLoaded takes the own region's target with the least estimated load.
	PolicyLeastLoaded Policy = "least-loaded"
	// PolicyPowerOfTwo takes the less loaded of two random targets of the own region.
	PolicyPowerOfTwo Policy = "power-of-two"
)

// chooser returns the target of a request; nil if none has room.
type chooser func(p *Pool, a *Request, now time.Time) *Selection

var choosers = map[Policy]chooser{
	PolicyCompletion:     (*Pool).chooseCompletion,
	PolicyHashing:        (*Pool).chooseHashing,
	PolicyHashingRegions: (*Pool).chooseHashingRegions,
	PolicyLeastLoaded:    (*Pool).chooseLeastLoaded,
	PolicyPowerOfTwo:     (*Pool).choosePowerOfTwo,
}

// Policies lists all policies, the default one first.
func Policies() []Policy {
	return []Policy{PolicyCompletion, PolicyHashing, PolicyHashingRegions, PolicyLeastLoaded, PolicyPowerOfTwo}
}

// Known reports whether there is such a policy.
func (p Policy) Known() bool { return choosers[p] != nil }

// chooseHashing is PolicyHashing.
func (p *Pool) chooseHashing(a *Request, now time.Time) *Selection {
	return p.firstUnfilled(a, p.hashed(a, true, now), now)
}

// chooseHashingRegions is PolicyHashingRegions.
func (p *Pool) chooseHashingRegions(a *Request, now time.Time) *Selection {
	if at := p.chooseHashing(a, now); at != nil {
		return at
	}
	return p.firstUnfilled(a, p.hashed(a, false, now), now)
}

// firstUnfilled returns the first target at which this VM has slots of its share left.
func (p *Pool) firstUnfilled(a *Request, order []*targetState, now time.Time) *Selection {
	for rank, t := range order {
		if t.own < p.slotShare(t) {
			return p.placed(t, a, rank, a.Key == "" || t.objects.known(a.Key), now)
		}
	}
	return nil
}

// slotShare is this VM's share of a target's slots among the VMs of the region, doubled,
// as not all are busy at a time.
func (p *Pool) slotShare(t *targetState) int {
	vms := 0
	for _, vm := range p.fleet.VMs {
		if vm.Region == p.region {
			vms++
		}
	}
	return max(1, 2*t.Slots/max(vms, 1))
}

// hashed returns the allowed targets of the own region, or of the others, in rank order.
func (p *Pool) hashed(a *Request, own bool, now time.Time) []*targetState {
	var out []*targetState
	for _, t := range p.rank(p.hashKey(a)) {
		if p.allowed(t, a, own, now) {
			out = append(out, t)
		}
	}
	return out
}

// allowed reports whether a target is in the own region, or outside it, and may get the
// request.
func (p *Pool) allowed(t *targetState, a *Request, own bool, now time.Time) bool {
	return (t.Region == p.region) == own && p.mayServe(t, a, now) && p.mayUseCold(t, now)
}

// local returns the own region's targets that may get the request.
func (p *Pool) local(a *Request, now time.Time) []*targetState {
	var out []*targetState
	for _, t := range p.order {
		if p.allowed(t, a, true, now) {
			out = append(out, t)
		}
	}
	return out
}

// chooseLeastLoaded is PolicyLeastLoaded.
func (p *Pool) chooseLeastLoaded(a *Request, now time.Time) *Selection {
	return p.leastLoaded(a, p.local(a, now), now)
}

// choosePowerOfTwo is PolicyPowerOfTwo.
func (p *Pool) choosePowerOfTwo(a *Request, now time.Time) *Selection {
	drawn := p.local(a, now)
	p.rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return p.leastLoaded(a, drawn[:min(2, len(drawn))], now)
}

func (p *Pool) leastLoaded(a *Request, targets []*targetState, now time.Time) *Selection {
	if len(targets) == 0 {
		return nil
	}
	best := slices.MinFunc(targets, func(x, y *targetState) int {
		return cmp.Compare(x.busy(now), y.busy(now))
	})
	return p.placed(best, a, 0, a.Key == "" || best.objects.known(a.Key), now)
}
