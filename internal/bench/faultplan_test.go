package bench

import (
	"reflect"
	"testing"
	"time"
)

func TestPlanFollowsItsSeedAndHasEachKind(t *testing.T) {
	const load = 28 * time.Second
	plan := planFaults(1, load, FaultKinds())
	if !reflect.DeepEqual(plan, planFaults(1, load, FaultKinds())) {
		t.Error("the same seed gave another plan")
	}
	if reflect.DeepEqual(plan, planFaults(2, load, FaultKinds())) {
		t.Error("another seed gave the same plan")
	}
	kinds := make(map[FaultKind]int)
	pairs := 0
	for i, f := range plan {
		kinds[f.kind]++
		if i > 0 && plan[i-1].at == f.at {
			pairs++
		}
		if f.at+f.lasts > load {
			t.Errorf("%s at %v lasts beyond the load", f.kind, f.at)
		}
	}
	if len(kinds) != len(faultKinds) || pairs == 0 || pairs == len(plan)/2 {
		t.Errorf("%d of %d kinds, %d pairs in %d faults", len(kinds), len(faultKinds), pairs, len(plan))
	}
}
