package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// reserveDecay is the time constant by which the reserve for a priority falls from its peak to
	// its present demand.
	reserveDecay = 5 * time.Second
	// reserveWindow is the time constant over which demand is averaged for its peak. The peaks of a
	// shorter average are mostly chance: at 40 requests/s they would reserve half as much again as is
	// asked for.
	reserveWindow = 2 * time.Second
	// headroom is the reserve of a priority, in multiples of its peak. Lower priorities leave some slots
	// free, as a request that finds none waits for a run of another one to end.
	headroom = 1.15
	// Limits are sent once the demand or the slots in use exceed closeFraction of the capacity, until
	// both are below roomFraction again.
	closeFraction = 0.85
	roomFraction  = 0.7
	// minFactor is the lowest factor by which feedback scales the capacity.
	minFactor = 0.6
	// waitingPerSlot is the number of waiting requests per slot from which on the capacity is scaled
	// down. Some requests always wait where slots are used in full.
	waitingPerSlot = 0.15
	// waitingWeight is by how much each further waiting request per slot scales the capacity down.
	waitingWeight = 1
	// minWork is the lowest fraction of the computed demand that requests are taken to use, and
	// workWindow the time constant by which the fraction follows the slots in use.
	minWork    = 0.8
	workWindow = 2 * time.Second
	// factorWindow is the time constant by which the factor follows the number of waiting requests.
	factorWindow = 250 * time.Millisecond
)

// Observation is what the root of a region's tree knows of one service.
type Observation struct {
	Demand   *Demand // sum over the region's VMs; nil: none
	Capacity float64 // slots of the region's usable targets, corrected for their speed
	// Overflow is what the region's VMs use of other regions' capacity while nothing is known of
	// those, in slots.
	Overflow float64
	Busy     float64 // slots in use
	Running  float64 // slots that the region's requests use, in all regions
	Queued   float64 // requests that wait at targets
}

// waiting returns the number of requests that wait at VMs and targets.
func (o *Observation) waiting() float64 {
	if o.Demand == nil {
		return o.Queued
	}
	return o.Queued + float64(min(o.Demand.Waiting, maxDemand))
}

// Decider computes the limits of one service at the root of a region's tree. It is not safe for
// concurrent use.
type Decider struct {
	region   string
	means    map[int]float64 // averages of the demand over reserveWindow, in slots, by priority
	peaks    map[int]float64 // decaying peaks of these
	reserves map[int]float64 // peaks or present demand, whichever is higher
	factor   float64         // by which feedback scales the capacity
	work     float64         // slots that requests use, as a fraction of the demand that was computed for them
	short    bool
	admitted float64 // demand that the last decision admits, in slots
	decided  time.Time
}

// NewDecider returns a decider for a region.
func NewDecider(region string) *Decider {
	return &Decider{region: region, means: make(map[int]float64), peaks: make(map[int]float64), factor: 1, work: 1}
}

// Decide returns the region's limits, and its load for other regions. The limits are nil if there is
// room for all. others holds the loads of other regions as far as they are known.
func (d *Decider) Decide(o Observation, others map[string]RegionLoad, now time.Time) (*Limits, RegionLoad) {
	d.updateFactor(&o, now)
	d.updateWork(&o, now)
	demand := demandSlots(o.Demand, d.work)
	d.updateReserves(demand, now)
	d.decided = now
	own := RegionLoad{Capacity: d.factor * clampSlots(o.Capacity), Demand: maps.Clone(d.reserves), Busy: clampSlots(o.Busy)}
	if own.Capacity == 0 || !d.updateShort(demand, &own, &o) {
		d.admitted = sum(demand)
		return nil, own
	}
	fractions := d.fractions(demand, d.plan(own, &o, others), d.plan(d.unscaled(own, demand), &o, others))
	d.admitted = 0
	for priority, slots := range demand {
		d.admitted += fractions[priority] * slots
	}
	return newLimits(o.Demand, demand, fractions, d.work), own
}

// plan returns the plan for this region with a load of its own. What runs in regions of which nothing
// is known adds to its capacity.
func (d *Decider) plan(own RegionLoad, o *Observation, others map[string]RegionLoad) RegionPlan {
	loads := map[string]RegionLoad{}
	maps.Copy(loads, others)
	if len(others) == 0 {
		own.Capacity += clampSlots(o.Overflow)
	}
	loads[d.region] = own
	return Plan(loads)[d.region]
}

// unscaled returns a load without feedback and reserves. The floors of lower priorities come on top of
// its capacity.
func (d *Decider) unscaled(own RegionLoad, demand map[int]float64) RegionLoad {
	own.Capacity *= (1 + floorFraction) / d.factor
	own.Demand = demand
	return own
}

// demandSlots returns the demand by priority, in slots, scaled by a factor.
func demandSlots(d *Demand, factor float64) map[int]float64 {
	slots := make(map[int]float64)
	if d != nil {
		for priority, milli := range d.Priorities {
			slots[priority] = factor * float64(min(milli, maxDemand)) / milliSlots
		}
	}
	return slots
}

// updateFactor scales the capacity down while requests wait although the admitted demand fits. Requests
// that wait while slots are free wait for certain targets, not for capacity.
func (d *Decider) updateFactor(o *Observation, now time.Time) {
	factor := 1.0
	if capacity := clampSlots(o.Capacity); capacity > 0 && o.Busy > roomFraction*capacity {
		factor -= waitingWeight * max(o.waiting()/capacity-waitingPerSlot, 0)
	}
	factor = max(factor, minFactor)
	d.factor = factor + decay(now.Sub(d.decided), factorWindow)*(d.factor-factor)
}

// updateWork compares the slots in use with the demand that was admitted. Run times are measured too long
// where requests have waited at targets without their VMs knowing. The comparison holds while none waits.
func (d *Decider) updateWork(o *Observation, now time.Time) {
	work := 1.0
	if d.short && d.admitted > 0 && o.waiting() < waitingPerSlot*clampSlots(o.Capacity) {
		work = min(max(d.work*clampSlots(o.Running)/d.admitted, minWork), 1)
	}
	d.work = work + decay(now.Sub(d.decided), workWindow)*(d.work-work)
}

// updateReserves computes the reserve of each priority. The lowest one needs none beyond its present
// demand, as nothing gives way to it.
func (d *Decider) updateReserves(demand map[int]float64, now time.Time) {
	elapsed := now.Sub(d.decided)
	d.reserves = make(map[int]float64)
	lowest := math.MinInt
	for priority, slots := range demand {
		d.means[priority] += 0 // makes an entry for a new priority
		lowest = max(lowest, priority)
		d.reserves[priority] = slots
	}
	for priority := range d.means {
		slots := demand[priority]
		d.means[priority] = slots + decay(elapsed, reserveWindow)*(d.means[priority]-slots)
		d.peaks[priority] = max(d.means[priority], d.peaks[priority]*decay(elapsed, reserveDecay))
		if d.peaks[priority]*milliSlots < minDemand {
			delete(d.means, priority)
			delete(d.peaks, priority)
		} else if priority < lowest {
			d.reserves[priority] = headroom * max(slots, d.peaks[priority])
		}
	}
}

// updateShort reports whether the service is short of room, or close to it.
func (d *Decider) updateShort(demand map[int]float64, own *RegionLoad, o *Observation) bool {
	used := max(sum(demand), own.Busy+o.waiting())
	switch {
	case used > closeFraction*own.Capacity:
		d.short = true
	case used < roomFraction*own.Capacity:
		d.short = false
	}
	return d.short
}

func sum(demand map[int]float64) float64 {
	total := 0.0
	for _, priority := range slices.Sorted(maps.Keys(demand)) {
		total += demand[priority]
	}
	return total
}

// fractions returns the admitted fractions of the present demand. The plan for the reserves and the
// scaled capacity decides on the lowest priority only: if requests wait, or a peak may return, the lowest
// gives way and not those for which room is kept. No priority gets more than a higher one.
func (d *Decider) fractions(demand map[int]float64, reserved, present RegionPlan) map[int]float64 {
	fractions := make(map[int]float64)
	highest := 1.0
	priorities := slices.Sorted(maps.Keys(demand))
	for i, priority := range priorities {
		plan := present
		if i == len(priorities)-1 {
			plan = reserved
		}
		if f, ok := plan.Admit[priority]; ok {
			highest = min(highest, f)
		}
		fractions[priority] = highest
	}
	return fractions
}

// newLimits returns limits with the fractions below 1, and those of customers above their fair share.
// work scales the customers' demand.
func newLimits(d *Demand, demand, fractions map[int]float64, work float64) *Limits {
	l := &Limits{}
	for priority, f := range fractions {
		if f >= admitAll {
			continue
		}
		if l.Admit == nil {
			l.Admit = make(map[int]float64)
		}
		l.Admit[priority] = f
		customers := make(map[uint32]float64)
		for customer, milli := range d.Customers[priority] {
			customers[customer] = work * float64(min(milli, maxDemand)) / milliSlots
		}
		if shares := customerFractions(customers, demand[priority], f); len(shares) > 0 {
			if l.Customers == nil {
				l.Customers = make(map[int]map[uint32]float64)
			}
			l.Customers[priority] = shares
		}
	}
	return l
}
