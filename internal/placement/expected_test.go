package placement

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
)

// expectedPool returns a pool of region r1 with recently used targets in r1 and r2, and the
// given connect time to r2 and run time.
func expectedPool(connect, run time.Duration, now time.Time) *Pool {
	p := NewPool(Options{Region: "r1"})
	doc := &config.Document{
		Regions:  []config.Region{{Name: "r1", Zones: []string{"z1"}}, {Name: "r2", Zones: []string{"z2"}}},
		Services: []config.Service{{Name: "s"}},
	}
	for name, zone := range map[string]string{"near": "z1", "far": "z2", "idle": "z2", "cold": "z2", "ejected": "z2", "leaving": "z2"} {
		doc.Services[0].Targets = append(doc.Services[0].Targets, config.Target{Name: name, Zone: zone, Slots: 4, Leaving: name == "leaving"})
	}
	view := &discovery.View{Snapshot: config.NewLiveSnapshot(1, doc), ColdUntil: map[string]time.Time{"cold": now.Add(time.Second)}}
	p.SetTargets(view.Snapshot.Service("s"), view)
	p.recordRoundTrip("r1", time.Millisecond)
	p.recordRoundTrip("r2", connect)
	p.runTimes.observe(true, 0, run)
	for _, t := range p.sortedTargets {
		t.lastRequest = now
	}
	p.targets["idle"].lastRequest = now.Add(-expectedWindow - time.Millisecond)
	p.targets["ejected"].ejectedUntil = now.Add(time.Second)
	return p
}

func TestExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name      string
		connect   time.Duration
		run       time.Duration
		objective time.Duration // 0: none
		want      bool
	}{
		{"far regions", 110 * time.Millisecond, 228 * time.Millisecond, 400 * time.Millisecond, true},
		{"far regions, no objective", 110 * time.Millisecond, 228 * time.Millisecond, 0, true},
		{"far regions, long runs", 110 * time.Millisecond, 912 * time.Millisecond, 0, false},
		// Connections are not opened ahead for requests whose objective leaves enough time.
		{"far regions, objective with slack", 110 * time.Millisecond, 430 * time.Millisecond, time.Second, false},
		{"objective shorter than a run", 110 * time.Millisecond, 430 * time.Millisecond, 400 * time.Millisecond, true},
		{"near regions", 24 * time.Millisecond, 180 * time.Millisecond, 300 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := expectedPool(tt.connect, tt.run, now)
			rule := &config.Rule{ObjectiveMS: config.Millis(tt.objective.Milliseconds())}
			p.Enqueue(&Request{Key: "object", Rule: rule, Arrived: now, Deadline: now.Add(time.Minute)}, now)
			got := p.PreconnectCandidates(now)
			if tt.want != (len(got) == 1 && got[0].Name == "far") || !tt.want && len(got) > 0 {
				t.Errorf("%d targets are expected to get a request, want only the far one: %v", len(got), tt.want)
			}
		})
	}
}

// A target is expected to get a request after another VM of the region has reported one.
func TestExpectedByLoadReports(t *testing.T) {
	now := time.Unix(1000, 0)
	p := expectedPool(110*time.Millisecond, 228*time.Millisecond, now)
	now = now.Add(2 * expectedWindow)
	if got := p.PreconnectCandidates(now); len(got) > 0 {
		t.Fatalf("%d targets are expected to get a request long after the last one", len(got))
	}
	p.ApplyUsage(&Usage{Running: map[uint32]int{shortID("far"): 1, shortID("near"): 1, shortID("unknown"): 1, shortID("idle"): 0}}, time.Second, now)
	if got := p.PreconnectCandidates(now); len(got) != 1 || got[0].Name != "far" {
		t.Errorf("%d targets are expected to get a request, want the one with a request of another VM", len(got))
	}
}

// The most recently used target is the first.
func TestExpectedMostRecentlyUsedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	p := expectedPool(110*time.Millisecond, 228*time.Millisecond, now.Add(-100*time.Millisecond))
	p.ApplyUsage(&Usage{Running: map[uint32]int{shortID("idle"): 1}}, time.Second, now)
	if got := p.PreconnectCandidates(now); len(got) != 2 || got[0].Name != "idle" || got[1].Name != "far" {
		t.Errorf("%v are expected, want idle and far in this order", got)
	}
}

// Callers choose a VM of the region at random. The more VMs there are, the more recently a target must have got a
// request for this VM to expect one; without that, most connections opened ahead would expire unused.
func TestExpectedInLargeRegions(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		vms  int
		age  time.Duration // of the region's last request to the target
		want bool
	}{{3, 9 * time.Second, true}, {3, 11 * time.Second, false}, {30, 900 * time.Millisecond, true}, {30, 2 * time.Second, false}, {300, 500 * time.Millisecond, false}} {
		p := expectedPool(110*time.Millisecond, 228*time.Millisecond, now)
		fleet := Fleet{Self: "vm-0"}
		for i := range tt.vms {
			fleet.VMs = append(fleet.VMs, VM{fmt.Sprintf("vm-%d", i), "r1"}, VM{fmt.Sprintf("other-%d", i), "r2"})
		}
		p.SetFleet(fleet)
		p.targets["far"].lastRequest = now.Add(-tt.age)
		if got := len(p.PreconnectCandidates(now)) == 1; got != tt.want {
			t.Errorf("%d VMs, last request %v ago: expected %v, want %v", tt.vms, tt.age, got, tt.want)
		}
	}
}
