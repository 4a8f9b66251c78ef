package placement

import (
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
)

// expectedPool is a pool of region r1 with recently used targets in r1 and r2, and the given
// times to connect and to run.
func expectedPool(opening, run time.Duration, now time.Time) *Pool {
	p := NewPool(Options{Region: "r1"})
	doc := &config.Document{
		Regions:  []config.Region{{Name: "r1", Zones: []string{"z1"}}, {Name: "r2", Zones: []string{"z2"}}},
		Services: []config.Service{{Name: "s"}},
	}
	for name, zone := range map[string]string{"near": "z1", "far": "z2", "rested": "z2", "cold": "z2", "barred": "z2", "leaving": "z2"} {
		doc.Services[0].Targets = append(doc.Services[0].Targets, config.Target{Name: name, Zone: zone, Slots: 4, Leaving: name == "leaving"})
	}
	view := &discovery.View{Snapshot: config.NewLiveSnapshot(1, doc), ColdUntil: map[string]time.Time{"cold": now.Add(time.Second)}}
	p.SetTargets(view.Snapshot.Service("s"), view)
	p.recordRoundTrip("r1", time.Millisecond)
	p.recordRoundTrip("r2", opening)
	p.runs.observe(true, 0, run)
	for _, t := range p.order {
		t.usedAt = now
	}
	p.targets["rested"].usedAt = now.Add(-expectedTTL - time.Millisecond)
	p.targets["barred"].barredUntil = now.Add(time.Second)
	return p
}

func TestExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		opening time.Duration
		run     time.Duration
		aim     time.Duration // objective of the requests; 0: none
		want    bool
	}{
		{"far regions", 110 * time.Millisecond, 228 * time.Millisecond, 400 * time.Millisecond, true},
		{"far regions, no objective", 110 * time.Millisecond, 228 * time.Millisecond, 0, true},
		{"far regions, long runs", 110 * time.Millisecond, 912 * time.Millisecond, 0, false},
		// Connections must not be opened ahead for requests with time to spare.
		{"far regions, an objective that leaves time", 110 * time.Millisecond, 430 * time.Millisecond, time.Second, false},
		{"an objective that runs miss", 110 * time.Millisecond, 430 * time.Millisecond, 400 * time.Millisecond, true},
		{"near regions", 24 * time.Millisecond, 180 * time.Millisecond, 300 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := expectedPool(tt.opening, tt.run, now)
			rule := &config.Rule{ObjectiveMS: config.Millis(tt.aim.Milliseconds())}
			p.Enqueue(&Request{Key: "object", Rule: rule, Arrived: now, Deadline: now.Add(time.Minute)}, now)
			got := p.Expected(now)
			if tt.want != (len(got) == 1 && got[0].Name == "far") || !tt.want && len(got) > 0 {
				t.Errorf("%d targets are expected to get a request, want the far one: %v", len(got), tt.want)
			}
		})
	}
}

// A target is expected to get a request after another VM of the region reported one.
func TestExpectedByLoadReports(t *testing.T) {
	now := time.Unix(1000, 0)
	p := expectedPool(110*time.Millisecond, 228*time.Millisecond, now)
	now = now.Add(2 * expectedTTL)
	if got := p.Expected(now); len(got) > 0 {
		t.Fatalf("%d targets are expected to get a request after a long rest", len(got))
	}
	p.ApplyUsage(&Usage{Running: map[uint32]int{shortID("far"): 1, shortID("near"): 1, shortID("unknown"): 1, shortID("rested"): 0}}, time.Second, now)
	if got := p.Expected(now); len(got) != 1 || got[0].Name != "far" {
		t.Errorf("%d targets are expected to get a request, want the one at which another VM has one", len(got))
	}
}

// The most recently used target comes first.
func TestExpectedInOrderOfUse(t *testing.T) {
	now := time.Unix(1000, 0)
	p := expectedPool(110*time.Millisecond, 228*time.Millisecond, now.Add(-100*time.Millisecond))
	p.ApplyUsage(&Usage{Running: map[uint32]int{shortID("rested"): 1}}, time.Second, now)
	if got := p.Expected(now); len(got) != 2 || got[0].Name != "rested" || got[1].Name != "far" {
		t.Errorf("%v are expected, want rested and far", got)
	}
}
