// Package measure knows the health and load of targets, each with its age:
// from probes, from reports of other daemons, from the platform's list and
// from what targets say on answers.
package measure

import "time"

// Health is what is believed about a target's ability to take new work.
type Health uint8

// The beliefs about a target.
const (
	Unmeasured Health = iota // nothing has arrived yet
	Healthy                  // it answers probes
	Cold                     // it answers, but its caches are empty
	Draining                 // it is leaving: no new work
	Down                     // it does not answer
)

// String returns the name used in status and metrics.
func (h Health) String() string {
	return [...]string{"unmeasured", "healthy", "cold", "draining", "down"}[h]
}

// TargetState is the belief about one target.
type TargetState struct {
	Target     string
	Health     Health
	ColdSince  time.Time // when it was first seen cold or back from down; zero if not cold
	InFlight   int       // reported by the target; -1 unknown
	Slots      int       // reported by the target; 0 unknown
	Queued     int       // reported by the target
	MeasuredAt time.Time // by this daemon's clock, less the report's age on the way
}

// Age returns how old the measurement is.
func (s TargetState) Age(now time.Time) time.Duration { return now.Sub(s.MeasuredAt) }

// View is an immutable view of all targets.
type View struct {
	Version uint64
	Targets map[string]TargetState
}

// Target returns the belief about a target; Unmeasured when there is none.
func (v *View) Target(name string) TargetState {
	s, ok := v.Targets[name]
	if !ok {
		return TargetState{Target: name, InFlight: -1}
	}
	return s
}

// Source hands out the view. View is one atomic load and never returns nil.
type Source interface {
	View() *View
	// Subscribe calls f after changes, in order, from one goroutine.
	Subscribe(f func(*View)) (cancel func())
	// Observe takes a target's own word on an answer. That it drains is passed
	// on to the other daemons at once.
	Observe(o Observation)
}

// Observation is a target's own word on an answer.
type Observation struct {
	Target   string
	Draining bool
	Shed     bool // it said that it did not run the request
	InFlight int  // -1 unknown
	Slots    int  // 0 unknown
}
