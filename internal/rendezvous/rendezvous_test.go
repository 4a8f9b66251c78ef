package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func identity(s string) string { return s }

func candidates(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm-%d", i)
	}
	return out
}

func TestTopRemapsOnlyKeysOfRemovedCandidate(t *testing.T) {
	all := candidates(10)
	remaining := slices.Delete(slices.Clone(all), 3, 4)
	moved := 0
	const keys = 2000
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		before, after := Top(key, all, 1, identity)[0], Top(key, remaining, 1, identity)[0]
		if before != after {
			moved++
			if before != "vm-3" {
				t.Fatalf("key %s moved from %s, which was not removed", key, before)
			}
		}
	}
	if share := float64(moved) / keys; share < 0.05 || share > 0.15 {
		t.Errorf("removing 1 of 10 candidates moved %.0f%% of the keys, want 5%% to 15%%", 100*share)
	}
}

func TestTopIsIndependentOfCandidateOrder(t *testing.T) {
	all := candidates(7)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	if a, b := Top("k", all, 3, identity), Top("k", reversed, 3, identity); !slices.Equal(a, b) {
		t.Errorf("ranking depends on the order of candidates: got %v and %v", a, b)
	}
}

func TestWeightedScoreIsProportionalToWeight(t *testing.T) {
	wins := 0
	const keys = 6000
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		if WeightedScore(key, "heavy", 2) > WeightedScore(key, "light", 1) {
			wins++
		}
	}
	if share := float64(wins) / keys; share < 0.63 || share > 0.70 {
		t.Errorf("a candidate of weight 2 ranked before one of weight 1 for %.3f of the keys, want 0.63 to 0.70", share)
	}
	if WeightedScore("k", "none", 0) >= WeightedScore("k", "some", 0.001) {
		t.Error("a candidate of weight 0 ranked before one of positive weight")
	}
}

// Selecting a few of many candidates must give the same result as ranking all of them.
func TestTopOfManyIsTheBeginningOfTheRanking(t *testing.T) {
	all := candidates(500)
	ranked := Top("k", all, len(all), identity)
	for _, n := range []int{0, 1, 2, 16, 62, 63, 499} {
		if got := Top("k", all, n, identity); !slices.Equal(got, ranked[:n]) {
			t.Errorf("the first %d are %v, want %v", n, got, ranked[:n])
		}
	}
}
