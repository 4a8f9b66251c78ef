package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// vmNames returns the names of n VMs.
func vmNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%03d", i)
	}
	return names
}

// The positions that all VMs compute form one tree of limited depth.
func TestTreePositionsFormOneTree(t *testing.T) {
	for _, size := range []int{1, 2, 3, 28, 65, 155} {
		names := vmNames(size)
		roots := 0
		for _, name := range names {
			p, ok := TreePositionOf(name, names)
			if !ok {
				t.Fatalf("%d VMs: %s has no position", size, name)
			}
			if p.Parent == "" {
				roots++
			}
			for _, child := range p.Children {
				if childPosition, _ := TreePositionOf(child, names); childPosition.Parent != name {
					t.Errorf("%d VMs: %s is a child of %s, but computes %q as its parent", size, child, name, childPosition.Parent)
				}
			}
			depth := 0
			for ancestor := p; ancestor.Parent != ""; depth++ {
				ancestor, _ = TreePositionOf(ancestor.Parent, names)
			}
			if depth > 7 {
				t.Errorf("%d VMs: depth %d of %s, want 7 at most", size, depth, name)
			}
		}
		if roots != 1 {
			t.Errorf("%d VMs: %d roots, want 1", size, roots)
		}
	}
	if _, ok := TreePositionOf("gone", vmNames(3)); ok {
		t.Error("a VM that is not in the list has a position")
	}
}

// testReport returns the load report of a VM with requests at target 1.
func testReport(running int, objects ...string) *LoadReport {
	u := newUsage()
	u.Running[1] = running
	if len(objects) > 0 {
		u.Objects[1] = objects
	}
	return &LoadReport{Services: map[string]*Usage{"svc": u}, TTL: time.Second}
}

func TestAggregatorMergesChildren(t *testing.T) {
	own := func() *LoadReport { return testReport(1, "a") }
	aggregator := NewAggregator()
	aggregator.SetPosition(TreePosition{Parent: "top", Children: []string{"x", "y"}})
	if !aggregator.Receive("x", testReport(2, "b"), start) || !aggregator.Receive("y", testReport(3), start) {
		t.Error("reports of children are not forwarded")
	}
	if aggregator.Receive("stranger", testReport(50), start) {
		t.Error("the report of a VM that is not a child is accepted")
	}
	out := aggregator.Next(own, start)
	u := out.Report.Services["svc"]
	if len(out.To) != 1 || out.To[0] != "top" || out.Total || u.Running[1] != 6 || len(u.Objects[1]) != 2 {
		t.Errorf("got %+v with usage %+v, want the merged report for the parent", out, u)
	}
	out = aggregator.Next(own, start.Add(time.Second+1))
	if u := out.Report.Services["svc"]; u.Running[1] != 1 || len(u.Objects[1]) != 1 {
		t.Errorf("expired reports are forwarded: %+v", u)
	}
}

// The root sends larger totals less often, and an empty total only once.
func TestRootSendsTotal(t *testing.T) {
	aggregator := NewAggregator()
	aggregator.SetPosition(TreePosition{Children: []string{"x", "y"}})
	large := testReport(1)
	for id := range uint32(1000) {
		large.Services["svc"].Running[id] = 1
	}
	aggregator.Receive("x", large, start)
	out := aggregator.Next(func() *LoadReport { return testReport(1) }, start)
	if !out.Total || len(out.To) != 2 || out.Report.Services["svc"].Running[1] != 2 {
		t.Errorf("got %+v, want the total for both children", out)
	}
	period := out.Report.TTL / reportTTLIntervals
	if sent := float64(out.Report.size()*len(out.To)) / period.Seconds(); sent > 1.01*totalBytesPerSecond {
		t.Errorf("%.0f bytes/s, want %d at most", sent, totalBytesPerSecond)
	}
	none := func() *LoadReport { return &LoadReport{Services: make(map[string]*Usage)} }
	if out := aggregator.Next(none, start.Add(period-1)); out.To != nil {
		t.Error("a total is sent before it is due")
	}
	now := start.Add(time.Minute)
	if out := aggregator.Next(none, now); len(out.To) != 2 || !out.Report.Empty() {
		t.Errorf("the empty total is not sent: %+v", out)
	}
	if out := aggregator.Next(none, now.Add(time.Minute)); out.To != nil {
		t.Errorf("the empty total is sent again: %+v", out)
	}
}

// Usage and new objects reach every VM of a large region within a second.
func TestTotalReachesLargeRegion(t *testing.T) {
	for _, size := range []int{3, 28, 65, 155} {
		synctest.Test(t, func(t *testing.T) {
			_, svc, vms := startVMs(t, size)
			time.Sleep(time.Second)
			for _, a := range vms {
				if a.deps.VM.Region == "ros" {
					acquireObject(t, a, svc, a.deps.VM.Name)
				}
			}
			time.Sleep(time.Second)
			synctest.Wait()
			for name, a := range vms {
				if name == "far" {
					continue
				}
				if got, want := receivedUsage(a), size-1; got < want {
					t.Errorf("%d VMs: %s received a usage of %d requests, want %d", size, name, got, want)
				}
				if got := knownObjects(a); got != size {
					t.Errorf("%d VMs: %s has recorded %d objects at targets, want %d", size, name, got, size)
				}
			}
		})
	}
}

// knownObjects counts the objects that a VM has recorded at targets.
func knownObjects(a *Admitter) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.pools {
		for _, target := range p.sortedTargets {
			n += len(target.objects.lastSent)
		}
	}
	return n
}
