package emulation

import (
	"testing"
	"time"

	"masticturn/internal/placement"
)

// A request that crashes its targets must be quarantined after a few crashes, at little cost to
// other callers.
func TestCrashRequestsAreContained(t *testing.T) {
	const maxCrashes, maxLoss = 6, 0.03
	for _, w := range []*Workload{PlanReads(), Bookings(), grownPlanReads()} {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			w.Events = nil
			w.Length = 24 * time.Second
			baseline := Run(w, placement.PolicyCompletion, 1)
			for _, every := range []time.Duration{150 * time.Millisecond, 1200 * time.Millisecond} {
				w.CrashRequests = []CrashRequest{{At: 4 * time.Second, Every: every, Length: 18 * time.Second}}
				got := Run(w, placement.PolicyCompletion, 1)
				if got.Crashes < 1 || got.Crashes > maxCrashes {
					t.Errorf("every %v: %d targets crashed, want 1 to %d", every, got.Crashes, maxCrashes)
				}
				if got.Worth < baseline.Worth-maxLoss {
					t.Errorf("every %v: worth %.3f, without the crashes %.3f", every, got.Worth, baseline.Worth)
				}
			}
			w.CrashRequests = []CrashRequest{
				{At: 4 * time.Second, Every: 150 * time.Millisecond, Length: 18 * time.Second},
				{At: 4 * time.Second, Every: 150 * time.Millisecond, Length: 18 * time.Second},
				{At: 5 * time.Second, Every: 400 * time.Millisecond, Length: 18 * time.Second},
			}
			if got := Run(w, placement.PolicyCompletion, 1); got.Crashes > 3*maxCrashes {
				t.Errorf("three requests: %d targets crashed, want %d at most", got.Crashes, 3*maxCrashes)
			}
		})
	}
}

// VMs must send no requests to targets that have announced that they are leaving, or during a
// requested backoff. Callers must lose little worth by it.
func TestVMsRespectTargetNotices(t *testing.T) {
	const maxLoss = 0.1
	for _, w := range []*Workload{PlanReads(), ScriptReads()} {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			w.Events = nil
			w.Length = 24 * time.Second
			plain := Run(w, placement.PolicyCompletion, 1)
			region := w.Regions[0].Name
			w.Events = []Event{
				{At: 4 * time.Second, Kind: TargetsDrain, Region: region, Count: 1},
				{At: 14 * time.Second, Kind: TargetsLeave, Region: region, Count: 1},
			}
			if got := Run(w, placement.PolicyCompletion, 1); got.AfterLeaving > 0 || got.Worth < plain.Worth-maxLoss {
				t.Errorf("a target leaves: %d arrivals after its announcement; worth %.3f, without leaving targets %.3f", got.AfterLeaving, got.Worth, plain.Worth)
			}
			w.Events = []Event{
				{At: 4 * time.Second, Kind: TargetsBackOff, Region: region, Count: 1, Length: 3 * time.Second},
				{At: 14 * time.Second, Kind: TargetsResume, Region: region, Count: 1},
			}
			if got := Run(w, placement.PolicyCompletion, 1); got.DuringBackoff > 0 || got.Worth < plain.Worth-maxLoss {
				t.Errorf("a target requests backoff: %d arrivals during it; worth %.3f, without backoff %.3f", got.DuringBackoff, got.Worth, plain.Worth)
			}
		})
	}
}
