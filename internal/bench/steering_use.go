package bench

import (
	"slices"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/steering"
)

// SteeringUse is the use of a region's slots over the whole load, warm-up
// included.
type SteeringUse struct {
	Region string             `json:"region"`
	Slots  int                `json:"slots"` // of all its targets, also of those lost
	Points []SteeringUsePoint `json:"points"`
}

// SteeringUsePoint is one step of a SteeringUse.
type SteeringUsePoint struct {
	AtMS int64   `json:"at_ms"` // since the end of the warm-up; negative before
	Busy float64 `json:"busy"`  // mean of the slots taken or waited for
}

// SteeringShift is what came from one region to another, by windows of the
// cap that bounds it. The windows begin with the load.
type SteeringShift struct {
	From        string                `json:"from"`
	To          string                `json:"to"`
	MaxFraction float64               `json:"max_fraction"` // of the requests sent in the window before
	WindowMS    int64                 `json:"window_ms"`
	Windows     []SteeringShiftWindow `json:"windows"`
}

// SteeringShiftWindow is one window of a cap.
type SteeringShiftWindow struct {
	AtMS    int64 `json:"at_ms"`   // since the end of the warm-up; negative before
	Sent    int   `json:"sent"`    // tries of the region's callers in the window before
	Shifted int   `json:"shifted"` // arrivals at the other region's targets in this window
}

// use returns the use of all regions by steps of the load.
func (c *steeringCheck) use() []SteeringUse {
	var out []SteeringUse
	for _, r := range c.load.cluster.Document.Regions {
		use := SteeringUse{Region: r.Name, Slots: c.load.slots(r.Name)}
		for at := time.Duration(0); at+seriesStep <= c.load.sc.total(); at += seriesStep {
			from := c.load.began.Add(at)
			busy := c.busy(r.Name, from, from.Add(seriesStep))
			use.Points = append(use.Points, SteeringUsePoint{
				AtMS: c.sinceWarm(at),
				Busy: busy.Seconds() / seriesStep.Seconds(),
			})
		}
		out = append(out, use)
	}
	return out
}

// shifts returns the windows of all caps.
func (c *steeringCheck) shifts() []SteeringShift {
	var out []SteeringShift
	for i := range c.load.cluster.Document.ShiftCaps {
		out = append(out, c.shiftOf(&c.load.cluster.Document.ShiftCaps[i]))
	}
	return out
}

func (c *steeringCheck) shiftOf(capOf *config.ShiftCap) SteeringShift {
	window := capOf.WindowMS.Duration()
	arrived := c.shiftsOf(capOf)
	out := SteeringShift{From: capOf.From, To: capOf.To, MaxFraction: capOf.MaxFraction, WindowMS: window.Milliseconds()}
	for at := time.Duration(0); at < c.load.sc.total(); at += window {
		start := c.load.began.Add(at)
		out.Windows = append(out.Windows, SteeringShiftWindow{
			AtMS:    c.sinceWarm(at),
			Sent:    countBetween(c.sent[capOf.From], start.Add(-window), start),
			Shifted: countBetween(arrived, start, start.Add(window)),
		})
	}
	return out
}

// sinceWarm turns the time since the load began into milliseconds since the
// end of the warm-up.
func (c *steeringCheck) sinceWarm(at time.Duration) int64 {
	return (at - c.load.sc.warm).Milliseconds()
}

// Broken counts what a run broke of the things that must hold: under the
// policy broker caps, slots of regions, and promises; under others nothing,
// since they are run to compare with.
func Broken(r *SteeringRun) int {
	if r.Policy != steering.PolicyBroker {
		return 0
	}
	return r.CapExceeded + r.RegionOverloaded + r.Promises.Total
}

// KnownSteeringScenario tells whether a scenario has this name.
func KnownSteeringScenario(name string) bool { return slices.Contains(SteeringScenarios(), name) }
