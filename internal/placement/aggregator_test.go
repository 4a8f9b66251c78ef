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

// The positions of all VMs make one tree.
func TestPositionsMakeATree(t *testing.T) {
	for _, size := range []int{1, 2, 3, 28, 65, 155} {
		names := vmNames(size)
		tops := 0
		for _, name := range names {
			p, ok := TreePositionOf(name, names)
			if !ok {
				t.Fatalf("%d VMs: %s has no position", size, name)
			}
			if p.Parent == "" {
				tops++
			}
			for _, below := range p.Children {
				if q, _ := TreePositionOf(below, names); q.Parent != name {
					t.Errorf("%d VMs: %s is below %s, which is below %q by its own view", size, below, name, q.Parent)
				}
			}
			steps := 0
			for at := p; at.Parent != ""; steps++ {
				at, _ = TreePositionOf(at.Parent, names)
			}
			if steps > 7 {
				t.Errorf("%d VMs: %d steps from %s to the top", size, steps, name)
			}
		}
		if tops != 1 {
			t.Errorf("%d VMs: %d are at the top", size, tops)
		}
	}
	if _, ok := TreePositionOf("gone", vmNames(3)); ok {
		t.Error("a VM that is not there has a position")
	}
}

// reportOf is the load report of a VM with requests at target 1.
func reportOf(running int, objects ...string) *LoadReport {
	u := newUsage()
	u.Running[1] = running
	if len(objects) > 0 {
		u.Objects[1] = objects
	}
	return &LoadReport{Services: map[string]*Usage{"svc": u}, TTL: time.Second}
}

func TestAggregatorMergesChildren(t *testing.T) {
	own := func() *LoadReport { return reportOf(1, "a") }
	aggregator := NewAggregator()
	aggregator.SetPosition(TreePosition{Parent: "top", Children: []string{"x", "y"}})
	if !aggregator.Receive("x", reportOf(2, "b"), start) || !aggregator.Receive("y", reportOf(3), start) {
		t.Error("words of VMs below are not told on")
	}
	if aggregator.Receive("stranger", reportOf(50), start) {
		t.Error("a VM that is not below is listened to")
	}
	turn := aggregator.Next(own, start)
	u := turn.Report.Services["svc"]
	if len(turn.To) != 1 || turn.To[0] != "top" || turn.Total || u.Running[1] != 6 || len(u.Objects[1]) != 2 {
		t.Errorf("told %+v, %+v", turn, u)
	}
	turn = aggregator.Next(own, start.Add(time.Second+1))
	if u := turn.Report.Services["svc"]; u.Running[1] != 1 || len(u.Objects[1]) != 1 {
		t.Errorf("words that are too old are told: %+v", u)
	}
}

// The root sends the total, less often the larger it is, and an empty one once.
func TestRootSendsTotal(t *testing.T) {
	aggregator := NewAggregator()
	aggregator.SetPosition(TreePosition{Children: []string{"x", "y"}})
	large := reportOf(1)
	for id := range uint32(1000) {
		large.Services["svc"].Running[id] = 1
	}
	aggregator.Receive("x", large, start)
	turn := aggregator.Next(func() *LoadReport { return reportOf(1) }, start)
	if !turn.Total || len(turn.To) != 2 || turn.Report.Services["svc"].Running[1] != 2 {
		t.Errorf("told %+v", turn)
	}
	period := turn.Report.TTL / ttlIntervals
	if sent := float64(turn.Report.size()*len(turn.To)) / period.Seconds(); sent > 1.01*totalBytesPerSecond {
		t.Errorf("%.0f bytes a second, want %d at most", sent, totalBytesPerSecond)
	}
	none := func() *LoadReport { return &LoadReport{Services: make(map[string]*Usage)} }
	if turn := aggregator.Next(none, start.Add(period-1)); turn.To != nil {
		t.Error("the sum is told too early")
	}
	now := start.Add(time.Minute)
	if turn := aggregator.Next(none, now); len(turn.To) != 2 || !turn.Report.Empty() {
		t.Errorf("that nothing is left is not told: %+v", turn)
	}
	if turn := aggregator.Next(none, now.Add(time.Minute)); turn.To != nil {
		t.Errorf("nothing is told again: %+v", turn)
	}
}

// Usage and new objects reach every VM of a large region within a second.
func TestTotalReachesLargeRegion(t *testing.T) {
	for _, size := range []int{3, 28, 65, 155} {
		synctest.Test(t, func(t *testing.T) {
			_, svc, vms := regionOfVMs(t, size)
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
					t.Errorf("%d VMs: %s was told of %d requests, want %d", size, name, got, want)
				}
				if got := knownTo(a); got != size {
					t.Errorf("%d VMs: %s knows of %d objects at targets, want %d", size, name, got, size)
				}
			}
		})
	}
}

// knownTo counts the objects that a VM records at targets.
func knownTo(a *Admitter) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.pools {
		for _, target := range p.order {
			n += len(target.objects.last)
		}
	}
	return n
}
