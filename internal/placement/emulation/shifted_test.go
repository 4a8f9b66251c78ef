package emulation

import (
	"testing"

	"masticturn/internal/placement"
)

// If the run time of an uncached object alone exceeds the objective, the default policy must achieve
// more worth than PolicyHashingRegions, overall and in the worst region.
func TestCompletionBeatsHashingRegionsWithLateColdRuns(t *testing.T) {
	for _, w := range ShiftedWorkloads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			w.Length /= 4 // a cold start and targets that leave
			best := Run(w, placement.PolicyCompletion, 1)
			other := Run(w, placement.PolicyHashingRegions, 1)
			if best.Worth < other.Worth+0.05 || best.WorstRegion < other.WorstRegion+0.05 {
				t.Errorf("worth %.3f, in the worst region %.3f; want 0.05 more than %s with %.3f and %.3f",
					best.Worth, best.WorstRegion, other.Policy, other.Worth, other.WorstRegion)
			}
		})
	}
}
