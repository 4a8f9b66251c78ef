package placement

import (
	"slices"
	"time"

	"masticturn/internal/overload"
)

// overloadState is a pool's part of the admission by priority and customer. The zero value is off.
type overloadState struct {
	scope   overloadScope
	gate    *overload.Gate    // nil: off
	decider *overload.Decider // used while this VM is the root of its region's tree
	runs    classRuns
	blocked blockedRequest // of the present pass over the queue
}

// setOverloadScope switches the part on or off. It reports whether that has changed.
func (p *Pool) setOverloadScope(scope overloadScope) (changed bool) {
	changed = scope.on() != p.overload.scope.on()
	switch {
	case !scope.on():
		p.overload = overloadState{}
	case changed:
		p.overload = overloadState{
			scope:   scope,
			gate:    overload.NewGate(p.rand),
			decider: overload.NewDecider(p.region),
			runs:    classRuns{byClass: make(map[string]*classRun)},
		}
	default:
		p.overload.scope = scope
	}
	return changed
}

// gateRefusal records the arrival of a request, and refuses it if the region's limits do not admit it;
// nil: it is admitted. A request that another target has refused has been admitted before.
func (p *Pool) gateRefusal(req *Request, now time.Time) *Refusal {
	gate := p.overload.gate
	if gate == nil || len(req.Exclude) > 0 {
		return nil
	}
	customer := p.overload.scope.customerID(req.Customer)
	gate.Observe(req.Priority, customer, p.overload.runs.expect(req), now)
	if gate.Admit(req.Priority, customer, now) {
		return nil
	}
	r := p.refuseNoCapacity(req, now)
	if req.Priority > p.overload.scope.highest {
		r.Reason = reasonPriority
	}
	if gate.SharedByCustomer(req.Priority, customer, now) {
		r.Reason = reasonFairShare
	}
	return r
}

// hasCapacityFor reports whether a target may get a request: it has a free slot or, for a request that may
// queue at targets, room in its queue.
func (p *Pool) hasCapacityFor(t *targetState, req *Request, now time.Time) bool {
	if req.staysInRegion && t.Region != p.region {
		return false
	}
	if p.onlyFreeSlots(req, now) {
		return t.load(now) < t.Slots
	}
	return p.hasCapacity(t, now)
}

// furtherCandidates is the number of targets that are considered besides a request's candidates.
const furtherCandidates = 16

// looksFurther reports whether further targets than a request's candidates are considered: for those of
// the service's highest priority while lower ones use the capacity, if none would run it at once.
func (p *Pool) looksFurther(req *Request, cost time.Duration, found bool, now time.Time) bool {
	o := &p.overload
	if o.gate == nil || req.Key != "" || len(o.scope.priorities) < 2 || req.Priority > o.scope.highest || !o.gate.Short(now) {
		return false
	}
	return !found || cost > p.runTimes.expect(true, 0)+rankPenalty
}

// chooseFurther returns the target of this region that is expected to answer first, out of some chosen
// at random and the best candidate.
func (p *Pool) chooseFurther(req *Request, best *Selection, bestCost time.Duration, now time.Time) *Selection {
	if len(p.sortedTargets) == 0 {
		return best
	}
	for range furtherCandidates {
		t := p.sortedTargets[p.rand.IntN(len(p.sortedTargets))]
		if t.cold(now) || !p.hasCapacityFor(t, req, now) || !p.allowed(t, req, true, now) {
			continue
		}
		known := req.Key == "" || t.objects.known(req.Key)
		cost := p.estimateAnswer(t, req, known, replicas, now) + p.preference(t, req, replicas, now)
		if best == nil || cost < bestCost {
			best, bestCost = p.newSelection(t, req, replicas, known, now), cost
		}
	}
	return best
}

// preference returns by how much earlier a target must be expected to answer to be chosen before the
// object's first one. Requests without an object prefer the target with less load where the part is on:
// its load is known only as of the last report, so that the emptier one is the safer choice. Targets of
// other regions, whose load this VM does not know, are then taken to be full and farther away.
func (p *Pool) preference(t *targetState, req *Request, rank int, now time.Time) time.Duration {
	if p.overload.gate == nil || req.Key != "" || t.Slots == 0 {
		return time.Duration(rank) * rankPenalty
	}
	if t.Region != p.region && p.overload.gate.Short(now) {
		return rankPenalty + time.Duration(p.roundTrips[t.Region])
	}
	return time.Duration(float64(rankPenalty) * float64(t.load(now)) / float64(t.Slots))
}

// servesInRegion reports whether this region has a target for the request.
func (p *Pool) servesInRegion(req *Request, now time.Time) bool {
	return slices.ContainsFunc(p.sortedTargets, func(t *targetState) bool {
		return t.Region == p.region && p.canServe(t, req, now)
	})
}

// onlyFreeSlots reports whether a request must not queue at a target. That holds for all priorities but
// the service's highest while the service is short of room, and at a VM where a higher one waits.
func (p *Pool) onlyFreeSlots(req *Request, now time.Time) bool {
	if p.overload.gate == nil || req.Priority <= p.overload.scope.highest {
		return false
	}
	return req.Key == "" && p.overload.gate.Short(now) || p.overload.blocked.before(req)
}

// blockedRequest is the request of the highest priority that a pass over the queue has left waiting.
type blockedRequest struct{ req *Request }

// note records a request that the pass has left waiting. Requests are passed in order of priority.
func (b *blockedRequest) note(req *Request) {
	if b.req == nil || b.req.Priority == req.Priority && b.req.Key != "" {
		b.req = req
	}
}

// before reports whether a request of a higher priority waits.
func (b *blockedRequest) before(req *Request) bool {
	return b.req != nil && b.req.Priority < req.Priority
}

// holds reports whether a request must wait since one of a higher priority does that could use any target.
func (b *blockedRequest) holds(req *Request) bool {
	return b.before(req) && b.req.Key == "" && len(b.req.Exclude) == 0 && !b.req.tokensWanted &&
		(b.req.Rule == nil || len(b.req.Rule.AllowedRegions) == 0)
}

// chooseInTurn is Choose for a request in the queue, which a blocked one of a higher priority may hold.
func (p *Pool) chooseInTurn(req *Request, now time.Time) *Selection {
	if p.overload.gate == nil {
		return p.Choose(req, now)
	}
	if p.overload.blocked.holds(req) {
		return nil
	}
	sel := p.Choose(req, now)
	if sel == nil {
		p.overload.blocked.note(req)
		req.staysInRegion = req.Key == "" && p.overload.gate.Short(now) && p.servesInRegion(req, now)
	}
	return sel
}

// Demand returns what callers ask of this VM; nil if nothing is asked or no part needs it.
func (p *Pool) Demand(now time.Time) *overload.Demand {
	if p.overload.gate == nil {
		return p.meteredDemand(now)
	}
	d := p.overload.gate.Demand(now)
	d.Waiting = uint32(len(p.queue))
	if d.Empty() {
		return nil
	}
	return d
}

// applyLimits puts the region's limits in force; nil: there is room for all.
func (p *Pool) applyLimits(l *overload.Limits, ttl time.Duration, now time.Time) {
	switch {
	case p.overload.gate == nil:
	case l == nil:
		p.overload.gate.Lift()
	default:
		p.overload.gate.Apply(*l, ttl, now)
	}
}

// Decide returns the limits that the root of a region's tree sets, and the region's load. total is the
// sum of the usage of the region's VMs; others holds the loads of other regions as far as they are
// known. Both results are zero if the part is off.
func (p *Pool) Decide(total *Usage, others map[string]overload.RegionLoad, now time.Time) (*overload.Limits, overload.RegionLoad) {
	if p.overload.gate == nil {
		return nil, overload.RegionLoad{}
	}
	o := p.observe(total, now)
	o.Demand = p.overload.scope.known(total.Demand)
	return p.overload.decider.Decide(o, others, now)
}

// observe estimates the capacity of the service's targets and their use. What the VMs of this region
// use of the others' capacity follows the weight of remote slots in the ranking of targets.
func (p *Pool) observe(total *Usage, now time.Time) overload.Observation {
	var o overload.Observation
	for _, t := range p.sortedTargets {
		o.Running += float64(min(max(total.Running[t.id], 0), t.Slots))
		if t.Region != p.region {
			o.Overflow += p.remoteWeight * p.usefulSlots(t, now)
			continue
		}
		running := float64(max(total.Running[t.id], 0))
		busy := min(running, float64(t.Slots))
		o.Capacity += max(p.usefulSlots(t, now), busy/t.slownessNow(now))
		o.Busy += busy
		o.Queued += min(running-busy, float64(t.maxRequests()))
	}
	return o
}

// usefulSlots returns the slots of a target, corrected for its speed; 0 if it gets no requests, or only
// some since it has just started.
func (p *Pool) usefulSlots(t *targetState, now time.Time) float64 {
	if !t.usable(now) || t.cold(now) {
		return 0
	}
	return p.allowedSlots(t) / t.slownessNow(now)
}

// allowedSlots returns the slots of a target that its rate limit lets requests use.
func (p *Pool) allowedSlots(t *targetState) float64 {
	slots := float64(t.Slots)
	if !p.tokens.limits.Any() {
		return slots
	}
	run := p.runTimes.expect(true, 0) // 0: not known yet
	if state := p.tokens.limits.State(t.TargetIndex); state.Limited && run > 0 {
		return min(slots, state.PerSecond*run.Seconds())
	}
	return slots
}

// slownessNow returns how much longer runs take at the target than usual, including the work factor.
func (t *targetState) slownessNow(now time.Time) float64 {
	return min(max(t.slowness.factorAt(now)*t.workFactor.at(now), 1/maxSlowness), maxSlowness)
}
