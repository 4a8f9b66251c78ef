package overload

import (
	"maps"
	"math"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// wantFraction reports a fraction that differs by more than a rounding error.
func wantFraction(t *testing.T, got, want float64) {
	t.Helper()
	if !(math.Abs(got-want) <= 1e-9) {
		t.Errorf("fraction %v, want %v", got, want)
	}
}

func wantFractions[K comparable](t *testing.T, what string, got, want map[K]float64) {
	t.Helper()
	if !maps.Equal(got, want) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// Guards against a region with room refusing requests or running them elsewhere.
func TestPlanAdmitsAllThatFits(t *testing.T) {
	plans := Plan(map[string]RegionLoad{
		"a": {Capacity: 10, Demand: map[int]float64{0: 4, 2: 5}},
		"b": {Capacity: 10},
	})
	wantFractions(t, "Admit of a", plans["a"].Admit, map[int]float64{0: 1, 2: 1})
	wantFractions(t, "Split of a", plans["a"].Split, map[string]float64{"a": 1})
	wantFractions(t, "Split of b", plans["b"].Split, map[string]float64{"b": 1})
}

// Guards against work that a region can't run being spread over regions without room.
func TestPlanSpreadsOverFreeCapacity(t *testing.T) {
	plans := Plan(map[string]RegionLoad{
		"a": {Capacity: 10, Demand: map[int]float64{0: 22}},
		"b": {Capacity: 10, Demand: map[int]float64{0: 4}},
		"c": {Capacity: 20, Demand: map[int]float64{0: 8}},
	})
	wantFraction(t, plans["a"].Admit[0], 1)
	wantFraction(t, plans["a"].Split["a"], 10.0/22)
	wantFraction(t, plans["a"].Split["b"], 4.0/22)
	wantFraction(t, plans["a"].Split["c"], 8.0/22)
	wantFractions(t, "Split of b", plans["b"].Split, map[string]float64{"b": 1})
}

func TestPlanAdmitsByPriority(t *testing.T) {
	plans := Plan(map[string]RegionLoad{"a": {Capacity: 48, Demand: map[int]float64{0: 12, 2: 60}}})
	wantFraction(t, plans["a"].Admit[0], 1)
	wantFraction(t, plans["a"].Admit[2], 0.6)
}

// Guards against a low priority starving while a high one alone exceeds the capacity.
func TestPlanKeepsFloor(t *testing.T) {
	plans := Plan(map[string]RegionLoad{"a": {Capacity: 40, Demand: map[int]float64{0: 60, 2: 40}}})
	wantFraction(t, plans["a"].Admit[2], 0.1)
	wantFraction(t, plans["a"].Admit[0], 0.6)
}

// Guards against a region's low priority taking the room that another region's high one needs.
func TestPlanPrefersPriorityOverRegion(t *testing.T) {
	plans := Plan(map[string]RegionLoad{
		"a": {Capacity: 0, Demand: map[int]float64{0: 10}},
		"b": {Capacity: 12, Demand: map[int]float64{2: 12}},
	})
	wantFraction(t, plans["a"].Admit[0], 1)
	wantFractions(t, "Split of a", plans["a"].Split, map[string]float64{"b": 1})
	wantFraction(t, plans["b"].Admit[2], 2.0/12)
}

func TestPlanWithoutCapacityKnowsNothing(t *testing.T) {
	plans := Plan(map[string]RegionLoad{"a": {Demand: map[int]float64{0: 10}}})
	wantFraction(t, plans["a"].Admit[0], 1)
	wantFractions(t, "split", plans["a"].Split, nil)
	if plans := Plan(nil); len(plans) != 0 {
		t.Errorf("plan %v without regions", plans)
	}
}

func TestPlanClampsValues(t *testing.T) {
	plans := Plan(map[string]RegionLoad{
		"a": {Capacity: 10, Demand: map[int]float64{0: 5, 1: -3, 2: math.NaN()}},
		"b": {Capacity: math.NaN(), Demand: map[int]float64{0: 2}},
		"c": {Capacity: -8, Demand: map[int]float64{0: math.Inf(1)}},
	})
	wantFractions(t, "Admit of a", plans["a"].Admit, map[int]float64{0: 1})
	for region, plan := range plans {
		assertFractions(t, region, plan)
	}
}

func assertFractions(t *testing.T, region string, plan RegionPlan) {
	t.Helper()
	for _, f := range plan.Admit {
		if !(f >= 0 && f <= 1) {
			t.Errorf("region %s: fraction %v", region, f)
		}
	}
	for _, f := range plan.Split {
		if !(f >= 0 && f <= 1) {
			t.Errorf("region %s: fraction %v", region, f)
		}
	}
}

// testParameters returns parameters with a fixed seed.
func testParameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 500
	return p
}

// genLoads generates the loads of three regions with three priorities.
func genLoads() gopter.Gen {
	return gen.SliceOfN(12, gen.Float64Range(-1, 100)).Map(func(v []float64) map[string]RegionLoad {
		loads := make(map[string]RegionLoad)
		for i, region := range []string{"a", "b", "c"} {
			x := v[4*i : 4*i+4]
			loads[region] = RegionLoad{Capacity: x[0], Demand: map[int]float64{0: x[1], 1: x[2], 3: x[3]}}
		}
		return loads
	})
}

func TestPlanProperties(t *testing.T) {
	properties := gopter.NewProperties(testParameters())
	properties.Property("fractions are from 0 to 1, and splits add up to 1", prop.ForAll(func(loads map[string]RegionLoad) bool {
		for _, plan := range Plan(loads) {
			total := 0.0
			for _, f := range plan.Admit {
				if !(f >= 0 && f <= 1) {
					return false
				}
			}
			for _, f := range plan.Split {
				total += f
			}
			if len(plan.Split) > 0 && math.Abs(total-1) > 1e-9 {
				return false
			}
		}
		return true
	}, genLoads()))
	properties.Property("admitted work fits the capacity of each region", prop.ForAll(func(loads map[string]RegionLoad) bool {
		used := make(map[string]float64)
		for region, plan := range Plan(loads) {
			admitted := 0.0
			for priority, f := range plan.Admit {
				admitted += f * loads[region].Demand[priority]
			}
			for to, f := range plan.Split {
				used[to] += f * admitted
			}
		}
		capacity := 0.0
		for region, load := range loads {
			capacity += max(load.Capacity, 0)
			if used[region] > max(load.Capacity, 0)+1e-6 {
				return false
			}
		}
		return capacity > 0
	}, genLoads()))
	properties.Property("no priority gets less than a lower one, or less than its floor", prop.ForAll(func(loads map[string]RegionLoad) bool {
		capacity, demand := 0.0, 0.0
		for _, load := range loads {
			capacity += max(load.Capacity, 0)
			for _, d := range load.Demand {
				demand += max(d, 0)
			}
		}
		floor := floorFraction * min(1, capacity/demand)
		for region, plan := range Plan(loads) {
			last := 1.0
			for _, priority := range []int{0, 1, 3} {
				f, ok := plan.Admit[priority]
				if !ok {
					continue
				}
				if f > last+1e-9 || f < floor-1e-9 {
					t.Logf("region %s: %v", region, plan.Admit)
					return false
				}
				last = f
			}
		}
		return true
	}, genLoads()))
	properties.TestingRun(t)
}
