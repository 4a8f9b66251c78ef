package placement

import (
	"testing"
	"time"

	"masticturn/internal/mutation"
	"masticturn/internal/peer"
)

// corruptCases is the number of corrupt messages in an ordinary run.
const corruptCases = 4000

func reportSeeds(t testing.TB) [][]byte {
	raw, err := peer.Encode(&LoadReport{TTL: time.Second, Services: map[string]*Usage{"svc": {
		Running: map[uint32]int{shortID("ros-0"): 3, shortID("ros-1"): 1}, Objects: map[uint32][]string{shortID("ros-0"): {"a", "b"}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{raw}
}

// checkReport applies a message from a child and from the parent. The load at a target must
// stay between this VM's own requests and the bound.
func checkReport(t *testing.T, p *Pool, data []byte) {
	var w LoadReport
	if peer.CheckPayload(data) != nil || peer.Decode(data, &w) != nil {
		return
	}
	targets := len(p.order)
	for _, u := range w.Services {
		if u != nil {
			p.ApplyUsage(u, w.TTL, start)
		}
	}
	if len(p.targets) != targets || len(p.order) != targets {
		t.Errorf("%q makes %d targets of %d", data, len(p.targets), targets)
	}
	for _, target := range p.order {
		if target.shared < 0 || target.shared > target.maxRequests() || len(target.objects.last) > maxObjects {
			t.Errorf("%q: %s has %d requests and %d objects", data, target.Name, target.shared, len(target.objects.last))
		}
	}
	aggregator := NewAggregator()
	aggregator.SetPosition(TreePosition{Parent: "top", Children: []string{"below"}})
	aggregator.Receive("below", &w, start)
	turn := aggregator.Next(func() *LoadReport { return reportOf(1) }, start)
	if turn.Report.Services["svc"].Running[1] < 1 {
		t.Errorf("%q takes away what the VM itself has", data)
	}
}

func FuzzLoadReport(f *testing.F) {
	for _, seed := range reportSeeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, _ := newTestPool(t, "ros", estiba)
		checkReport(t, p, data)
	})
}

func TestCorruptLoadReports(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	mutation.Cases(reportSeeds(t), corruptCases, func(data []byte) { checkReport(t, p, data) })
}
