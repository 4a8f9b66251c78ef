package admission

import (
	"testing"
	"time"

	"masticturn/internal/measure"
	"masticturn/internal/steering"
)

// TestSlowStartNeedsWarmTargets checks that a cold target is started slowly
// next to warm ones, and that a pool whose targets are all cold, as at a start
// of everything, uses its slots.
func TestSlowStartNeedsWarmTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	snap := mustSnapshot(1, testDocument("p2c", 4))
	svc := snap.Services()[0]
	targets := svc.TargetsByRegion["east"]
	for cold := range len(targets) + 1 {
		c := newCore(snap, svc, poolConfig(snap, svc, "east", "", steering.PolicyBroker), now)
		view := &measure.View{Version: 1, Targets: make(map[string]measure.TargetState)}
		for i, tgt := range targets {
			s := measure.TargetState{Target: tgt.Name, Health: measure.Healthy, InFlight: 0, MeasuredAt: now}
			if i < cold {
				s.Health, s.ColdSince = measure.Cold, now
			}
			view.Targets[tgt.Name] = s
		}
		c.tick(view, now)
		usable := 0
		c.pool.EachTarget(func(t *steering.Target) { usable += t.Limit() })
		want := 2 * len(targets)
		if 2*cold < len(targets) {
			want -= cold // one of their two slots
		}
		if usable != want {
			t.Errorf("%d of %d targets cold: %d slots usable, want %d", cold, len(targets), usable, want)
		}
	}
}
