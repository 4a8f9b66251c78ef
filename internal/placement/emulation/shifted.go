package emulation

import "time"

// ShiftedWorkloads returns workloads in which the run time of an uncached object alone exceeds the
// objective, and in which targets would be overloaded if no object were cached. The fleets are of
// medium size, the regions' waves are out of phase, and one region has about a tenth of the targets
// for a third of the callers.
func ShiftedWorkloads() []*Workload {
	return []*Workload{shiftedPlanReads(), shiftedHoldConfirms(), shiftedArchiveReads()}
}

// shiftedBase returns a workload with the settings that the ShiftedWorkloads share and the given
// numbers of targets.
func shiftedBase(ros, bb, bsas int) Workload {
	return Workload{
		OneWay: estibaOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"rosario", 29, ros}, {"bahia-blanca", 26, bb}, {"buenos-aires", 30, bsas}},
		Slots:   6, QueueLimit: 18, RunTimeVariation: 0.15, CachedFactor: 0.3, LateWorth: 0.2,
		Amplitude: waveAmplitude, Period: wavePeriod, Length: defaultLength,
		Events: commonEvents("rosario", ros/6),
	}
}

// shiftedPlanReads has reads of more objects than a target caches.
func shiftedPlanReads() *Workload {
	w := shiftedBase(30, 6, 24)
	w.Name, w.CacheSize, w.Objects = "plan-reads-shifted", 42, 200
	w.ColdRunTime, w.Objective, w.Deadline = 560*time.Millisecond, 500*time.Millisecond, 3*time.Second
	w.Rate = 802
	return &w
}

// shiftedHoldConfirms is like shiftedPlanReads, for requests that must not be repeated.
func shiftedHoldConfirms() *Workload {
	w := shiftedBase(38, 8, 32)
	w.Name, w.CacheSize, w.Objects = "hold-confirms-shifted", 32, 194
	w.ColdRunTime, w.Objective, w.Deadline = 720*time.Millisecond, 600*time.Millisecond, 4*time.Second
	w.Rate = 779
	return &w
}

// shiftedArchiveReads has long reads at targets that cache few objects.
func shiftedArchiveReads() *Workload {
	w := shiftedBase(50, 10, 42)
	w.Name, w.CacheSize, w.Objects = "archive-reads-shifted", 10, 86
	w.ColdRunTime, w.Objective, w.Deadline = 2240*time.Millisecond, 1500*time.Millisecond, 8*time.Second
	w.Rate = 344
	return &w
}
