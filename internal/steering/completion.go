package steering

import "time"

// Place describes what a request can expect in one region.
type Place struct {
	OneWay      time.Duration // from here to there; 0 here
	Wait        time.Duration // expected wait for a slot
	Service     time.Duration // expected time at the target
	Utilisation float64       // slots in use per usable slot, 0 to 1, smoothed
}

// Completion returns the expected time until the answer's end: the wait, the
// way there and back, and the service.
func (p Place) Completion() time.Duration {
	return p.Wait + 2*p.OneWay + p.Service
}

// Comparison weighs completion here against completion elsewhere.
type Comparison struct {
	HeadroomWeight float64       // 0: latency alone; 1: headroom counts fully
	HeadroomKeep   float64       // part of the slots that each region wants free
	Band           time.Duration // an advantage within ±Band changes nothing
}

// headroomPressure bounds the penalty of a region whose headroom is used up,
// in service times.
const headroomPressure = 8

// Advantage returns how much sooner, headroom included, a request is served
// there than here; negative when here is better.
//
// Property: it does not fall when the wait or the utilisation here rises, and
// does not rise when those of there do.
func (c Comparison) Advantage(here, there Place) time.Duration {
	if here.Wait > maxWait {
		here.Wait = maxWait
	}
	return here.Completion() + c.penalty(here) - there.Completion() - c.penalty(there)
}

// maxWait bounds waits in comparisons so that sums do not overflow.
const maxWait = time.Hour

// penalty rises linearly with the part of the wanted headroom that is used.
func (c Comparison) penalty(p Place) time.Duration {
	if c.HeadroomKeep <= 0 {
		return 0
	}
	used := (p.Utilisation - (1 - c.HeadroomKeep)) / c.HeadroomKeep
	used = min(max(used, 0), 1)
	return time.Duration(c.HeadroomWeight * headroomPressure * used * float64(p.Service))
}

// Hysteresis turns advantages into a steady choice: it starts above the band
// and stops below it, not sooner than Hold after the last change.
//
// Property: between two changes of its value lies Hold at least.
type Hysteresis struct {
	Hold    time.Duration
	on      bool
	changed time.Time
	count   int
}

// Update takes an advantage in and returns whether to shift.
func (h *Hysteresis) Update(advantage, band time.Duration, now time.Time) bool {
	want := h.on
	if advantage > band {
		want = true
	}
	if advantage < -band {
		want = false
	}
	if want == h.on || (!h.changed.IsZero() && now.Sub(h.changed) < h.Hold) {
		return h.on
	}
	h.on = want
	h.changed = now
	h.count++
	return h.on
}

// On returns the present choice.
func (h *Hysteresis) On() bool { return h.on }

// Changes returns how often the choice has changed.
func (h *Hysteresis) Changes() int { return h.count }
