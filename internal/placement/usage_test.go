package placement

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/outcome"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// usageOf returns a usage of one target.
func usageOf(t *targetState, running int, objects ...string) *Usage {
	u := newUsage()
	u.Running[t.id] = running
	if len(objects) > 0 {
		u.Objects[t.id] = objects
	}
	return u
}

// The region's total, less this VM's own requests, counts until the next total or its TTL.
func TestReceivedUsageCounts(t *testing.T) {
	const ttl = time.Second
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: 3})
	sel := mustChoose(t, p, newRequest("a"), start)
	p.Acquire(sel, start)
	p.ReportUsage()
	target := sel.target
	steps := []struct {
		after time.Duration
		total *Usage // nil: no total is received
		want  int    // load, including this VM's request
	}{
		{0, usageOf(target, 3), 3},
		{ReportInterval, usageOf(target, 5), 5},
		{2 * ReportInterval, usageOf(target, 1), 1},
		{3 * ReportInterval, usageOf(target, 100), 1 + target.maxRequests()},
		{4 * ReportInterval, usageOf(target, 2), 2},
		{4*ReportInterval + ttl - 1, nil, 2},
		{4*ReportInterval + ttl, nil, 1},
	}
	for i, s := range steps {
		now := start.Add(s.after)
		if s.total != nil {
			p.ApplyUsage(s.total, ttl, now)
		}
		p.expireUsage(now)
		if got := target.load(now); got != s.want {
			t.Errorf("step %d: the load is %d, want %d", i, got, s.want)
		}
	}
}

// The target's load report and the region's usage count the same requests: the larger number
// is used.
func TestLargerLoadEstimateCounts(t *testing.T) {
	for _, tt := range []struct{ reported, received, want int }{{0, 0, 0}, {2, 0, 2}, {0, 2, 2}, {2, 3, 3}, {3, 2, 3}} {
		p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: 3})
		target := mustChoose(t, p, newRequest("a"), start).target
		target.reportedRequests, target.reportedAt, target.reportTTL = tt.reported, start, minReportTTL
		p.ApplyUsage(usageOf(target, tt.received), time.Second, start)
		if got := target.load(start); got != tt.want {
			t.Errorf("reported by the target %d, by VMs %d: the load is %d, want %d", tt.reported, tt.received, got, tt.want)
		}
	}
}

// A new object is reported once, a running request in every report.
func TestNewObjectsReportedOnce(t *testing.T) {
	p, _ := newTestPool(t, "ros", threeRegions)
	sel := mustChoose(t, p, newRequest("a"), start)
	p.Acquire(sel, start)
	id := sel.target.id
	first := p.ReportUsage()
	if first.Running[id] != 1 || len(first.Objects[id]) != 1 {
		t.Errorf("the first report is %+v, want one request and one object", first)
	}
	if second := p.ReportUsage(); second.Running[id] != 1 || len(second.Objects) != 0 {
		t.Errorf("the second report is %+v, want one request and no object", second)
	}
	complete(p, sel, 100*time.Millisecond, start)
	if third := p.ReportUsage(); !third.Empty() {
		t.Errorf("the third report is %+v, want an empty one", third)
	}
	otherVM, _ := newTestPool(t, "ros", threeRegions)
	otherVM.ApplyUsage(first, time.Second, start)
	if again := mustChoose(t, otherVM, newRequest("a"), start); !again.known {
		t.Error("the object is not known to the other VM")
	}
	otherVM.Acquire(mustChoose(t, otherVM, newRequest("a"), start), start)
	if u := otherVM.ReportUsage(); len(u.Objects) != 0 {
		t.Errorf("the other VM reports an object that it received: %+v", u.Objects)
	}
}

// fixedViews implements ViewSource with a view that does not change.
type fixedViews struct{ view *discovery.View }

func (f fixedViews) View() *discovery.View { return f.view }
func (f fixedViews) SubscribeView(func(*discovery.View)) (cancel func()) {
	return func() {}
}

// fixedMembers implements membership.Source with a member list that does not change.
type fixedMembers struct{ view *membership.View }

func (f fixedMembers) View() *membership.View                  { return f.view }
func (f fixedMembers) Subscribe(func(*membership.View)) func() { return func() {} }

// startVMs starts the admitters of size VMs of one region and of one VM, far, of another. They
// are connected by a hub.
func startVMs(t *testing.T, size int) (*peertest.Hub, *config.ServiceIndex, map[string]*Admitter) {
	t.Helper()
	view, svc := targetLayout{perRegion: map[string]int{"ros": 40, "bb": 1}, slots: 4}.view(t)
	hub := peertest.NewHub(1)
	members := &membership.View{Members: []membership.Member{{Name: "far", Region: "bb", State: membership.Alive}}}
	for i := range size {
		members.Members = append(members.Members, membership.Member{Name: fmt.Sprintf("vm-%03d", i), Region: "ros", State: membership.Alive})
	}
	vms := make(map[string]*Admitter)
	for _, m := range members.Members {
		network := hub.Network(m.Name)
		for _, other := range members.Members {
			network.SetAddress(other.Name, peertest.Address(other.Name))
		}
		a := NewAdmitter(Deps{
			Views: fixedViews{view}, Members: fixedMembers{members}, Network: network, Settled: func() bool { return true },
			VM: settings.VM{Name: m.Name, Region: m.Region}, Policy: PolicyCompletion, Clock: kernel.SystemClock{}, Overload: allOverloadControl,
			Logger: telemetry.Discard(), Metrics: metrics.NewSet(),
		})
		if err := a.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = a.Stop(context.Background()) })
		vms[m.Name] = a
	}
	return hub, svc, vms
}

// acquire places n requests for different objects at a VM.
func acquire(t *testing.T, a *Admitter, svc *config.ServiceIndex, n int) []admission.Permit {
	t.Helper()
	var permits []admission.Permit
	for i := range n {
		permits = append(permits, acquireObject(t, a, svc, fmt.Sprintf("object-%d", i)))
	}
	return permits
}

// acquireObject places a request for an object at a VM.
func acquireObject(t *testing.T, a *Admitter, svc *config.ServiceIndex, object string) admission.Permit {
	t.Helper()
	p, err := a.Acquire(t.Context(), &admission.Request{
		Service: svc, Class: &config.Class{}, ObjectKey: object,
		Arrived: time.Now(), Deadline: time.Now().Add(time.Second),
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// receivedUsage returns the number of other VMs' requests that a VM knows by load reports.
func receivedUsage(a *Admitter) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.pools {
		for _, target := range p.sortedTargets {
			n += target.peerRequests
		}
	}
	return n
}

func TestVMsOfRegionShareUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, svc, vms := startVMs(t, 3)
		permits := acquire(t, vms["vm-000"], svc, 5)
		time.Sleep(4 * ReportInterval)
		synctest.Wait()
		for name, want := range map[string]int{"vm-000": 0, "vm-001": 5, "vm-002": 5, "far": 0} {
			if got := receivedUsage(vms[name]); got != want {
				t.Errorf("%s received a usage of %d requests, want %d", name, got, want)
			}
		}
		for _, p := range permits {
			p.Release(admission.Result{})
		}
		time.Sleep(4 * ReportInterval)
		synctest.Wait()
		if got := receivedUsage(vms["vm-001"]); got != 0 {
			t.Errorf("%d requests that have ended still count", got)
		}
	})
}

func TestUsageOfDisconnectedVMExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub, svc, vms := startVMs(t, 2)
		acquire(t, vms["vm-000"], svc, 5)
		time.Sleep(4 * ReportInterval)
		hub.Partition("vm-000", "vm-001")
		time.Sleep(2 * reportTTLIntervals * ReportInterval) // TTL of its report, and of the total that includes it
		synctest.Wait()
		if got := receivedUsage(vms["vm-001"]); got != 0 {
			t.Errorf("%d requests of a disconnected VM still count", got)
		}
	})
}

// With the samples of many runs, reports must take less than a VM's budget for control traffic, too.
func TestReportRateWithRunsIsBounded(t *testing.T) {
	const (
		budget  = 14_000 // of control traffic, bytes/s
		framing = 90     // bytes per message: frame, TCP and IP headers
		rounds  = 40
		run     = 100 * time.Millisecond
	)
	for _, vmCount := range []int{28, 65} {
		synctest.Test(t, func(t *testing.T) {
			hub, svc, vms := startVMs(t, vmCount)
			var before peertest.Stats
			for round := range rounds {
				var permits []admission.Permit
				for name, a := range vms {
					if name != "far" {
						permits = append(permits, acquireObject(t, a, svc, ""))
					}
				}
				time.Sleep(run)
				for _, p := range permits {
					p.Release(admission.Result{Outcome: outcome.Answered, Latency: run})
				}
				if round == rounds/2 {
					before = hub.Stats()
				}
			}
			after := hub.Stats()
			bytes := after.Bytes - before.Bytes + framing*(after.Messages-before.Messages)
			seconds := ((rounds - rounds/2 - 1) * run).Seconds()
			perVM := float64(bytes) / float64(vmCount) / seconds
			t.Logf("%d VMs with %.0f runs/s each: %.0f bytes/s per VM", vmCount, 1/run.Seconds(), perVM)
			if perVM > budget {
				t.Errorf("%d VMs: %.0f bytes/s per VM, want %d at most", vmCount, perVM, budget)
			}
			known := 0
			for _, a := range vms {
				a.mu.Lock()
				if a.pools["svc"].speeds.known {
					known++
				}
				a.mu.Unlock()
			}
			if known < vmCount {
				t.Errorf("%d of %d VMs have received samples", known, vmCount)
			}
		})
	}
}

// Idle VMs send no reports. At all sizes of a region, reports take less than a VM's budget for
// control traffic.
func TestReportRateIsBounded(t *testing.T) {
	const (
		budget  = 14_000 // of control traffic, bytes/s
		framing = 90     // bytes per message: frame, TCP and IP headers
		seconds = 5
	)
	for _, tt := range []struct{ vms, running, most int }{{28, 0, 0}, {28, 12, budget}, {65, 12, budget}, {155, 12, budget}} {
		synctest.Test(t, func(t *testing.T) {
			hub, svc, vms := startVMs(t, tt.vms)
			for name, a := range vms {
				if name != "far" {
					acquire(t, a, svc, tt.running)
				}
			}
			time.Sleep(2 * ReportInterval) // new objects are reported
			before := hub.Stats()
			time.Sleep(seconds * time.Second)
			after := hub.Stats()
			bytes := after.Bytes - before.Bytes + framing*(after.Messages-before.Messages)
			perVM := bytes / tt.vms / seconds
			t.Logf("%d VMs with %d requests each: %d bytes/s per VM", tt.vms, tt.running, perVM)
			if perVM > tt.most {
				t.Errorf("%d VMs with %d requests each: %d bytes/s per VM, want %d at most", tt.vms, tt.running, perVM, tt.most)
			}
		})
	}
}
