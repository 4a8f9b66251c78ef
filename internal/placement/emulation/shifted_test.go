package emulation

import (
	"testing"

	"masticturn/internal/placement"
)

// Where first runs are late by themselves, the default policy beats the one that moves to other
// regions when the own one is full, in the worst-served region too.
func TestCompletionServesBestWhereFirstRunsAreLate(t *testing.T) {
	for _, l := range ShiftedLoads() {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			l.Length /= 4 // a cold start and targets that leave
			best := Play(l, placement.PolicyCompletion, 1)
			other := Play(l, placement.PolicyHashingRegions, 1)
			if best.Worth < other.Worth+0.05 || best.WorstRegion < other.WorstRegion+0.05 {
				t.Errorf("%.3f of the worth, %.3f in the worst region; %s %.3f, %.3f",
					best.Worth, best.WorstRegion, other.Policy, other.Worth, other.WorstRegion)
			}
		})
	}
}
