package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func self(s string) string { return s }

func candidates(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm-%d", i)
	}
	return out
}

func TestTopMovesOnlyWhatWasLost(t *testing.T) {
	all := candidates(10)
	rest := slices.Delete(slices.Clone(all), 3, 4)
	moved := 0
	const keys = 2000
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		before, after := Top(key, all, 1, self)[0], Top(key, rest, 1, self)[0]
		if before != after {
			moved++
			if before != "vm-3" {
				t.Fatalf("key %s moved from %s, which is still there", key, before)
			}
		}
	}
	if share := float64(moved) / keys; share < 0.05 || share > 0.15 {
		t.Errorf("the loss of 1 of 10 moved %.0f%% of the keys", 100*share)
	}
}

func TestTopDoesNotDependOnOrder(t *testing.T) {
	all := candidates(7)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	if a, b := Top("k", all, 3, self), Top("k", reversed, 3, self); !slices.Equal(a, b) {
		t.Errorf("got %v and %v", a, b)
	}
}

func TestWeightedScoreSharesByWeight(t *testing.T) {
	wins := 0
	const keys = 6000
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		if WeightedScore(key, "heavy", 2) > WeightedScore(key, "light", 1) {
			wins++
		}
	}
	if share := float64(wins) / keys; share < 0.63 || share > 0.70 {
		t.Errorf("weight 2 against 1 won %.3f of the keys", share)
	}
	if WeightedScore("k", "none", 0) >= WeightedScore("k", "some", 0.001) {
		t.Error("weight 0 won")
	}
}
