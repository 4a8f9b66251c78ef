package bench

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/target"
)

type classOf = config.Class

// steeringCheck counts, outside of the daemons, what the caps and the slots
// bound: from when callers sent and when targets received.
type steeringCheck struct {
	load     *steeringLoad
	sent     map[string][]time.Time // tries of the callers, by region, in order
	arrivals []steeringArrival      // at the targets, in order
	first    string                 // class of the highest priority
}

// steeringArrival is a request that reached a target.
type steeringArrival struct {
	at     time.Time
	until  time.Time // it holds a slot, or waits for one, until then
	from   string    // region of the caller
	to     string    // region of the target
	target string
}

func newSteeringCheck(l *steeringLoad, tries []caller.Note, records []target.Record) *steeringCheck {
	c := &steeringCheck{load: l, sent: make(map[string][]time.Time)}
	regionOfZone := make(map[string]string)
	for _, r := range l.cluster.Document.Regions {
		for _, z := range r.Zones {
			regionOfZone[callerName(z)] = r.Name
		}
	}
	regionOfTarget := make(map[string]string)
	for _, t := range l.cluster.Targets {
		regionOfTarget[t.Name()] = t.Region
	}
	callerRegion := func(id string) string {
		// [part+]name-number-try
		name := id[:max(0, strings.LastIndexByte(id, '-'))]
		name = name[:max(0, strings.LastIndexByte(name, '-'))]
		if _, rest, found := strings.Cut(name, partSeparator); found {
			name = rest
		}
		return regionOfZone[name]
	}
	for i := range tries {
		region := callerRegion(tries[i].RequestID)
		c.sent[region] = append(c.sent[region], tries[i].Started)
	}
	for _, at := range c.sent {
		slices.SortFunc(at, time.Time.Compare)
	}
	for i := range records {
		r := &records[i]
		a := steeringArrival{at: r.Arrived, until: r.Finished, from: callerRegion(r.RequestID), to: regionOfTarget[r.Target], target: r.Target}
		if a.until.IsZero() {
			a.until = a.at
		}
		c.arrivals = append(c.arrivals, a)
	}
	slices.SortFunc(c.arrivals, func(a, b steeringArrival) int { return a.at.Compare(b.at) })
	classes := slices.Clone(l.cluster.Document.Classes)
	c.first = slices.MinFunc(classes, func(a, b classOf) int { return cmp.Compare(a.Priority, b.Priority) }).Name
	return c
}

// shifted counts the arrivals outside of their callers' region.
func (c *steeringCheck) shifted() int {
	n := 0
	for i := range c.arrivals {
		if c.arrivals[i].from != c.arrivals[i].to {
			n++
		}
	}
	return n
}

// capAlignments is how many alignments of the windows are checked.
const capAlignments = 8

// capExceeded returns the shifts beyond the caps, added up over the windows of
// the worst alignment of each cap.
func (c *steeringCheck) capExceeded() int {
	exceeded := 0
	for i := range c.load.cluster.Document.ShiftCaps {
		capOf := &c.load.cluster.Document.ShiftCaps[i]
		at := c.shiftsOf(capOf)
		worst := 0
		for k := range capAlignments {
			offset := capOf.WindowMS.Duration() * time.Duration(k) / capAlignments
			worst = max(worst, c.beyondCap(capOf, at, offset))
		}
		exceeded += worst
	}
	return exceeded
}

// shiftsOf returns when arrivals came that a cap bounds, in order.
func (c *steeringCheck) shiftsOf(capOf *config.ShiftCap) []time.Time {
	var at []time.Time
	for i := range c.arrivals {
		if c.arrivals[i].from == capOf.From && c.arrivals[i].to == capOf.To {
			at = append(at, c.arrivals[i].at)
		}
	}
	return at
}

func (c *steeringCheck) beyondCap(capOf *config.ShiftCap, shifts []time.Time, offset time.Duration) int {
	window := capOf.WindowMS.Duration()
	beyond := 0
	for start := c.load.began.Add(offset); start.Before(c.load.began.Add(c.load.sc.total())); start = start.Add(window) {
		before := countBetween(c.sent[capOf.From], start.Add(-window), start)
		shifted := countBetween(shifts, start, start.Add(window))
		beyond += max(0, shifted-int(capOf.MaxFraction*float64(before)))
	}
	return beyond
}

// countBetween counts the times in [from, to) of a sorted list.
func countBetween(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return last - first
}

// overloaded counts the arrivals, after the warm-up, that found all slots of
// the region, or all of the target, taken.
func (c *steeringCheck) overloaded() (region, target int) {
	slots := make(map[string]int)
	for _, r := range c.load.cluster.Document.Regions {
		slots[r.Name] = c.load.slots(r.Name)
		for _, t := range c.load.targets(r.Name) {
			slots[t.Name()] = t.Slots
		}
	}
	byRegion, byTarget := newOccupancy(), newOccupancy()
	for i := range c.arrivals {
		a := &c.arrivals[i]
		if n := byRegion.add(a.to, a); n > slots[a.to] && c.load.measured(a.at) {
			region++
		}
		if n := byTarget.add(a.target, a); n > slots[a.target] && c.load.measured(a.at) {
			target++
		}
	}
	return region, target
}

// occupancy holds the ends of what is running, by region or target.
type occupancy struct{ ends map[string][]time.Time }

func newOccupancy() *occupancy { return &occupancy{ends: make(map[string][]time.Time)} }

// add counts an arrival in and returns how many are there with it.
func (o *occupancy) add(key string, a *steeringArrival) int {
	running := slices.DeleteFunc(o.ends[key], func(end time.Time) bool { return !end.After(a.at) })
	o.ends[key] = append(running, a.until)
	return len(o.ends[key])
}

// regions returns the use of each region's slots after the warm-up.
func (c *steeringCheck) regions() []SteeringRegion {
	var out []SteeringRegion
	from := c.load.began.Add(c.load.sc.warm)
	measured := c.load.sc.total() - c.load.sc.warm
	for _, r := range c.load.cluster.Document.Regions {
		slots := c.load.slots(r.Name)
		busiest, sum := 0.0, 0.0
		for at := time.Duration(0); at < measured; at += time.Second {
			busy := c.busy(r.Name, from.Add(at), from.Add(at+time.Second)).Seconds()
			busiest = max(busiest, busy)
			sum += busy
		}
		out = append(out, SteeringRegion{
			Region:       r.Name,
			Slots:        slots,
			Utilisation:  sum / (float64(slots) * measured.Seconds()),
			HeadroomKept: 1 - busiest/float64(slots),
		})
	}
	return out
}

// busy returns the time that a region's slots were taken within [from, to).
func (c *steeringCheck) busy(region string, from, to time.Time) time.Duration {
	var sum time.Duration
	for i := range c.arrivals {
		a := &c.arrivals[i]
		if a.to != region || !a.at.Before(to) || !a.until.After(from) {
			continue
		}
		sum += earlier(a.until, to).Sub(later(a.at, from))
	}
	return sum
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// series returns the steps of the run after the warm-up.
func (c *steeringCheck) series(requests []caller.Note) []SteeringPoint {
	from := c.load.began.Add(c.load.sc.warm)
	steps := int((c.load.sc.total() - c.load.sc.warm) / seriesStep)
	points := make([]SteeringPoint, steps)
	first, answered, shifted := make([]int, steps), make([]int, steps), make([]int, steps)
	index := func(at time.Time) (int, bool) {
		i := int(at.Sub(from) / seriesStep)
		return i, !at.Before(from) && i < steps
	}
	for i := range requests {
		n := &requests[i]
		step, ok := index(n.Started)
		if !ok {
			continue
		}
		points[step].Requests++
		if n.Class == c.first {
			first[step]++
			if n.Told == caller.ToldAnswered {
				answered[step]++
			}
		}
	}
	for i := range c.arrivals {
		if step, ok := index(c.arrivals[i].at); ok && c.arrivals[i].from != c.arrivals[i].to {
			shifted[step]++
		}
	}
	for i := range points {
		points[i].AtMS = (time.Duration(i) * seriesStep).Milliseconds()
		points[i].ShareAnswered = float64(answered[i]) / float64(max(1, first[i]))
		points[i].ShareShifted = float64(shifted[i]) / float64(max(1, points[i].Requests))
	}
	return points
}
