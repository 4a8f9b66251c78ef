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
	"masticturn/internal/peer/peertest"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// usageOf is the usage of one target.
func usageOf(t *targetState, running int, objects ...string) *Usage {
	u := newUsage()
	u.Running[t.id] = running
	if len(objects) > 0 {
		u.Objects[t.id] = objects
	}
	return u
}

// The region's total counts, less this VM's own share, until the next one or its TTL.
func TestReceivedUsageCounts(t *testing.T) {
	const life = time.Second
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 1}, slots: 3})
	placed := mustChoose(t, p, ask("a"), start)
	p.Acquire(placed, start)
	p.ReportUsage()
	at := placed.target
	steps := []struct {
		after time.Duration
		use   *Usage // nil: no report, the usage may expire
		want  int    // with this VM's
	}{
		{0, usageOf(at, 3), 3},
		{ReportInterval, usageOf(at, 5), 5},
		{2 * ReportInterval, usageOf(at, 1), 1},
		{3 * ReportInterval, usageOf(at, 100), 1 + at.maxRequests()},
		{4 * ReportInterval, usageOf(at, 2), 2},
		{4*ReportInterval + life - 1, nil, 2},
		{4*ReportInterval + life, nil, 1},
	}
	for i, s := range steps {
		now := start.Add(s.after)
		if s.use != nil {
			p.ApplyUsage(s.use, life, now)
		}
		p.expireUsage(now)
		if got := at.busy(now); got != s.want {
			t.Errorf("step %d: %d requests are believed at the target, want %d", i, got, s.want)
		}
	}
}

// The target's report and the region's usage overlap: the larger one counts.
func TestLargerReportCounts(t *testing.T) {
	for _, tt := range []struct{ told, heard, want int }{{0, 0, 0}, {2, 0, 2}, {0, 2, 2}, {2, 3, 3}, {3, 2, 3}} {
		p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 1}, slots: 3})
		at := mustChoose(t, p, ask("a"), start).target
		at.others, at.reported, at.reportTTL = tt.told, start, minReportTTL
		p.ApplyUsage(usageOf(at, tt.heard), time.Second, start)
		if got := at.busy(start); got != tt.want {
			t.Errorf("the target told of %d, the VMs of %d: %d are believed, want %d", tt.told, tt.heard, got, tt.want)
		}
	}
}

// Each new object is reported once, a running request in every report.
func TestNewObjectsReportedOnce(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	at := mustChoose(t, p, ask("a"), start)
	p.Acquire(at, start)
	id := at.target.id
	first := p.ReportUsage()
	if first.Running[id] != 1 || len(first.Objects[id]) != 1 {
		t.Errorf("the first word is %+v, want one request and one object", first)
	}
	if second := p.ReportUsage(); second.Running[id] != 1 || len(second.Objects) != 0 {
		t.Errorf("the second word is %+v, want one request and no object", second)
	}
	finish(p, at, 100*time.Millisecond, start)
	if third := p.ReportUsage(); !third.Empty() {
		t.Errorf("the third word is %+v, want nothing", third)
	}
	other, _ := newTestPool(t, "ros", estiba)
	other.ApplyUsage(first, time.Second, start)
	if again := mustChoose(t, other, ask("a"), start); !again.known {
		t.Error("the other VM does not know that the target knows the object")
	}
	other.Acquire(mustChoose(t, other, ask("a"), start), start)
	if u := other.ReportUsage(); len(u.Objects) != 0 {
		t.Errorf("the other VM tells on what it was told: %+v", u.Objects)
	}
}

// fixedViews is an unchanging catalog.
type fixedViews struct{ view *discovery.View }

func (f fixedViews) View() *discovery.View { return f.view }
func (f fixedViews) SubscribeView(func(*discovery.View)) (cancel func()) {
	return func() {}
}

// fixedMembers is an unchanging member list.
type fixedMembers struct{ view *membership.View }

func (f fixedMembers) View() *membership.View                  { return f.view }
func (f fixedMembers) Subscribe(func(*membership.View)) func() { return func() {} }

// regionOfVMs starts admitters of the VMs of one region over a hub, and one of another region.
func regionOfVMs(t *testing.T, size int) (*peertest.Hub, *config.ServiceIndex, map[string]*Admitter) {
	t.Helper()
	view, svc := site{perRegion: map[string]int{"ros": 40, "bb": 1}, slots: 4}.view(t)
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
			VM: settings.VM{Name: m.Name, Region: m.Region}, Policy: PolicyCompletion, Clock: kernel.SystemClock{},
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

// acquire places requests for different objects at a VM.
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

// receivedUsage sums up the others' requests that a VM received.
func receivedUsage(a *Admitter) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.pools {
		for _, target := range p.order {
			n += target.shared
		}
	}
	return n
}

func TestVMsOfARegionShareUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, svc, vms := regionOfVMs(t, 3)
		permits := acquire(t, vms["vm-000"], svc, 5)
		time.Sleep(4 * ReportInterval)
		synctest.Wait()
		for name, want := range map[string]int{"vm-000": 0, "vm-001": 5, "vm-002": 5, "far": 0} {
			if got := receivedUsage(vms[name]); got != want {
				t.Errorf("%s was told of %d requests, want %d", name, got, want)
			}
		}
		for _, p := range permits {
			p.Release(admission.Result{})
		}
		time.Sleep(4 * ReportInterval)
		synctest.Wait()
		if got := receivedUsage(vms["vm-001"]); got != 0 {
			t.Errorf("%d requests that have ended are believed to run", got)
		}
	})
}

func TestUseOfADeadVMIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub, svc, vms := regionOfVMs(t, 2)
		acquire(t, vms["vm-000"], svc, 5)
		time.Sleep(4 * ReportInterval)
		hub.Cut("vm-000", "vm-001")
		time.Sleep(2 * ttlIntervals * ReportInterval) // of its word, and of the sum with it
		synctest.Wait()
		if got := receivedUsage(vms["vm-001"]); got != 0 {
			t.Errorf("%d requests of a VM that is silent are believed to run", got)
		}
	})
}

// Reports cost nothing when idle, and less than a daemon's control budget at all sizes.
func TestReportRateIsBounded(t *testing.T) {
	const (
		budget  = 14_000 // of control traffic, bytes/s
		framing = 90     // bytes per message: frame, TCP and IP headers
		seconds = 5
	)
	for _, tt := range []struct{ vms, running, most int }{{28, 0, 0}, {28, 12, budget}, {65, 12, budget}, {155, 12, budget}} {
		synctest.Test(t, func(t *testing.T) {
			hub, svc, vms := regionOfVMs(t, tt.vms)
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
			t.Logf("%d VMs with %d requests each: %d bytes/s a VM", tt.vms, tt.running, perVM)
			if perVM > tt.most {
				t.Errorf("%d VMs with %d requests each: %d bytes/s a VM, want %d at most", tt.vms, tt.running, perVM, tt.most)
			}
		})
	}
}
