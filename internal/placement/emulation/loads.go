package emulation

import (
	"slices"
	"time"
)

// One-way network delays of the two deployments.
const (
	estibaOneWay  = 55 * time.Millisecond
	lydsporOneWay = 12 * time.Millisecond
	withinRegion  = time.Millisecond
)

// Workloads returns the workloads for comparing policies. They are modelled on the services of the
// two deployments on their busiest days. Simulating one takes about 0.1 s, one of GrownWorkloads
// some seconds.
func Workloads() []*Workload {
	return []*Workload{PlanReads(), HoldConfirms(), ArchiveReads(), ScriptReads(), Bookings(), ProofListens()}
}

// LargeWorkloads returns workloads modelled on the services of the largest deployment, and on a
// scaled-down variant of it with fewer VMs, targets and requests but as many objects.
func LargeWorkloads() []*Workload {
	return []*Workload{largePlanReads(), largeArchiveReads(), sparsePlanReads()}
}

// WorkloadByName returns the workload with a name, or nil if there is none.
func WorkloadByName(name string) *Workload {
	for _, w := range slices.Concat(Workloads(), GrownWorkloads(), LargeWorkloads(), ShiftedWorkloads(), []*Workload{SharedMachineReads()}) {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// defaultLength is the simulated time of each workload. wavePeriod and waveAmplitude describe the
// waves of its request rate.
const (
	defaultLength = 48 * time.Second
	wavePeriod    = 36 * time.Second
	waveAmplitude = 0.55
)

// commonEvents returns the removal of some targets of a region, a burst and a restart of the fleet.
func commonEvents(region string, targets int) []Event {
	return []Event{
		{At: 7 * time.Second, Kind: TargetsLeave, Region: region, Count: targets},
		{At: 12 * time.Second, Kind: BurstStarts, Factor: 1.7},
		{At: 15 * time.Second, Kind: BurstEnds},
		{At: 32 * time.Second, Kind: FleetRestarts},
	}
}

// estibaRegions returns the regions of the first deployment with the given numbers of targets.
func estibaRegions(ros, bb, bsas int) []Region {
	return []Region{{"rosario", 3, ros}, {"bahia-blanca", 3, bb}, {"buenos-aires", 4, bsas}}
}

// lydsporRegions returns the regions of the second deployment with the given numbers of targets.
func lydsporRegions(aar, fra, sto int) []Region {
	return []Region{{"dk-aarhus", 3, aar}, {"de-frankfurt", 3, fra}, {"se-stockholm", 3, sto}}
}

// PlanReads has many short reads of many objects.
func PlanReads() *Workload {
	return &Workload{
		Name: "plan-reads", Regions: estibaRegions(6, 2, 6), OneWay: estibaOneWay, WithinRegion: withinRegion,
		Slots: 5, QueueLimit: 15, CacheSize: 49, Objects: 55,
		ColdRunTime: 360 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.3,
		Objective: 400 * time.Millisecond, Deadline: 2 * time.Second, LateWorth: 0.2,
		Rate: 310, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("rosario", 2), Length: defaultLength,
	}
}

// HoldConfirms has requests that must not be repeated, and few slots.
func HoldConfirms() *Workload {
	return &Workload{
		Name: "hold-confirms", Regions: estibaRegions(6, 2, 4), OneWay: estibaOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, CacheSize: 25, Objects: 24,
		ColdRunTime: 480 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.3,
		Objective: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, LateWorth: 0.2,
		Rate: 100, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("buenos-aires", 1), Length: defaultLength,
	}
}

// ArchiveReads has long reads near the targets' capacity: they need 70 to 90 % of the slots if
// all objects are cached, and 2.5 times the slots if none are.
func ArchiveReads() *Workload {
	return &Workload{
		Name: "archive-reads", Regions: estibaRegions(6, 2, 4), OneWay: estibaOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, CacheSize: 25, Objects: 24,
		ColdRunTime: 1440 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.3,
		Objective: time.Second, Deadline: 8 * time.Second, LateWorth: 0.2,
		Rate: 48, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("rosario", 2), Length: defaultLength,
	}
}

// ScriptReads has reads that always miss the objective if the object is not cached.
func ScriptReads() *Workload {
	return &Workload{
		Name: "script-reads", Regions: lydsporRegions(2, 4, 6), OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, CacheSize: 25, Objects: 24,
		ColdRunTime: 480 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.3,
		Objective: 300 * time.Millisecond, Deadline: 2500 * time.Millisecond, LateWorth: 0.2,
		Rate: 120, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("de-frankfurt", 1), Length: defaultLength,
	}
}

// Bookings has requests that must not be repeated, and spare capacity.
func Bookings() *Workload {
	return &Workload{
		Name: "bookings", Regions: lydsporRegions(2, 4, 6), OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, CacheSize: 25, Objects: 24,
		ColdRunTime: 640 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.3,
		Objective: 400 * time.Millisecond, Deadline: 3 * time.Second, LateWorth: 0.2,
		Rate: 45, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("se-stockholm", 2), Length: defaultLength,
	}
}

// ProofListens has the longest reads of these workloads.
func ProofListens() *Workload {
	return &Workload{
		Name: "proof-listens", Regions: lydsporRegions(2, 4, 6), OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, CacheSize: 25, Objects: 24,
		ColdRunTime: 1920 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.3,
		Objective: 1200 * time.Millisecond, Deadline: 10 * time.Second, LateWorth: 0.2,
		Rate: 32, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("de-frankfurt", 1), Length: defaultLength,
	}
}

// SharedMachineReads is PlanReads at targets whose machines do other work besides.
func SharedMachineReads() *Workload {
	w := PlanReads()
	w.Name = "shared-machine-reads"
	w.Neighbors = Neighbors{Share: 0.15, Factor: 2.5, Interval: 600 * time.Millisecond}
	return w
}

// GrownWorkloads returns workloads modelled on the services of the two deployments with eight times
// as many VMs.
func GrownWorkloads() []*Workload {
	return []*Workload{grownPlanReads(), grownScriptReads(), grownProofListens()}
}

// grownPlanReads is PlanReads at eight times the size, with longer run times.
func grownPlanReads() *Workload {
	return &Workload{
		Name: "plan-reads-grown", OneWay: estibaOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"rosario", 28, 86}, {"bahia-blanca", 25, 18}, {"buenos-aires", 30, 72}},
		Slots:   4, QueueLimit: 12, CacheSize: 23, Objects: 320,
		ColdRunTime: 912 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.25,
		Objective: 600 * time.Millisecond, Deadline: 4 * time.Second, LateWorth: 0.2,
		Rate: 1384, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("rosario", 12), Length: defaultLength,
	}
}

// callersThatStop has all requests of the grown deployment at two fifths of its usual rate,
// without events, until all callers stop near the peak of bahia-blanca's wave. All requests may
// be repeated.
func callersThatStop() *Workload {
	w := grownPlanReads()
	w.Name = "callers-that-stop"
	w.Regions = []Region{{"rosario", 28, 182}, {"bahia-blanca", 25, 38}, {"buenos-aires", 30, 152}}
	w.Objects = 700
	w.Rate = 900
	w.Events = nil
	w.Length = 30 * time.Second
	w.ModelConnections = true
	return w
}

// grownScriptReads is ScriptReads at ten times the size.
func grownScriptReads() *Workload {
	return &Workload{
		Name: "script-reads-grown", OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"dk-aarhus", 29, 46}, {"de-frankfurt", 29, 92}, {"se-stockholm", 29, 138}},
		Slots:   3, QueueLimit: 9, CacheSize: 16, Objects: 291,
		ColdRunTime: 720 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.25,
		Objective: 400 * time.Millisecond, Deadline: 3 * time.Second, LateWorth: 0.2,
		Rate: 1260, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("de-frankfurt", 14), Length: defaultLength,
	}
}

// grownProofListens is ProofListens at eight times the size.
func grownProofListens() *Workload {
	return &Workload{
		Name: "proof-listens-grown", OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"dk-aarhus", 29, 37}, {"de-frankfurt", 29, 73}, {"se-stockholm", 29, 109}},
		Slots:   3, QueueLimit: 9, CacheSize: 8, Objects: 57,
		ColdRunTime: 2976 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.25,
		Objective: 1500 * time.Millisecond, Deadline: 12 * time.Second, LateWorth: 0.2,
		Rate: 249, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("de-frankfurt", 11), Length: defaultLength,
	}
}

// largePlanReads has reads of many objects at hundreds of targets.
func largePlanReads() *Workload {
	return &Workload{
		Name: "plan-reads-large", OneWay: estibaOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"rosario", 67, 231}, {"bahia-blanca", 60, 48}, {"buenos-aires", 68, 192}},
		Slots:   5, QueueLimit: 15, CacheSize: 14, Objects: 352,
		ColdRunTime: 1536 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.3,
		Objective: time.Second, Deadline: 6 * time.Second, LateWorth: 0.2,
		Rate: 1527, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("rosario", 35), Length: defaultLength,
	}
}

// largeArchiveReads has the longest reads of the largest deployment.
func largeArchiveReads() *Workload {
	return &Workload{
		Name: "archive-reads-large", OneWay: estibaOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"rosario", 67, 135}, {"bahia-blanca", 60, 27}, {"buenos-aires", 68, 111}},
		Slots:   5, QueueLimit: 15, CacheSize: 8, Objects: 100,
		ColdRunTime: 6240 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.3,
		Objective: 3 * time.Second, Deadline: 25 * time.Second, LateWorth: 0.2,
		Rate: 223, Amplitude: waveAmplitude, Period: wavePeriod, Events: commonEvents("rosario", 20), Length: defaultLength,
	}
}

// sparsePlanReads has infrequent reads of more objects than the targets can cache.
func sparsePlanReads() *Workload {
	w := largePlanReads()
	w.Name = "plan-reads-sparse"
	w.Regions = []Region{{"rosario", 9, 24}, {"bahia-blanca", 9, 6}, {"buenos-aires", 9, 21}}
	w.Rate = 64
	w.Events = nil
	return w
}
