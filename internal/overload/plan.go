package overload

import (
	"maps"
	"math"
	"slices"
)

const (
	// floorFraction is the part of the overall admitted fraction that each priority keeps, so that
	// none is starved.
	floorFraction = 0.25
	// maxSlots bounds the demands and capacities of a plan. Larger values are taken for faults.
	maxSlots = 1e6
	// admitAll is the fraction from which on a demand counts as admitted as a whole. It absorbs
	// rounding errors.
	admitAll = 1 - 1e-9
)

// Plan decides, for each region, which fraction of each priority to admit and in which regions to run
// the admitted work. For each priority, from the highest (0) down, a region's demand uses the region's
// own capacity first; what is left over uses the free capacity of the other regions in proportion to
// it. Each priority keeps at least a quarter of the fraction of all demand that fits the capacity of
// all regions. The admitted work never exceeds that capacity. Values out of range are clamped. A
// priority without demand has no entry. If no region has capacity, nothing is known of the targets:
// all is admitted and the splits are empty.
func Plan(loads map[string]RegionLoad) map[string]RegionPlan {
	a := newAllocation(loads)
	floor := 1.0
	if total := a.totalDemand(); total > 0 {
		floor = floorFraction * min(1, a.totalFree()/total)
	}
	known := a.totalFree() > 0
	if known {
		for _, priority := range a.priorities {
			a.allocate(priority, floor)
		}
		for _, priority := range a.priorities {
			a.allocate(priority, 1-floor)
		}
	}
	plans := make(map[string]RegionPlan, len(a.regions))
	for _, region := range a.regions {
		plans[region] = RegionPlan{Admit: a.admit(region, known), Split: a.split(region)}
	}
	return plans
}

// allocation is the state of a plan in the making.
type allocation struct {
	regions    []string                      // sorted
	priorities []int                         // ascending
	demand     map[string]map[int]float64    // by region and priority, in slots
	free       map[string]float64            // capacity that is not allocated, by region, in slots
	admitted   map[string]map[int]float64    // by region of the demand and priority, in slots
	runs       map[string]map[string]float64 // by region of the demand and of the targets, in slots
}

func newAllocation(loads map[string]RegionLoad) *allocation {
	a := &allocation{
		regions:  slices.Sorted(maps.Keys(loads)),
		demand:   make(map[string]map[int]float64, len(loads)),
		free:     make(map[string]float64, len(loads)),
		admitted: make(map[string]map[int]float64, len(loads)),
		runs:     make(map[string]map[string]float64, len(loads)),
	}
	priorities := make(map[int]bool)
	for region, load := range loads {
		a.free[region] = clampSlots(load.Capacity)
		a.demand[region] = make(map[int]float64)
		a.admitted[region] = make(map[int]float64)
		a.runs[region] = make(map[string]float64)
		for priority, demand := range load.Demand {
			if demand = clampSlots(demand); demand > 0 {
				a.demand[region][priority] = demand
				priorities[priority] = true
			}
		}
	}
	a.priorities = slices.Sorted(maps.Keys(priorities))
	return a
}

// clampSlots limits a number of slots to the range from 0 to maxSlots. NaN becomes 0.
func clampSlots(slots float64) float64 {
	if math.IsNaN(slots) {
		return 0
	}
	return min(max(slots, 0), maxSlots)
}

func (a *allocation) totalDemand() float64 {
	total := 0.0
	for _, region := range a.regions {
		for _, priority := range a.priorities {
			total += a.demand[region][priority]
		}
	}
	return total
}

func (a *allocation) totalFree() float64 {
	total := 0.0
	for _, region := range a.regions {
		total += a.free[region]
	}
	return total
}

// allocate gives a fraction of a priority's demand the free capacity: that of its own region first,
// then that of the others.
func (a *allocation) allocate(priority int, fraction float64) {
	left := make(map[string]float64)
	totalLeft := 0.0
	for _, region := range a.regions {
		wanted := fraction * a.demand[region][priority]
		own := min(wanted, a.free[region])
		a.run(region, region, priority, own)
		left[region] = wanted - own
		totalLeft += wanted - own
	}
	if totalLeft > 0 {
		a.allocateRemote(priority, left, totalLeft)
	}
}

// allocateRemote gives the demand that is left over in each region the free capacity of the others.
func (a *allocation) allocateRemote(priority int, left map[string]float64, totalLeft float64) {
	free, totalFree := maps.Clone(a.free), a.totalFree()
	if totalFree <= 0 {
		return
	}
	served := min(1, totalFree/totalLeft)
	for _, from := range a.regions {
		for _, to := range a.regions {
			a.run(from, to, priority, served*left[from]*free[to]/totalFree)
		}
	}
}

// run allocates slots of a region to the demand of another one, or its own.
func (a *allocation) run(from, to string, priority int, slots float64) {
	if slots <= 0 {
		return
	}
	a.free[to] = max(a.free[to]-slots, 0)
	a.admitted[from][priority] += slots
	a.runs[from][to] += slots
}

// admit returns the admitted fraction of each priority of a region.
func (a *allocation) admit(region string, known bool) map[int]float64 {
	fractions := make(map[int]float64, len(a.demand[region]))
	for priority, demand := range a.demand[region] {
		fraction := a.admitted[region][priority] / demand
		if !known || fraction >= admitAll {
			fraction = 1
		}
		fractions[priority] = fraction
	}
	return fractions
}

// split returns the fraction of a region's admitted work that each region runs. A region without
// demand runs new work itself if it has capacity, else where there is some.
func (a *allocation) split(region string) map[string]float64 {
	runs := a.runs[region]
	if len(runs) == 0 {
		runs = a.free
		if a.free[region] > 0 {
			runs = map[string]float64{region: 1}
		}
	}
	total := 0.0
	for _, to := range a.regions {
		total += runs[to]
	}
	split := make(map[string]float64)
	for to, slots := range runs {
		if slots > 0 {
			split[to] = slots / total
		}
	}
	return split
}
