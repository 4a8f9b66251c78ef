package emulation

import (
	"testing"

	"masticturn/internal/placement"
)

// Numbers of seeds over which results are averaged.
const (
	comparisonSeeds = 3
	thresholdSeeds  = 4
)

// meanResult holds means over the runs of several seeds.
type meanResult struct{ worth, window, region, shed, cold float64 }

func runSeeds(w *Workload, policy placement.Policy, seeds int) meanResult {
	var f meanResult
	for seed := range seeds {
		r := Run(w, policy, uint64(seed+1))
		f.worth += r.Worth / float64(seeds)
		f.window += r.WorstWindow / float64(seeds)
		f.region += r.WorstRegion / float64(seeds)
		f.shed += r.ShedShare() / float64(seeds)
		f.cold += r.ColdShare() / float64(seeds)
	}
	return f
}

// The default policy must achieve more worth than every other policy on each workload, overall and
// in the worst region.
func TestCompletionBeatsOtherPolicies(t *testing.T) {
	for _, w := range Workloads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			w.Length /= 2 // a cold start, targets that leave and a burst
			best := runSeeds(w, placement.PolicyCompletion, comparisonSeeds)
			for _, policy := range placement.Policies()[1:] {
				other := runSeeds(w, policy, comparisonSeeds)
				if best.worth < other.worth+0.05 {
					t.Errorf("worth %.3f, want 0.05 more than %s with %.3f", best.worth, policy, other.worth)
				}
				if best.region < other.region+0.05 {
					t.Errorf("worth %.3f in the worst region, want 0.05 more than %s with %.3f", best.region, policy, other.region)
				}
			}
		})
	}
}

// Guards against changes of placement that lower the worth of requests or increase the shares of
// shed requests and of uncached runs.
func TestWhatCallersGet(t *testing.T) {
	tests := map[string]meanResult{
		"plan-reads":    {worth: 0.93, window: 0.55, region: 0.91, shed: 0.001, cold: 0.05},
		"hold-confirms": {worth: 0.91, window: 0.43, region: 0.88, shed: 0.001, cold: 0.06},
		"archive-reads": {worth: 0.66, window: 0.21, region: 0.62, shed: 0.002, cold: 0.12},
		"script-reads":  {worth: 0.86, window: 0.33, region: 0.82, shed: 0.001, cold: 0.05},
		"bookings":      {worth: 0.90, window: 0.35, region: 0.88, shed: 0.001, cold: 0.09},
		"proof-listens": {worth: 0.66, window: 0.20, region: 0.60, shed: 0.002, cold: 0.15},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := runSeeds(WorkloadByName(name), placement.PolicyCompletion, thresholdSeeds)
			if got.worth < want.worth || got.window < want.window || got.region < want.region {
				t.Errorf("worth %.3f, in the worst window %.3f, in the worst region %.3f; want %.2f, %.2f, %.2f at least",
					got.worth, got.window, got.region, want.worth, want.window, want.region)
			}
			if got.shed > want.shed || got.cold > want.cold {
				t.Errorf("%.4f shed, %.3f not cached; want %.3f, %.2f at most", got.shed, got.cold, want.shed, want.cold)
			}
		})
	}
}

// Load reports must increase the worth of requests, overall and in the worst region, and keep
// targets from shedding more than one arrival in 500.
func TestLoadReportsIncreaseWorth(t *testing.T) {
	const gain = 0.02
	grown := grownPlanReads()
	grown.Length /= 8
	large := largeArchiveReads()
	large.Length /= 4
	for _, w := range []*Workload{ArchiveReads(), ProofListens(), grown, large} {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			with := runSeeds(w, placement.PolicyCompletion, comparisonSeeds)
			noReports := *w
			noReports.NoReports = true
			without := runSeeds(&noReports, placement.PolicyCompletion, comparisonSeeds)
			if with.worth < without.worth+gain || with.region < without.region+gain {
				t.Errorf("worth %.3f, in the worst region %.3f; without load reports %.3f and %.3f",
					with.worth, with.region, without.worth, without.region)
			}
			if with.shed > 0.002 {
				t.Errorf("targets shed %.4f of arrivals, want 0.002 at most", with.shed)
			}
		})
	}
}

// Where other work slows targets down, requests must earn no less if the targets report it.
func TestReportedWorkFactorsIncreaseWorth(t *testing.T) {
	t.Parallel()
	told, hidden := SharedMachineReads(), SharedMachineReads()
	hidden.HideWorkFactor = true
	with, without := runSeeds(told, placement.PolicyCompletion, thresholdSeeds), runSeeds(hidden, placement.PolicyCompletion, thresholdSeeds)
	t.Logf("worth %.4f with reported work factors, %.4f without; in the worst region %.4f and %.4f", with.worth, without.worth, with.region, without.region)
	if with.worth < without.worth {
		t.Errorf("worth %.4f with reported work factors, %.4f without", with.worth, without.worth)
	}
}

// Waves and bursts of load must move only few requests between regions, as the targets of an
// object don't depend on the load.
func TestRegionsStaySteady(t *testing.T) {
	t.Parallel()
	w := grownPlanReads()
	w.Length /= 3
	if r := Run(w, placement.PolicyCompletion, 1); r.MaxShift > 0.12 {
		t.Errorf("%.3f of a region's requests moved between regions within two seconds, want 0.12 at most", r.MaxShift)
	}
}

// The same seed must give the same result, and every request must have exactly one outcome.
func TestRunsAreDeterministic(t *testing.T) {
	w := ArchiveReads()
	w.Length /= 4
	for _, policy := range placement.Policies() {
		a, b := Run(w, policy, 7), Run(w, policy, 7)
		if *a != *b {
			t.Errorf("%s: two runs with the same seed differ: %+v, %+v", policy, a, b)
		}
		if ended := a.InTime + a.Late + a.Refused + a.Failed; ended != a.Requests {
			t.Errorf("%s: %d requests, %d outcomes", policy, a.Requests, ended)
		}
	}
}

// A target must cache its most recently used objects.
func TestTargetCacheEvictsLeastRecentlyUsed(t *testing.T) {
	target := newTarget("t", "r", &Workload{Slots: 1, CacheSize: 2})
	steps := []struct {
		object string
		cached bool
	}{{"a", false}, {"b", false}, {"a", true}, {"c", false}, {"a", true}, {"b", false}}
	for i, s := range steps {
		if got := target.accessObject(s.object); got != s.cached {
			t.Errorf("step %d: object %s cached: %v, want %v", i, s.object, got, s.cached)
		}
	}
}
