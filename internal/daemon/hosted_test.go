package daemon

import (
	"testing"

	"masticturn/internal/membership"
	"masticturn/internal/settings"
)

// What all VMs may save up together stays within the slack, in fleets of every
// size that have a slack of at least twice their VMs.
func TestSharesAddUp(t *testing.T) {
	for vms, slack := range map[int]float64{1: 60, 10: 60, 30: 90, 87: 214} {
		view := &membership.View{Members: make([]membership.Member, vms)}
		fleet, retry := sharesOf(view, settings.Bounds{RetryRatio: 0.2, RetrySlack: slack})
		if sum := retry.BudgetBurst * float64(vms); sum > slack {
			t.Errorf("%d VMs save up %.0f retries, the slack is %.0f", vms, sum, slack)
		}
		if retry.BudgetFraction >= 0.2 || retry.BudgetBurst < 1 {
			t.Errorf("%d VMs: %+v", vms, retry)
		}
		if fleet.MaxVMs < vms {
			t.Errorf("%d VMs share targets' connections as if they were %d", vms, fleet.MaxVMs)
		}
	}
}
