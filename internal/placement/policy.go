package placement

import (
	"cmp"
	"slices"
	"time"
)

// Policy names a way to choose the target of a request.
type Policy string

// The policies. All keep the bounds of cold targets and of allowed regions.
const (
	// PolicyCompletion takes the target of the object at which the request is
	// expected to be answered first.
	PolicyCompletion Policy = "completion"
	// PolicyHashing takes the first target of the own region in the order of the
	// object that this VM's requests do not fill yet.
	PolicyHashing Policy = "hashing"
	// PolicyHashingRegions is the same, and goes on in other regions when all of
	// the own one are full.
	PolicyHashingRegions Policy = "hashing-regions"
	// PolicyLeastLoaded takes the target of the own region that is believed to
	// have the least load.
	PolicyLeastLoaded Policy = "least-loaded"
	// PolicyPowerOfTwo takes the less loaded one of two targets of the own region,
	// drawn at random.
	PolicyPowerOfTwo Policy = "power-of-two"
)

// chooser returns the target of a request, nil when there is none now.
type chooser func(p *Pool, a *Ask, now time.Time) *Placed

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
func (p *Pool) chooseHashing(a *Ask, now time.Time) *Placed {
	return p.firstUnfilled(a, p.hashed(a, true, now), now)
}

// chooseHashingRegions is PolicyHashingRegions.
func (p *Pool) chooseHashingRegions(a *Ask, now time.Time) *Placed {
	if at := p.chooseHashing(a, now); at != nil {
		return at
	}
	return p.firstUnfilled(a, p.hashed(a, false, now), now)
}

// firstUnfilled returns the first target of which this VM does not use its
// share of the slots yet.
func (p *Pool) firstUnfilled(a *Ask, order []*targetState, now time.Time) *Placed {
	for rank, t := range order {
		if t.own < p.slotShare(t) {
			return p.placed(t, a, rank, a.Key == "" || t.objects.known(a.Key), now)
		}
	}
	return nil
}

// slotShare is how many requests this VM may have at a target when the VMs of
// its region share the slots, twice over, as not all are busy at a time.
func (p *Pool) slotShare(t *targetState) int {
	vms := 0
	for _, vm := range p.fleet.VMs {
		if vm.Region == p.region {
			vms++
		}
	}
	return max(1, 2*t.Slots/max(vms, 1))
}

// hashed returns the targets of the own region, or of the others, in the order
// of the request's object.
func (p *Pool) hashed(a *Ask, own bool, now time.Time) []*targetState {
	var out []*targetState
	for _, t := range p.rank(p.hashKey(a)) {
		if p.allowed(t, a, own, now) {
			out = append(out, t)
		}
	}
	return out
}

// allowed reports whether a target is in the own region, or in another one, and
// may get the request now.
func (p *Pool) allowed(t *targetState, a *Ask, own bool, now time.Time) bool {
	return (t.Region == p.region) == own && p.mayServe(t, a, now) && p.mayChill(t, now)
}

// local returns the targets of the own region that may get the request now.
func (p *Pool) local(a *Ask, now time.Time) []*targetState {
	var out []*targetState
	for _, t := range p.order {
		if p.allowed(t, a, true, now) {
			out = append(out, t)
		}
	}
	return out
}

// chooseLeastLoaded is PolicyLeastLoaded.
func (p *Pool) chooseLeastLoaded(a *Ask, now time.Time) *Placed {
	return p.leastLoaded(a, p.local(a, now), now)
}

// choosePowerOfTwo is PolicyPowerOfTwo.
func (p *Pool) choosePowerOfTwo(a *Ask, now time.Time) *Placed {
	drawn := p.local(a, now)
	p.rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return p.leastLoaded(a, drawn[:min(2, len(drawn))], now)
}

func (p *Pool) leastLoaded(a *Ask, targets []*targetState, now time.Time) *Placed {
	if len(targets) == 0 {
		return nil
	}
	best := slices.MinFunc(targets, func(x, y *targetState) int {
		return cmp.Compare(x.busy(now), y.busy(now))
	})
	return p.placed(best, a, 0, a.Key == "" || best.objects.known(a.Key), now)
}
