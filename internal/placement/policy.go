package placement

import (
	"cmp"
	"slices"
	"time"
)

// Policy is the name of an algorithm that chooses the target of a request.
type Policy string

// The policies. All of them respect the limits of cold targets and the allowed regions.
const (
	// PolicyCompletion chooses the one of the object's targets that is expected to answer
	// first.
	PolicyCompletion Policy = "completion"
	// PolicyHashing chooses the object's first target in this VM's region at which the VM
	// has not used up its share of the slots.
	PolicyHashing Policy = "hashing"
	// PolicyHashingRegions is like PolicyHashing, but also considers other regions if the VM has
	// used up its share of all targets in its own.
	PolicyHashingRegions Policy = "hashing-regions"
	// PolicyLeastLoaded chooses the target in this VM's region with the lowest estimated
	// load.
	PolicyLeastLoaded Policy = "least-loaded"
	// PolicyPowerOfTwo chooses the less loaded of two random targets in this VM's region.
	PolicyPowerOfTwo Policy = "power-of-two"
)

// chooseFunc chooses the target of a request; nil if all are full.
type chooseFunc func(p *Pool, req *Request, now time.Time) *Selection

var chooseFuncs = map[Policy]chooseFunc{
	PolicyCompletion:     (*Pool).chooseCompletion,
	PolicyHashing:        (*Pool).chooseHashing,
	PolicyHashingRegions: (*Pool).chooseHashingRegions,
	PolicyLeastLoaded:    (*Pool).chooseLeastLoaded,
	PolicyPowerOfTwo:     (*Pool).choosePowerOfTwo,
}

// Policies returns all policies, the default first.
func Policies() []Policy {
	return []Policy{PolicyCompletion, PolicyHashing, PolicyHashingRegions, PolicyLeastLoaded, PolicyPowerOfTwo}
}

// Valid reports whether the policy exists.
func (p Policy) Valid() bool { return chooseFuncs[p] != nil }

// chooseHashing implements PolicyHashing.
func (p *Pool) chooseHashing(req *Request, now time.Time) *Selection {
	return p.firstUnfilled(req, p.rankedTargets(req, true, now), now)
}

// chooseHashingRegions implements PolicyHashingRegions.
func (p *Pool) chooseHashingRegions(req *Request, now time.Time) *Selection {
	if sel := p.chooseHashing(req, now); sel != nil {
		return sel
	}
	return p.firstUnfilled(req, p.rankedTargets(req, false, now), now)
}

// firstUnfilled returns the first target at which this VM has fewer requests than its share
// of the slots.
func (p *Pool) firstUnfilled(req *Request, ranked []*targetState, now time.Time) *Selection {
	for rank, t := range ranked {
		if t.ownRequests < p.fairSlots(t) {
			return p.newSelection(t, req, rank, req.Key == "" || t.objects.known(req.Key), now)
		}
	}
	return nil
}

// fairSlots returns this VM's share of a target's slots among the VMs of its region. The
// share is doubled, as the VMs are not all busy at the same time.
func (p *Pool) fairSlots(t *targetState) int {
	vms := 0
	for _, vm := range p.fleet.VMs {
		if vm.Region == p.region {
			vms++
		}
	}
	return max(1, 2*t.Slots/max(vms, 1))
}

// rankedTargets returns the allowed targets in this VM's region, or else in the other
// regions, in rank order.
func (p *Pool) rankedTargets(req *Request, local bool, now time.Time) []*targetState {
	var out []*targetState
	for _, t := range p.rank(p.hashKey(req), len(p.sortedTargets)) {
		if p.allowed(t, req, local, now) {
			out = append(out, t)
		}
	}
	return out
}

// allowed reports whether a target may get the request and is in this VM's region, or in
// another one if local is false.
func (p *Pool) allowed(t *targetState, req *Request, local bool, now time.Time) bool {
	if (t.Region == p.region) != local || !p.canServe(t, req, now) || !p.coldLimitAllows(t, now) {
		return false
	}
	_, allowed := p.rateLimit(t, req, now)
	return allowed
}

// localTargets returns the targets in this VM's region that may get the request.
func (p *Pool) localTargets(req *Request, now time.Time) []*targetState {
	var out []*targetState
	for _, t := range p.sortedTargets {
		if p.allowed(t, req, true, now) {
			out = append(out, t)
		}
	}
	return out
}

// chooseLeastLoaded implements PolicyLeastLoaded.
func (p *Pool) chooseLeastLoaded(req *Request, now time.Time) *Selection {
	return p.leastLoaded(req, p.localTargets(req, now), now)
}

// choosePowerOfTwo implements PolicyPowerOfTwo.
func (p *Pool) choosePowerOfTwo(req *Request, now time.Time) *Selection {
	targets := p.localTargets(req, now)
	p.rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return p.leastLoaded(req, targets[:min(2, len(targets))], now)
}

// leastLoaded chooses the target with the lowest estimated load; nil if there are none.
func (p *Pool) leastLoaded(req *Request, targets []*targetState, now time.Time) *Selection {
	if len(targets) == 0 {
		return nil
	}
	best := slices.MinFunc(targets, func(x, y *targetState) int {
		return cmp.Compare(x.load(now), y.load(now))
	})
	return p.newSelection(best, req, 0, req.Key == "" || best.objects.known(req.Key), now)
}
