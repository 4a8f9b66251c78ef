package placement

import (
	"fmt"
	"testing"
)

// A new list of the same targets must not be paid with memory for each of them, as views come about once a second
// while targets register.
func TestListOfKnownTargetsAllocatesNothing(t *testing.T) {
	for _, targets := range []int{100, 2000} {
		v, svc := targetLayout{perRegion: map[string]int{"ros": targets}, slots: 4}.view(t)
		p := NewPool(testOptions("ros"))
		p.SetTargets(svc, v)
		if allocs := testing.AllocsPerRun(10, func() { p.SetTargets(svc, v) }); allocs > 5 {
			t.Errorf("%.0f allocations for %d targets", allocs, targets)
		}
	}
}

// A target that leaves the list and returns starts anew, and no trace of it is left meanwhile.
func TestUnlistedTargetsAreDropped(t *testing.T) {
	v, svc := targetLayout{perRegion: map[string]int{"ros": 5}, slots: 4}.view(t)
	_, fewer := targetLayout{perRegion: map[string]int{"ros": 4}, slots: 4}.view(t)
	p := NewPool(testOptions("ros"))
	p.SetTargets(svc, v)
	before := p.targets["ros-4"]
	p.inPeerUse[before] = true
	p.SetTargets(fewer, v)
	if len(p.targets) != 4 || len(p.byID) != 4 || len(p.sortedTargets) != 4 || len(p.inPeerUse) != 0 || len(p.notices) != 4 {
		t.Errorf("%d targets, %d by id, %d sorted, %d in use by peers, %d notices; want 4, 4, 4, 0, 4",
			len(p.targets), len(p.byID), len(p.sortedTargets), len(p.inPeerUse), len(p.notices))
	}
	p.SetTargets(svc, v)
	if after := p.targets["ros-4"]; after == nil || after == before || p.byID[after.id] != after {
		t.Error("the target that has returned was not started anew")
	}
}

// BenchmarkSetTargets measures what a VM does with a new list of the same targets.
func BenchmarkSetTargets(b *testing.B) {
	for _, targets := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			v, svc := targetLayout{perRegion: map[string]int{"ros": targets / 2, "bb": targets / 2}, slots: 4}.view(b)
			p := NewPool(testOptions("ros"))
			p.SetTargets(svc, v)
			b.ReportAllocs()
			for b.Loop() {
				p.SetTargets(svc, v)
			}
		})
	}
}
