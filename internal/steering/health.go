package steering

import (
	"time"

	"masticturn/internal/measure"
)

// Caution holds the ages and times by which a target's limit is decided.
type Caution struct {
	Stale time.Duration // steering.stale_ms
	Cold  time.Duration // steering.cold_ms
}

// TrialSlots is how many requests at a time may try a target that is believed
// down.
const TrialSlots = 1

// UsableSlots returns how many of a target's slots may be used by belief s
// about it: none while it leaves or is down, some while it is cold, and never
// more than the document's slots.
func UsableSlots(slots int, leaving bool, s measure.TargetState, c Caution, now time.Time) int {
	if leaving || s.Health == measure.Draining {
		return 0
	}
	band := HealthBand(s, c, now)
	switch s.Health {
	case measure.Down:
		if Allowed(InputTargetHealth, band).Believe {
			return 0
		}
		return min(slots, TrialSlots)
	case measure.Cold:
		return SlowStartSlots(slots, now.Sub(s.ColdSince), c.Cold)
	}
	if s.Slots > 0 && Allowed(InputTargetLoad, band).Believe {
		return min(slots, s.Slots)
	}
	return slots
}

// ReportedLoad returns the load to believe of a target's report, 0 when own
// permits alone count.
func ReportedLoad(s measure.TargetState, c Caution, now time.Time) int {
	if !Allowed(InputTargetLoad, HealthBand(s, c, now)).Believe {
		return 0
	}
	return max(0, s.InFlight)
}

// HealthBand classes the age of a belief about a target.
func HealthBand(s measure.TargetState, c Caution, now time.Time) AgeBand {
	if s.Health == measure.Unmeasured || s.MeasuredAt.IsZero() {
		return AgeNever
	}
	return BandOf(s.Age(now), c.Stale)
}
