package emulation

import (
	"testing"
	"time"

	"masticturn/internal/placement"
)

// Crashing requests are contained, and other callers lose little.
func TestEmulatedRequestsThatCrashTargets(t *testing.T) {
	const most, loss = 6, 0.03
	for _, l := range []*Load{PlanReads(), Bookings(), grownPlanReads()} {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			l.Events = nil
			l.Length = 24 * time.Second
			plain := Play(l, placement.PolicyCompletion, 1)
			for _, every := range []time.Duration{150 * time.Millisecond, 1200 * time.Millisecond} {
				l.Crashing = []Crashing{{At: 4 * time.Second, Every: every, Length: 18 * time.Second}}
				got := Play(l, placement.PolicyCompletion, 1)
				if got.Lost < 1 || got.Lost > most {
					t.Errorf("every %v: %d targets lost, at most %d are allowed", every, got.Lost, most)
				}
				if got.Worth < plain.Worth-loss {
					t.Errorf("every %v: %.3f of the worth, %.3f without it", every, got.Worth, plain.Worth)
				}
			}
			l.Crashing = []Crashing{
				{At: 4 * time.Second, Every: 150 * time.Millisecond, Length: 18 * time.Second},
				{At: 4 * time.Second, Every: 150 * time.Millisecond, Length: 18 * time.Second},
				{At: 5 * time.Second, Every: 400 * time.Millisecond, Length: 18 * time.Second},
			}
			if got := Play(l, placement.PolicyCompletion, 1); got.Lost > 3*most {
				t.Errorf("three at once: %d targets lost, at most %d are allowed", got.Lost, 3*most)
			}
		})
	}
}

// VMs respect announcements of targets, and callers lose little.
func TestEmulatedNotices(t *testing.T) {
	const loss = 0.1
	for _, l := range []*Load{PlanReads(), ScriptReads()} {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			l.Events = nil
			l.Length = 24 * time.Second
			plain := Play(l, placement.PolicyCompletion, 1)
			region := l.Regions[0].Name
			l.Events = []Event{
				{At: 4 * time.Second, Kind: TargetsDrain, Region: region, Count: 1},
				{At: 14 * time.Second, Kind: TargetsLeave, Region: region, Count: 1},
			}
			if got := Play(l, placement.PolicyCompletion, 1); got.AfterLeaving > 0 || got.Worth < plain.Worth-loss {
				t.Errorf("a target leaves: %d arrivals after its word, %.3f of the worth, %.3f without", got.AfterLeaving, got.Worth, plain.Worth)
			}
			l.Events = []Event{
				{At: 4 * time.Second, Kind: TargetsBackOff, Region: region, Count: 1, Length: 3 * time.Second},
				{At: 14 * time.Second, Kind: TargetsResume, Region: region, Count: 1},
			}
			if got := Play(l, placement.PolicyCompletion, 1); got.DuringBackoff > 0 || got.Worth < plain.Worth-loss {
				t.Errorf("a target wants nothing: %d arrivals meanwhile, %.3f of the worth, %.3f without", got.DuringBackoff, got.Worth, plain.Worth)
			}
		})
	}
}
