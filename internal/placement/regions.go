package placement

import (
	"math"
	"time"

	"masticturn/internal/overload"
)

// RegionLoads exchanges the loads of regions by service. regionload.Service implements it.
type RegionLoads interface {
	// Publish sends the loads of this VM's region to the other regions.
	Publish(loads map[string]overload.RegionLoad)
	// Others returns the loads of the other regions as far as they are known.
	Others(service string) map[string]overload.RegionLoad
}

const (
	// A region lacks capacity once its demand exceeds lackFrom of its capacity, until the demand has been
	// less than lackUntil for lackHold. While the tree of VMs changes, a part of the demand is missing for
	// some intervals of reports.
	lackFrom  = 1.0
	lackUntil = 0.9
	lackHold  = 2 * time.Second
	// planUtilization is the part of each region's capacity that the split uses. Requests arrive at
	// random, so that they would queue at targets without a free slot.
	planUtilization = 0.85
	// planSmoothing is the time constant over which plans are averaged, as loads vary from one report to
	// the next.
	planSmoothing = 2 * time.Second
	// minPlanChange is the least change of the plan by which the wanted split changes.
	minPlanChange = 0.05
	// announceDefault is how long a return to the default is sent.
	announceDefault = 10 * time.Second
)

// The reasons for which the split is the default, or is not.
const (
	reasonLacksCapacity  = "the region's demand exceeds its capacity"
	reasonFits           = "the region's demand fits its capacity"
	reasonDefaultSuffice = "the default sends enough to other regions"
	reasonOthersUnknown  = "no load of another region is known"
	reasonNoDemand       = "no demand is known"
	reasonOneRegion      = "all targets are in one region"
)

// RegionDecision is the decision of a region's root for one service.
type RegionDecision struct {
	Split map[string]float64 // as in Usage
	Spare map[string]float64 // as in Usage
}

// regionPlanner decides on the split of a region's requests at the root of its tree.
type regionPlanner struct {
	lacking   bool
	fitsSince time.Time            // since when the demand has been less than lackUntil; zero: it is not
	smoothed  map[string]float64   // mean of the plans; nil: none
	wanted    map[string]float64   // the last decision; nil: none; empty: the default
	plannedAt time.Time            // last plan
	knownAt   map[string]time.Time // when another region's load was last known
	heardAt   time.Time            // when any load of another region was last known
	onUntil   time.Time            // until when a return to the default is announced
	reason    string               // of the last decision
}

// regionInputs is what a decision is based on.
type regionInputs struct {
	region   string // of the VM
	own      overload.RegionLoad
	others   map[string]overload.RegionLoad // as far as they are known
	defaults map[string]float64             // the split by default
	vms      map[string]int                 // number of VMs by region
}

// decide returns the split and the spare slots. Both are nil if nothing is known of other regions.
func (r *regionPlanner) decide(in *regionInputs, now time.Time) RegionDecision {
	if len(in.others) == 0 {
		r.smoothed = nil
		r.reason = reasonOthersUnknown
		if now.Sub(r.heardAt) > splitHold {
			r.wanted = nil // the VMs return to the default
		}
		return RegionDecision{}
	}
	r.heardAt = now
	r.recordKnown(in.others, now)
	r.updateLacking(&in.own, now)
	if !r.lacking {
		r.smoothed, r.wanted = nil, map[string]float64{}
		r.reason = reasonFits
		return RegionDecision{Split: r.announced(now)}
	}
	r.smooth(r.plan(in, now), now)
	r.choose(in)
	return RegionDecision{Split: r.announced(now), Spare: spareSlots(in)}
}

// announced returns the wanted split to send. The default is only sent for a while after another one, so
// that the reports of regions which do not lack capacity are those without this part.
func (r *regionPlanner) announced(now time.Time) map[string]float64 {
	if len(r.wanted) > 0 {
		r.onUntil = now.Add(announceDefault)
	}
	if len(r.wanted) == 0 && !now.Before(r.onUntil) {
		return nil
	}
	return r.wanted
}

func (r *regionPlanner) recordKnown(others map[string]overload.RegionLoad, now time.Time) {
	if r.knownAt == nil {
		r.knownAt = make(map[string]time.Time)
	}
	for region := range others {
		r.knownAt[region] = now
	}
}

func (r *regionPlanner) updateLacking(own *overload.RegionLoad, now time.Time) {
	demand := own.TotalDemand()
	switch {
	case demand >= lackUntil*own.Capacity:
		r.fitsSince = time.Time{}
		r.lacking = r.lacking || demand > lackFrom*own.Capacity
	case r.fitsSince.IsZero():
		r.fitsSince = now
	case now.Sub(r.fitsSince) >= lackHold:
		r.lacking = false
	}
}

// plan returns the planned split. A region of which nothing is known keeps its share for splitHold and
// then has its default share; the plan applies to the others.
func (r *regionPlanner) plan(in *regionInputs, now time.Time) map[string]float64 {
	loads := make(map[string]overload.RegionLoad, len(in.others)+1)
	for region, load := range in.others {
		loads[region] = usedPart(load)
	}
	loads[in.region] = usedPart(in.own)
	planned := overload.Plan(loads)[in.region].Split
	shares := make(map[string]float64, len(in.defaults))
	left := 1.0
	for region, share := range in.defaults {
		if _, known := loads[region]; known {
			continue
		}
		if held, ok := r.wanted[region]; ok && now.Sub(r.knownAt[region]) <= splitHold {
			share = held
		}
		shares[region] = share
		left -= share
	}
	for region, share := range planned {
		shares[region] = share * max(left, 0)
	}
	if len(planned) == 0 { // nothing is known of the targets
		return in.defaults
	}
	return shares
}

// usedPart returns a load with the part of the capacity that the split uses.
func usedPart(l overload.RegionLoad) overload.RegionLoad {
	l.Capacity *= planUtilization
	return l
}

// smooth averages the plans.
func (r *regionPlanner) smooth(planned map[string]float64, now time.Time) {
	if r.smoothed == nil {
		r.smoothed = planned
	} else {
		elapsed := max(now.Sub(r.plannedAt), 0)
		r.smoothed = moveShares(r.smoothed, planned, 1-math.Exp(-float64(elapsed)/float64(planSmoothing)))
	}
	r.plannedAt = now
}

// choose sets the wanted split to the mean plan if that differs enough. Where the default sends as much to
// other regions, it stays.
func (r *regionPlanner) choose(in *regionInputs) {
	r.reason = reasonLacksCapacity
	if own := in.defaults[in.region]; own > 0 && r.smoothed[in.region] >= own {
		r.wanted, r.reason = map[string]float64{}, reasonDefaultSuffice
		return
	}
	present := r.wanted
	if len(present) == 0 {
		present = in.defaults
	}
	if shareDistance(present, r.smoothed) >= minPlanChange {
		r.wanted = r.smoothed
	}
	if len(r.wanted) == 0 {
		r.wanted, r.reason = map[string]float64{}, reasonDefaultSuffice
	}
}

// spareSlots returns the slots of each other region that a VM may use for requests whose candidates are
// full: the region's free slots, divided by the number of VMs in the regions that lack capacity. There are none
// while this VM does not know the others.
func spareSlots(in *regionInputs) map[string]float64 {
	vms := in.vms[in.region]
	if vms == 0 {
		return nil
	}
	for region, load := range in.others {
		if load.TotalDemand() > lackFrom*load.Capacity {
			vms += in.vms[region]
		}
	}
	spare := make(map[string]float64)
	for region, load := range in.others {
		if free := load.Capacity - max(load.Busy, load.TotalDemand()); free > 0 {
			spare[region] = free / float64(vms)
		}
	}
	return spare
}

// anyDemand reports whether any region has demand.
func anyDemand(loads map[string]overload.RegionLoad) bool {
	for _, load := range loads {
		if load.TotalDemand() > 0 {
			return true
		}
	}
	return false
}

// PlanRegions decides on the split at the root of the region's tree. known is the region's load; nil: it has
// no demand. It returns the load for the other regions; ok is false if the part is off for the service.
func (p *Pool) PlanRegions(known *overload.RegionLoad, others map[string]overload.RegionLoad, now time.Time) (load overload.RegionLoad, d RegionDecision, ok bool) {
	switch {
	case !p.enabled.Regions || len(p.slotsByRegion) < 2:
		p.planner = regionPlanner{reason: reasonOneRegion}
		return load, d, false
	case known != nil:
		load = *known
	case anyDemand(others):
		load = p.regionLoad(&overload.Demand{}, now) // the region has capacity for the others
	default:
		p.planner = regionPlanner{reason: reasonNoDemand}
		return load, d, false
	}
	if p.planner.wanted == nil && p.split.wanted != nil {
		p.planner.wanted, p.planner.lacking = p.split.wanted, true // as the last root decided
	}
	d = p.planner.decide(&regionInputs{
		region: p.region, own: load, others: others, defaults: p.defaultShares(), vms: p.vmsByRegion(),
	}, now)
	return load, d, true
}

// RegionLoad returns the load of this VM's region with a demand; nil if that is nil.
func (p *Pool) RegionLoad(demand *overload.Demand, now time.Time) *overload.RegionLoad {
	if demand == nil {
		return nil
	}
	load := p.regionLoad(demand, now)
	return &load
}

// ApplyRegions applies the decision of the region's root, valid for ttl. A decision without a split leaves
// the present one to expire.
func (p *Pool) ApplyRegions(d RegionDecision, ttl time.Duration, now time.Time) {
	if !p.enabled.Regions {
		return
	}
	if d.Split != nil {
		p.setSplit(d.Split, now)
	}
	p.spare.set(d.Spare, now.Add(ttl))
	p.stepSplit(now)
}

// regionLoad returns the load of this VM's region.
func (p *Pool) regionLoad(demand *overload.Demand, now time.Time) overload.RegionLoad {
	l := overload.RegionLoad{Demand: make(map[int]float64, len(demand.Priorities))}
	for priority, milli := range demand.Priorities {
		l.Demand[priority] = float64(min(milli, maxDemand)) / milliSlots
	}
	for _, t := range p.sortedTargets {
		if t.Region != p.region || !t.inService() || !t.notice.accepting(now) || t.failures >= failuresToEject {
			continue
		}
		l.Capacity += float64(t.Slots) / max(t.slowness.factorAt(now)*t.workFactor.at(now), minSpeedFactor)
		l.Busy += float64(min(t.load(now), t.Slots))
	}
	return l
}

const (
	// milliSlots is the number of milli-slots in a slot, the unit of demands.
	milliSlots = 1000
	// maxDemand bounds a demand, in milli-slots.
	maxDemand = 1_000_000 * milliSlots
	// minSpeedFactor bounds the speed at which a target is counted, in multiples of the usual run time.
	minSpeedFactor = 0.25
)

// vmsByRegion returns the number of VMs by region.
func (p *Pool) vmsByRegion() map[string]int {
	vms := make(map[string]int)
	for _, vm := range p.fleet.VMs {
		vms[vm.Region]++
	}
	return vms
}
