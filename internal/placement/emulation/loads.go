package emulation

import (
	"slices"
	"time"
)

// The network delays of the two deployments.
const (
	estibaOneWay  = 55 * time.Millisecond
	lydsporOneWay = 12 * time.Millisecond
	withinRegion  = time.Millisecond
)

// Loads returns the loads that the policies are compared on, made after the
// services of the two deployments and their heaviest days. A play of one takes
// about 0.1 s, one of GrownLoads some seconds.
func Loads() []*Load {
	return []*Load{PlanReads(), HoldConfirms(), ArchiveReads(), ScriptReads(), Bookings(), ProofListens()}
}

// LargeLoads returns loads made after the services of the largest deployment, and
// after the same with a fourteenth of its VMs, targets and requests, whose callers
// ask for as many objects.
func LargeLoads() []*Load {
	return []*Load{largePlanReads(), largeArchiveReads(), sparsePlanReads()}
}

// LoadNamed returns the load of a name, nil when there is none.
func LoadNamed(name string) *Load {
	for _, l := range slices.Concat(Loads(), GrownLoads(), LargeLoads(), ShiftedLoads()) {
		if l.Name == name {
			return l
		}
	}
	return nil
}

// dayLength is how long each load is played; callers come in waves of
// wavePeriod with a swing of wavySwing.
const (
	dayLength  = 48 * time.Second
	wavePeriod = 36 * time.Second
	waveSwing  = 0.55
)

// commonEvents is a burst, leaving targets and a restart of the fleet.
func commonEvents(region string, leave int) []Event {
	return []Event{
		{At: 7 * time.Second, Kind: TargetsLeave, Region: region, Count: leave},
		{At: 12 * time.Second, Kind: BurstStarts, Factor: 1.7},
		{At: 15 * time.Second, Kind: BurstEnds},
		{At: 32 * time.Second, Kind: FleetRestarts},
	}
}

// estiba returns the regions of the first deployment with a service's targets.
func estiba(ros, bb, bsas int) []Region {
	return []Region{{"rosario", 3, ros}, {"bahia-blanca", 3, bb}, {"buenos-aires", 4, bsas}}
}

// lydspor returns the regions of the second deployment.
func lydspor(aar, fra, sto int) []Region {
	return []Region{{"dk-aarhus", 3, aar}, {"de-frankfurt", 3, fra}, {"se-stockholm", 3, sto}}
}

// PlanReads is many short reads of many objects.
func PlanReads() *Load {
	return &Load{
		Name: "plan-reads", Regions: estiba(6, 2, 6), OneWay: estibaOneWay, WithinRegion: withinRegion,
		Slots: 5, QueueLimit: 15, Remembers: 49, Objects: 55,
		Work: 360 * time.Millisecond, Spread: 0.15, KnownPart: 0.3,
		Objective: 400 * time.Millisecond, Deadline: 2 * time.Second, LateWorth: 0.2,
		Rate: 310, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("rosario", 2), Length: dayLength,
	}
}

// HoldConfirms is requests that must not repeat, with few slots.
func HoldConfirms() *Load {
	return &Load{
		Name: "hold-confirms", Regions: estiba(6, 2, 4), OneWay: estibaOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, Remembers: 25, Objects: 24,
		Work: 480 * time.Millisecond, Spread: 0.15, KnownPart: 0.3,
		Objective: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, LateWorth: 0.2,
		Rate: 100, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("buenos-aires", 1), Length: dayLength,
	}
}

// ArchiveReads is long reads near the targets' capacity: cached objects use seven to
// nine tenths of the slots, others two and a half times all.
func ArchiveReads() *Load {
	return &Load{
		Name: "archive-reads", Regions: estiba(6, 2, 4), OneWay: estibaOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, Remembers: 25, Objects: 24,
		Work: 1440 * time.Millisecond, Spread: 0.15, KnownPart: 0.3,
		Objective: time.Second, Deadline: 8 * time.Second, LateWorth: 0.2,
		Rate: 48, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("rosario", 2), Length: dayLength,
	}
}

// ScriptReads is reads whose first run at a target is always late.
func ScriptReads() *Load {
	return &Load{
		Name: "script-reads", Regions: lydspor(2, 4, 6), OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, Remembers: 25, Objects: 24,
		Work: 480 * time.Millisecond, Spread: 0.15, KnownPart: 0.3,
		Objective: 300 * time.Millisecond, Deadline: 2500 * time.Millisecond, LateWorth: 0.2,
		Rate: 120, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("de-frankfurt", 1), Length: dayLength,
	}
}

// Bookings is requests that must not repeat, with room to spare.
func Bookings() *Load {
	return &Load{
		Name: "bookings", Regions: lydspor(2, 4, 6), OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, Remembers: 25, Objects: 24,
		Work: 640 * time.Millisecond, Spread: 0.15, KnownPart: 0.3,
		Objective: 400 * time.Millisecond, Deadline: 3 * time.Second, LateWorth: 0.2,
		Rate: 45, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("se-stockholm", 2), Length: dayLength,
	}
}

// ProofListens is the longest reads.
func ProofListens() *Load {
	return &Load{
		Name: "proof-listens", Regions: lydspor(2, 4, 6), OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Slots: 3, QueueLimit: 9, Remembers: 25, Objects: 24,
		Work: 1920 * time.Millisecond, Spread: 0.15, KnownPart: 0.3,
		Objective: 1200 * time.Millisecond, Deadline: 10 * time.Second, LateWorth: 0.2,
		Rate: 32, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("de-frankfurt", 1), Length: dayLength,
	}
}

// GrownLoads returns loads made after the services of the deployments once they
// have eight times as many VMs.
func GrownLoads() []*Load {
	return []*Load{grownPlanReads(), grownScriptReads(), grownProofListens()}
}

// grownPlanReads is PlanReads at eight times the size, with longer work.
func grownPlanReads() *Load {
	return &Load{
		Name: "plan-reads-grown", OneWay: estibaOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"rosario", 28, 86}, {"bahia-blanca", 25, 18}, {"buenos-aires", 30, 72}},
		Slots:   4, QueueLimit: 12, Remembers: 23, Objects: 320,
		Work: 912 * time.Millisecond, Spread: 0.15, KnownPart: 0.25,
		Objective: 600 * time.Millisecond, Deadline: 4 * time.Second, LateWorth: 0.2,
		Rate: 1384, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("rosario", 12), Length: dayLength,
	}
}

// callersThatStop is all requests of the grown deployment at two fifths of its usual
// load, without a change or a fault, until all callers stop near the peak of
// bahia-blanca's wave. All of them may be repeated.
func callersThatStop() *Load {
	l := grownPlanReads()
	l.Name = "callers-that-stop"
	l.Regions = []Region{{"rosario", 28, 182}, {"bahia-blanca", 25, 38}, {"buenos-aires", 30, 152}}
	l.Objects = 700
	l.Rate = 900
	l.Events = nil
	l.Length = 30 * time.Second
	l.Connect = true
	return l
}

// grownScriptReads is ScriptReads at ten times the size.
func grownScriptReads() *Load {
	return &Load{
		Name: "script-reads-grown", OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"dk-aarhus", 29, 46}, {"de-frankfurt", 29, 92}, {"se-stockholm", 29, 138}},
		Slots:   3, QueueLimit: 9, Remembers: 16, Objects: 291,
		Work: 720 * time.Millisecond, Spread: 0.15, KnownPart: 0.25,
		Objective: 400 * time.Millisecond, Deadline: 3 * time.Second, LateWorth: 0.2,
		Rate: 1260, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("de-frankfurt", 14), Length: dayLength,
	}
}

// grownProofListens is ProofListens at eight times the size.
func grownProofListens() *Load {
	return &Load{
		Name: "proof-listens-grown", OneWay: lydsporOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"dk-aarhus", 29, 37}, {"de-frankfurt", 29, 73}, {"se-stockholm", 29, 109}},
		Slots:   3, QueueLimit: 9, Remembers: 8, Objects: 57,
		Work: 2976 * time.Millisecond, Spread: 0.15, KnownPart: 0.25,
		Objective: 1500 * time.Millisecond, Deadline: 12 * time.Second, LateWorth: 0.2,
		Rate: 249, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("de-frankfurt", 11), Length: dayLength,
	}
}

// largePlanReads is reads of many objects over hundreds of targets.
func largePlanReads() *Load {
	return &Load{
		Name: "plan-reads-large", OneWay: estibaOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"rosario", 67, 231}, {"bahia-blanca", 60, 48}, {"buenos-aires", 68, 192}},
		Slots:   5, QueueLimit: 15, Remembers: 14, Objects: 352,
		Work: 1536 * time.Millisecond, Spread: 0.15, KnownPart: 0.3,
		Objective: time.Second, Deadline: 6 * time.Second, LateWorth: 0.2,
		Rate: 1527, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("rosario", 35), Length: dayLength,
	}
}

// largeArchiveReads is the longest reads there.
func largeArchiveReads() *Load {
	return &Load{
		Name: "archive-reads-large", OneWay: estibaOneWay, WithinRegion: withinRegion,
		Regions: []Region{{"rosario", 67, 135}, {"bahia-blanca", 60, 27}, {"buenos-aires", 68, 111}},
		Slots:   5, QueueLimit: 15, Remembers: 8, Objects: 100,
		Work: 6240 * time.Millisecond, Spread: 0.15, KnownPart: 0.3,
		Objective: 3 * time.Second, Deadline: 25 * time.Second, LateWorth: 0.2,
		Rate: 223, Swing: waveSwing, Period: wavePeriod, Events: commonEvents("rosario", 20), Length: dayLength,
	}
}

// sparsePlanReads is rare reads of more objects than the targets remember.
func sparsePlanReads() *Load {
	l := largePlanReads()
	l.Name = "plan-reads-sparse"
	l.Regions = []Region{{"rosario", 9, 24}, {"bahia-blanca", 9, 6}, {"buenos-aires", 9, 21}}
	l.Rate = 64
	l.Events = nil
	return l
}
