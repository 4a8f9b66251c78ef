package placement

import (
	"math"
	"testing"
	"time"

	"masticturn/internal/overload"
)

// loadOf returns a load with the demand of one priority.
func loadOf(capacity, demand float64) overload.RegionLoad {
	return overload.RegionLoad{Capacity: capacity, Demand: map[int]float64{0: demand}, Busy: min(capacity, demand)}
}

// inputsOf returns the inputs of region a, which lacks capacity by default.
func inputsOf(own overload.RegionLoad, others map[string]overload.RegionLoad) *regionInputs {
	return &regionInputs{
		region: "a", own: own, others: others,
		defaults: map[string]float64{"a": 0.8, "b": 0.1, "c": 0.1},
		vms:      map[string]int{"a": 12, "b": 12, "c": 12},
	}
}

// Guards against a split where the region's demand fits its capacity, or nothing is known of others.
func TestSplitOnlyIfTheRegionLacksCapacity(t *testing.T) {
	full := loadOf(25, 60)
	free := map[string]overload.RegionLoad{"b": loadOf(50, 5), "c": loadOf(25, 5)}
	tests := []struct {
		name   string
		in     *regionInputs
		reason string
		split  bool
	}{
		{"demand fits", inputsOf(loadOf(25, 25), free), reasonFits, false},
		{"no demand", inputsOf(loadOf(25, 0), free), reasonFits, false},
		{"others unknown", inputsOf(full, nil), reasonOthersUnknown, false},
		{"others lack capacity too", inputsOf(full, map[string]overload.RegionLoad{"b": loadOf(50, 90), "c": loadOf(25, 40)}), reasonDefaultSuffice, false},
		{"others have no targets", inputsOf(full, map[string]overload.RegionLoad{"b": loadOf(0, 0), "c": loadOf(0, 0)}), reasonDefaultSuffice, false},
		{"default suffices", inputsOf(loadOf(25, 25.5), map[string]overload.RegionLoad{"b": loadOf(50, 42), "c": loadOf(25, 21)}), reasonDefaultSuffice, false},
		{"lacks capacity", inputsOf(full, free), reasonLacksCapacity, true},
	}
	for _, tt := range tests {
		var r regionPlanner
		d := r.decide(tt.in, start)
		if (len(d.Split) > 0) != tt.split || r.reason != tt.reason {
			t.Errorf("%s: split %v (%s), want one: %v (%s)", tt.name, d.Split, r.reason, tt.split, tt.reason)
		}
		if d.Split != nil && !tt.split {
			t.Errorf("%s: an empty split is sent without one before", tt.name)
		}
	}
}

// Guards against callers of a region without targets that are sent to a full region.
func TestRegionWithoutTargetsUsesFreeOnes(t *testing.T) {
	var r regionPlanner
	in := inputsOf(loadOf(0, 20), map[string]overload.RegionLoad{"b": loadOf(50, 60), "c": loadOf(50, 5)})
	in.defaults = map[string]float64{"b": 0.5, "c": 0.5}
	if d := r.decide(in, start); d.Split["c"] < 0.85 { // a part of each demand is planned before the others take it up
		t.Errorf("split %v, want nearly all at c", d.Split)
	}
	p, _ := newTestPool(t, "a", targetLayout{perRegion: map[string]int{"b": 6, "c": 6}, slots: 4})
	moveFully(p, map[string]float64{"c": 1}, start)
	if got := sharesOf(regionsOf(p, 2000)); got["c"] < 0.98 {
		t.Errorf("shares %v, want c alone", got)
	}
}

// Guards against a split that changes with each report.
func TestSplitChangesInCoarseSteps(t *testing.T) {
	var r regionPlanner
	changes, last := 0, map[string]float64(nil)
	for i := range 400 {
		demand := 60 + 4*math.Sin(float64(i)) // varies by 7%
		d := r.decide(inputsOf(loadOf(25, demand), map[string]overload.RegionLoad{"b": loadOf(50, 5), "c": loadOf(25, 5)}), start.Add(time.Duration(i)*ReportInterval))
		if last != nil && shareDistance(last, d.Split) > 0 {
			changes++
		}
		last = d.Split
	}
	if changes > 1 {
		t.Errorf("the wanted split changed %d times in 50 s", changes)
	}
}

// Guards against a demand about as large as the capacity that switches the split on and off.
func TestLackOfCapacityHasHysteresis(t *testing.T) {
	var r regionPlanner
	for i, tt := range []struct {
		demand float64
		after  time.Duration
		lacks  bool
	}{
		{25, 0, false},
		{25.1, 0, true},
		{24, 0, true},
		{23, 0, true},
		{22, 0, true},
		{22, lackHold - 1, true},
		{23, lackHold, true},
		{0, lackHold, true},
		{0, 2*lackHold - 1, true},
		{0, 2 * lackHold, false},
		{24, 2 * lackHold, false},
	} {
		r.updateLacking(&overload.RegionLoad{Capacity: 25, Demand: map[int]float64{0: tt.demand}}, start.Add(tt.after))
		if r.lacking != tt.lacks {
			t.Errorf("step %d: demand %v: lacking %v", i, tt.demand, r.lacking)
		}
	}
}

// Guards against dropping the share of a region as soon as a few of its messages are lost, and against keeping
// it for good once the region is cut off.
func TestShareOfARegionThatIsCutOff(t *testing.T) {
	var r regionPlanner
	both := map[string]overload.RegionLoad{"b": loadOf(50, 5), "c": loadOf(25, 5)}
	full := loadOf(25, 75)
	now := start
	for range 100 {
		now = now.Add(ReportInterval)
		r.decide(inputsOf(full, both), now)
	}
	withB := r.wanted["b"]
	cut := now
	for now.Sub(cut) < splitHold {
		r.decide(inputsOf(full, map[string]overload.RegionLoad{"c": both["c"]}), now)
		if math.Abs(r.wanted["b"]-withB) > 0.01 {
			t.Fatalf("b's share is %.2f %v after it was cut off, want %.2f", r.wanted["b"], now.Sub(cut), withB)
		}
		now = now.Add(ReportInterval)
	}
	for now.Sub(cut) < 3*splitHold {
		r.decide(inputsOf(full, map[string]overload.RegionLoad{"c": both["c"]}), now)
		now = now.Add(ReportInterval)
	}
	if share := r.wanted["b"]; math.Abs(share-0.1) > minPlanChange+0.005 {
		t.Errorf("b's share is %.2f after it was cut off for long, want about the default of 0.1", share)
	}
}

// Guards against a new root that starts from the default although its VMs have a split.
func TestNewRootContinuesWithTheSplit(t *testing.T) {
	p, _ := newTestPool(t, "a", unevenRegions)
	wanted := map[string]float64{"a": 0.35, "b": 0.45, "c": 0.2}
	now := moveFully(p, wanted, start)
	others := map[string]overload.RegionLoad{"b": loadOf(48, 5), "c": loadOf(24, 5)}
	demand := &overload.Demand{Priorities: map[int]uint32{0: 58_000}}
	before := p.shares()
	for range 8 {
		now = now.Add(ReportInterval)
		_, d, ok := p.PlanRegions(p.RegionLoad(demand, now), others, now)
		if !ok || len(d.Split) == 0 {
			t.Fatalf("the new root decides on %v", d.Split)
		}
		p.ApplyRegions(d, time.Second, now)
	}
	if d := shareDistance(before, p.shares()); d > splitStep {
		t.Errorf("the split moved by %.2f within a second of the change of the root", d)
	}
}

// Guards against a part that is on without several regions or any demand, and against a region without
// demand that hides its capacity from the others.
func TestWhenTheRegionIsPlanned(t *testing.T) {
	idle := map[string]overload.RegionLoad{"b": loadOf(48, 0)}
	busy := map[string]overload.RegionLoad{"b": loadOf(48, 90)}
	demand := &overload.Demand{Priorities: map[int]uint32{0: 1000}}
	oneRegion := targetLayout{perRegion: map[string]int{"a": 4}, slots: 4}
	for _, tt := range []struct {
		name   string
		layout targetLayout
		demand *overload.Demand
		others map[string]overload.RegionLoad
		want   bool
	}{
		{"one region", oneRegion, demand, busy, false},
		{"no demand known", unevenRegions, nil, nil, false},
		{"no demand anywhere", unevenRegions, nil, idle, false},
		{"demand of another region", unevenRegions, nil, busy, true},
		{"demand", unevenRegions, demand, nil, true},
	} {
		p, _ := newTestPool(t, "a", tt.layout)
		load, _, ok := p.PlanRegions(p.RegionLoad(tt.demand, start), tt.others, start)
		if ok != tt.want || ok && load.Capacity != 24 {
			t.Errorf("%s: planned %v with %+v, want %v", tt.name, ok, load, tt.want)
		}
	}
}

// Guards against counting targets that cannot take requests as capacity, and against demand out of range.
func TestLoadOfTheRegion(t *testing.T) {
	p, v := newTestPool(t, "a", unevenRegions)
	p.targets["a-0"].failures = failuresToEject
	p.targets["a-1"].replaced = true
	p.targets["a-2"].workFactor.report(200, start)
	p.targets["a-3"].ownRequests = 100
	load := p.regionLoad(&overload.Demand{Priorities: map[int]uint32{0: math.MaxUint32}}, start)
	if load.Capacity != 14 || load.Busy != 4 || load.Demand[0] > 1e6 {
		t.Errorf("load %+v, want 14 slots of which 4 are busy, and a demand of 1e6 at most", load)
	}
	v.Evacuated["a-a"] = true
	p.SetTargets(v.Snapshot.Service("svc"), v)
	if load := p.regionLoad(&overload.Demand{}, start); load.Capacity != 0 {
		t.Errorf("an evacuated availability zone has a capacity of %v", load.Capacity)
	}
}

// Guards against VMs that together use more than the free slots of another region.
func TestSpareSlotsAreDivided(t *testing.T) {
	in := inputsOf(loadOf(25, 60), map[string]overload.RegionLoad{"b": loadOf(50, 20), "c": loadOf(25, 40)})
	in.others["b"] = overload.RegionLoad{Capacity: 50, Demand: map[int]float64{0: 20}, Busy: 26}
	spare := spareSlots(in)
	if len(spare) != 1 || spare["b"] != 1 { // 24 free slots; a and c lack capacity and have 24 VMs
		t.Errorf("spare slots %v, want one of b", spare)
	}
	in.vms = nil
	if spare := spareSlots(in); len(spare) > 0 {
		t.Errorf("spare slots %v without knowing the VMs", spare)
	}
}
