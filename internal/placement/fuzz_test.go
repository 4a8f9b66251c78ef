package placement

import (
	"testing"
	"time"

	"masticturn/internal/mutation"
	"masticturn/internal/peer"
)

// corruptCases is the number of corrupt messages in a run without fuzzing.
const corruptCases = 4000

// reportSeeds returns encoded reports from which corrupt ones are derived.
func reportSeeds(t testing.TB) [][]byte {
	raw, err := peer.Encode(&LoadReport{TTL: time.Second, Services: map[string]*Usage{"svc": {
		Running: map[uint32]int{shortID("ros-0"): 3, shortID("ros-1"): 1}, Objects: map[uint32][]string{shortID("ros-0"): {"a", "b"}},
		Speeds: map[uint32]SpeedSample{shortID("ros-0"): {Runs: 3, Ratio: 900}, shortID("ros-1"): {Runs: 1, Ratio: 80}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{raw}
}

// checkReport applies a report as one of a child and as one of the parent. The set of targets
// must not change, the requests, objects and slowness of a target must stay within bounds, and
// the VM's own requests must still be reported.
func checkReport(t *testing.T, p *Pool, data []byte) {
	var report LoadReport
	if peer.CheckPayload(data) != nil || peer.Decode(data, &report) != nil {
		return
	}
	targets := len(p.sortedTargets)
	for _, u := range report.Services {
		if u != nil {
			p.ApplyUsage(u, report.TTL, start)
		}
	}
	if len(p.targets) != targets || len(p.sortedTargets) != targets {
		t.Errorf("%q changes the number of targets to %d, want %d", data, len(p.targets), targets)
	}
	for _, target := range p.sortedTargets {
		if target.peerRequests < 0 || target.peerRequests > target.maxRequests() || len(target.objects.lastSent) > maxObjects {
			t.Errorf("%q: %s has %d requests and %d objects, out of bounds", data, target.Name, target.peerRequests, len(target.objects.lastSent))
		}
	}
	for _, target := range p.sortedTargets {
		slowness := target.slowness.shared.at(start)
		if !(slowness >= 1/(maxSlowness*maxSlowness) && slowness <= maxSlowness*maxSlowness) || !(target.weight > 0) {
			t.Errorf("%q: %s has slowness %v and weight %v, out of bounds", data, target.Name, slowness, target.weight)
		}
	}
	aggregator := NewAggregator()
	aggregator.SetPosition(TreePosition{Parent: "top", Children: []string{"below"}})
	aggregator.Receive("below", &report, start)
	out := aggregator.Next(func() *LoadReport { return testReport(1) }, start)
	if out.Report.Services["svc"].Running[1] < 1 {
		t.Errorf("%q removes usage of the VM itself", data)
	}
}

func FuzzLoadReport(f *testing.F) {
	for _, seed := range reportSeeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, _ := newTestPool(t, "ros", threeRegions)
		checkReport(t, p, data)
	})
}

func TestCorruptLoadReports(t *testing.T) {
	p, _ := newTestPool(t, "ros", threeRegions)
	mutation.Cases(reportSeeds(t), corruptCases, func(data []byte) { checkReport(t, p, data) })
}
