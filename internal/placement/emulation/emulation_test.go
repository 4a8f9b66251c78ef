package emulation

import (
	"testing"

	"masticturn/internal/placement"
)

// Numbers of plays that a mean is taken of.
const (
	seedsToCompare = 3
	seedsToMeasure = 4
)

// figures are means over several plays.
type figures struct{ worth, window, region, shed, fresh float64 }

func play(l *Load, policy placement.Policy, seeds int) figures {
	var f figures
	for seed := range seeds {
		r := Play(l, policy, uint64(seed+1))
		f.worth += r.Worth / float64(seeds)
		f.window += r.WorstWindow / float64(seeds)
		f.region += r.WorstRegion / float64(seeds)
		f.shed += r.ShedPart() / float64(seeds)
		f.fresh += r.FreshPart() / float64(seeds)
	}
	return f
}

// The default policy beats all others on every load, in the worst-served region too.
func TestCompletionServesBest(t *testing.T) {
	for _, l := range Loads() {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			l.Length /= 2 // a cold start, targets that leave and a burst
			best := play(l, placement.PolicyCompletion, seedsToCompare)
			for _, policy := range placement.Policies()[1:] {
				other := play(l, policy, seedsToCompare)
				if best.worth < other.worth+0.05 {
					t.Errorf("%.3f of the worth, %s %.3f", best.worth, policy, other.worth)
				}
				if best.region < other.region+0.05 {
					t.Errorf("%.3f of the worth in the worst region, %s %.3f", best.region, policy, other.region)
				}
			}
		})
	}
}

// Callers get the stated worth of each load.
func TestWhatCallersGet(t *testing.T) {
	tests := map[string]figures{
		"plan-reads":    {worth: 0.93, window: 0.55, region: 0.91, shed: 0.001, fresh: 0.05},
		"hold-confirms": {worth: 0.91, window: 0.43, region: 0.88, shed: 0.001, fresh: 0.06},
		"archive-reads": {worth: 0.66, window: 0.21, region: 0.62, shed: 0.002, fresh: 0.12},
		"script-reads":  {worth: 0.86, window: 0.33, region: 0.82, shed: 0.001, fresh: 0.05},
		"bookings":      {worth: 0.90, window: 0.35, region: 0.88, shed: 0.001, fresh: 0.09},
		"proof-listens": {worth: 0.66, window: 0.20, region: 0.60, shed: 0.002, fresh: 0.15},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := play(LoadNamed(name), placement.PolicyCompletion, seedsToMeasure)
			if got.worth < want.worth || got.window < want.window || got.region < want.region {
				t.Errorf("worth %.3f, in the worst window %.3f, in the worst region %.3f; want %.2f, %.2f, %.2f at least",
					got.worth, got.window, got.region, want.worth, want.window, want.region)
			}
			if got.shed > want.shed || got.fresh > want.fresh {
				t.Errorf("%.4f shed, %.3f fresh; want %.3f, %.2f at most", got.shed, got.fresh, want.shed, want.fresh)
			}
		})
	}
}

// Load reports improve what callers get, and targets shed next to nothing.
func TestLoadReportsServeBetter(t *testing.T) {
	const gain = 0.02
	grown := grownPlanReads()
	grown.Length /= 8
	large := largeArchiveReads()
	large.Length /= 4
	for _, l := range []*Load{ArchiveReads(), ProofListens(), grown, large} {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			told := play(l, placement.PolicyCompletion, seedsToCompare)
			alone := *l
			alone.Alone = true
			untold := play(&alone, placement.PolicyCompletion, seedsToCompare)
			if told.worth < untold.worth+gain || told.region < untold.region+gain {
				t.Errorf("worth %.3f, in the worst region %.3f; without telling %.3f and %.3f",
					told.worth, told.region, untold.worth, untold.region)
			}
			if told.shed > 0.002 {
				t.Errorf("%.4f of the arrivals are shed by targets, want one in 500 at most", told.shed)
			}
		})
	}
}

// Waves and bursts move few requests between regions, as an object's targets do not
// depend on the load.
func TestRegionsStaySteady(t *testing.T) {
	t.Parallel()
	l := grownPlanReads()
	l.Length /= 3
	if r := Play(l, placement.PolicyCompletion, 1); r.MostShifted > 0.12 {
		t.Errorf("%.3f of a region's requests moved within two seconds", r.MostShifted)
	}
}

// A seed determines the play, and every request ends once.
func TestPlaysRepeat(t *testing.T) {
	l := ArchiveReads()
	l.Length /= 4
	for _, policy := range placement.Policies() {
		a, b := Play(l, policy, 7), Play(l, policy, 7)
		if *a != *b {
			t.Errorf("%s: two plays of one seed differ: %+v, %+v", policy, a, b)
		}
		if ended := a.InTime + a.Late + a.Refused + a.Failed; ended != a.Asked {
			t.Errorf("%s: %d requests, %d ends", policy, a.Asked, ended)
		}
	}
}

// An emulated target caches its latest objects.
func TestTargetRemembers(t *testing.T) {
	target := newTarget("t", "r", &Load{Slots: 1, Remembers: 2})
	steps := []struct {
		object string
		known  bool
	}{{"a", false}, {"b", false}, {"a", true}, {"c", false}, {"a", true}, {"b", false}}
	for i, s := range steps {
		if got := target.use(s.object); got != s.known {
			t.Errorf("step %d: object %s is known: %v, want %v", i, s.object, got, s.known)
		}
	}
}
