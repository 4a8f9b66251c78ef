package emulation

import "time"

// ShiftedLoads returns loads whose first runs miss their objectives by themselves, and whose targets
// would be overloaded if all runs were first ones: medium fleets with waves opposite in the regions,
// and a region with a twelfth of the targets for a third of the callers.
func ShiftedLoads() []*Load {
	return []*Load{shiftedPlanReads(), shiftedHoldConfirms(), shiftedArchiveReads()}
}

// overloadedWhenNew returns a load with what is common to them.
func overloadedWhenNew(ros, bb, bsas int) Load {
	return Load{
		OneWay: estibaOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"rosario", 29, ros}, {"bahia-blanca", 26, bb}, {"buenos-aires", 30, bsas}},
		Slots:   6, QueueLimit: 18, Spread: 0.15, KnownPart: 0.3, LateWorth: 0.2,
		Swing: waveSwing, Period: wavePeriod, Length: dayLength,
		Events: commonEvents("rosario", ros/6),
	}
}

// shiftedPlanReads is reads of more objects than a target remembers, over its objective when new.
func shiftedPlanReads() *Load {
	l := overloadedWhenNew(30, 6, 24)
	l.Name, l.Remembers, l.Objects = "plan-reads-shifted", 42, 200
	l.Work, l.Objective, l.Deadline = 560*time.Millisecond, 500*time.Millisecond, 3*time.Second
	l.Rate = 802
	return &l
}

// shiftedHoldConfirms is the same for requests that must not repeat.
func shiftedHoldConfirms() *Load {
	l := overloadedWhenNew(38, 8, 32)
	l.Name, l.Remembers, l.Objects = "hold-confirms-shifted", 32, 194
	l.Work, l.Objective, l.Deadline = 720*time.Millisecond, 600*time.Millisecond, 4*time.Second
	l.Rate = 779
	return &l
}

// shiftedArchiveReads is long reads at targets that remember few objects.
func shiftedArchiveReads() *Load {
	l := overloadedWhenNew(50, 10, 42)
	l.Name, l.Remembers, l.Objects = "archive-reads-shifted", 10, 86
	l.Work, l.Objective, l.Deadline = 2240*time.Millisecond, 1500*time.Millisecond, 8*time.Second
	l.Rate = 344
	return &l
}
