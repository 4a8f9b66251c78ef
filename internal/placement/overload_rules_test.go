package placement

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/customer"
	"masticturn/internal/discovery"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/outcome"
	"masticturn/internal/overload"
	"masticturn/internal/peer"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// rulesView adds classes, a rule for each class and customers to a layout's view.
func rulesView(t testing.TB, l targetLayout, priorities []int, customers ...customer.Customer) (*discovery.View, *config.ServiceIndex) {
	t.Helper()
	v, _ := l.view(t)
	doc := *v.Snapshot.Document
	doc.Hosts = []config.Host{{Name: "host"}}
	for _, priority := range priorities {
		class := fmt.Sprintf("p%d", priority)
		doc.Classes = append(doc.Classes, config.Class{Name: class, Priority: priority})
		doc.Hosts[0].Rules = append(doc.Hosts[0].Rules, config.Rule{Class: class, Parts: []config.Part{{Service: "svc", Weight: 1}}})
	}
	v.Snapshot = config.NewLiveSnapshot(1, &doc)
	if len(customers) > 0 {
		v.Snapshot.Customers = customer.NewDirectory(customers)
	}
	return v, v.Snapshot.Service("svc")
}

func newRulesPool(t testing.TB, l targetLayout, priorities []int, customers ...customer.Customer) *Pool {
	v, svc := rulesView(t, l, priorities, customers...)
	p := NewPool(testOptions("ros"))
	p.SetTargets(svc, v)
	p.setOverloadScope(overloadScopes(v.Snapshot)["svc"])
	return p
}

// requestOf returns a request without an object.
func requestOf(priority int, customer string) *Request {
	return &Request{Class: fmt.Sprintf("p%d", priority), Priority: priority, Customer: customer, Arrived: start, Deadline: start.Add(2 * time.Second)}
}

// Guards against the part being on where the document does not call for it.
func TestWhereAdmissionByPriorityIsOn(t *testing.T) {
	gold := customer.Customer{Name: "gold", Class: "p0"}
	plain := customer.Customer{Name: "plain"}
	layout := targetLayout{perRegion: map[string]int{"ros": 1}, slots: 4}
	for _, tt := range []struct {
		name       string
		priorities []int
		customers  []customer.Customer
		want       bool
	}{
		{"one priority", []int{1}, nil, false},
		{"a class twice", []int{1, 1}, nil, false},
		{"no rules", nil, nil, false},
		{"two priorities", []int{0, 2}, nil, true},
		{"customers", []int{1}, []customer.Customer{plain}, true},
		{"a customer's class", []int{1}, []customer.Customer{gold}, true},
	} {
		v, svc := rulesView(t, layout, tt.priorities, tt.customers...)
		scope := overloadScopes(v.Snapshot)[svc.Name]
		if scope.on() != tt.want {
			t.Errorf("%s: on %t, want %t: %s", tt.name, scope.on(), tt.want, scope.reason())
		}
	}
}

// Guards against changes for services that don't call for the part: no demand, no refusals by limits that
// a faulty root sends, the same targets for the same requests.
func TestPartOffChangesNothing(t *testing.T) {
	layout := targetLayout{perRegion: map[string]int{"ros": 4, "bb": 2}, slots: 2}
	with, without := newRulesPool(t, layout, []int{1}), newRulesPool(t, layout, nil)
	limits := &overload.Limits{Admit: map[int]float64{1: 0}}
	for i := range 60 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		with.applyLimits(limits, time.Second, now)
		var chosen [2]string
		for j, p := range []*Pool{with, without} {
			w := p.Enqueue(requestOf(1, "somebody"), now)
			p.Serve(now)
			if w.Selected != nil {
				chosen[j] = w.Selected.Target().Name
			}
			if w.Refused != nil {
				chosen[j] = w.Refused.Reason
			}
			if u := p.ReportUsage(); p.Demand(now) != nil || u.Demand != nil || u.Limits != nil {
				t.Fatal("demand is reported")
			}
		}
		if chosen[0] != chosen[1] {
			t.Fatalf("request %d: %q, without rules %q", i, chosen[0], chosen[1])
		}
	}
	if l, load := with.Decide(newUsage(), nil, start); l != nil || load.Capacity != 0 {
		t.Errorf("limits %+v and load %+v of a service without the part", l, load)
	}
}

func TestLowPriorityOnlyGetsFreeSlots(t *testing.T) {
	p := newRulesPool(t, targetLayout{perRegion: map[string]int{"ros": 1}, slots: 2}, []int{0, 2})
	p.applyLimits(&overload.Limits{}, time.Second, start)
	for range 2 {
		p.Acquire(mustChoose(t, p, requestOf(2, ""), start), start)
	}
	if p.Choose(requestOf(2, ""), start) != nil {
		t.Error("a request of low priority is sent to a full target")
	}
	if p.Choose(requestOf(0, ""), start) == nil {
		t.Error("a request of the highest priority does not queue at the target")
	}
	p.applyLimits(nil, time.Second, start)
	if p.Choose(requestOf(2, ""), start) == nil {
		t.Error("a request of low priority is held though the service has room")
	}
}

// Guards against a VM's own low priorities taking the slots that its high ones wait for, before the
// region's limits change.
func TestLowPriorityWaitsBehindHigherOne(t *testing.T) {
	p := newRulesPool(t, targetLayout{perRegion: map[string]int{"ros": 1}, slots: 2}, []int{0, 2})
	for range 4 {
		p.Acquire(mustChoose(t, p, requestOf(0, ""), start), start)
	}
	low, high := p.Enqueue(requestOf(2, ""), start), p.Enqueue(requestOf(0, ""), start)
	p.Serve(start)
	if low.decided() || high.decided() {
		t.Fatal("a full target got a request")
	}
	target := p.sortedTargets[0]
	target.ownRequests = 3
	p.Serve(start)
	if high.Selected == nil || low.decided() {
		t.Errorf("high %+v, low %+v", high, low)
	}
}

func TestReasonsOfGateRefusals(t *testing.T) {
	p := newRulesPool(t, targetLayout{perRegion: map[string]int{"ros": 1}, slots: 2}, []int{0, 2}, customer.Customer{Name: "big"})
	p.applyLimits(&overload.Limits{
		Admit:     map[int]float64{0: 0.5, 2: 0},
		Customers: map[int]map[uint32]float64{0: {shortID("big"): 0}},
	}, time.Second, start)
	for _, tt := range []struct {
		req  *Request
		want string
	}{{requestOf(2, ""), reasonPriority}, {requestOf(0, "big"), reasonFairShare}} {
		w := p.Enqueue(tt.req, start)
		if w.Refused == nil || w.Refused.Reason != tt.want || w.Refused.RetryAfter < minRetryAfter {
			t.Errorf("refusal %+v, want %q", w.Refused, tt.want)
		}
	}
	retried := requestOf(2, "")
	retried.Exclude = []string{"ros-9"}
	if w := p.Enqueue(retried, start); w.Refused != nil {
		t.Errorf("a request that a target has refused is refused by the gate: %+v", w.Refused)
	}
}

// Guards against demand of VMs with another document, or faulty ones, becoming limits.
func TestUnknownDemandIsIgnored(t *testing.T) {
	p := newRulesPool(t, targetLayout{perRegion: map[string]int{"ros": 1}, slots: 2}, []int{0, 2}, customer.Customer{Name: "a"})
	u := newUsage()
	u.Running[12345] = -8
	u.Running[p.sortedTargets[0].id] = -3
	u.Demand = &overload.Demand{
		Priorities: map[int]uint32{-4: 9_000, 0: 9_000, 77: 9_000},
		Customers:  map[int]map[uint32]uint32{0: {shortID("a"): 6_000, 99: 3_000}, 77: {99: 1}},
	}
	l, load := p.Decide(u, nil, start)
	if len(load.Demand) != 1 || len(l.Admit) != 1 || len(l.Customers) != 1 || len(l.Customers[0]) != 1 {
		t.Errorf("limits %+v, load %+v, want priority 0 and customer a only", l, load)
	}
}

// fixedLoads implements RegionLoads. It knows no other regions.
type fixedLoads struct {
	mu        sync.Mutex
	published map[string]overload.RegionLoad
}

func (f *fixedLoads) Publish(loads map[string]overload.RegionLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published = loads
}

func (f *fixedLoads) Others(string) map[string]overload.RegionLoad { return nil }

// capacity returns the published capacity of a service.
func (f *fixedLoads) capacity(service string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.published[service].Capacity
}

// logBuffer is a log that several VMs write.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// ruleFleet is a fleet of VMs of one region, with targets of two slots, whose logs go to a buffer.
type ruleFleet struct {
	hub   *peertest.Hub
	svc   *config.ServiceIndex
	vms   []*Admitter
	sets  []*metrics.Set
	log   logBuffer
	loads fixedLoads
}

func startRuleFleet(t *testing.T, size, targets int, priorities []int, customers ...customer.Customer) *ruleFleet {
	f := &ruleFleet{hub: peertest.NewHub(1)}
	var view *discovery.View
	view, f.svc = rulesView(t, targetLayout{perRegion: map[string]int{"ros": targets}, slots: 2}, priorities, customers...)
	members := &membership.View{}
	for i := range size {
		members.Members = append(members.Members, membership.Member{Name: fmt.Sprintf("vm-%03d", i), Region: "ros", State: membership.Alive})
	}
	for _, m := range members.Members {
		network := f.hub.Network(m.Name)
		for _, other := range members.Members {
			network.SetAddress(other.Name, peertest.Address(other.Name))
		}
		set := metrics.NewSet()
		a := NewAdmitter(Deps{
			Views: fixedViews{view}, Members: fixedMembers{members}, Network: network, Settled: func() bool { return true },
			VM: settings.VM{Name: m.Name, Region: m.Region}, Clock: kernel.SystemClock{}, RegionLoads: &f.loads, Overload: allOverloadControl,
			Logger: telemetry.NewLogger(&f.log, telemetry.FormatText, logrus.InfoLevel, m.Name), Metrics: set,
		})
		if err := a.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = a.Stop(context.Background()) })
		f.vms, f.sets = append(f.vms, a), append(f.sets, set)
	}
	return f
}

// isRoot reports whether a VM is the root of the tree.
func (f *ruleFleet) isRoot(a *Admitter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aggregator.position.Parent == ""
}

// send sends requests of a priority at a rate for a time to a VM, of one customer after the other; each
// runs for 200 ms. It returns the reasons of refusals with their numbers.
func (f *ruleFleet) send(vm *Admitter, priority, perSecond int, length time.Duration, customers ...customer.Customer) map[string]int {
	var mu sync.Mutex
	reasons := make(map[string]int)
	gap := time.Second / time.Duration(perSecond)
	for i := range int(length / gap) {
		go func() {
			req := &admission.Request{
				Service: f.svc, Class: &config.Class{Name: fmt.Sprintf("p%d", priority), Priority: priority},
				Arrived: time.Now(), Deadline: time.Now().Add(time.Second),
			}
			if len(customers) > 0 {
				req.Customer = customers[i%len(customers)].Name
			}
			p, err := vm.Acquire(context.Background(), req)
			var refused *outcome.Error
			if errors.As(err, &refused) {
				mu.Lock()
				defer mu.Unlock()
				reasons[refused.Reason]++
				return
			}
			time.Sleep(200 * time.Millisecond)
			p.Release(admission.Result{Outcome: outcome.Answered, Status: 200, Latency: 200 * time.Millisecond})
		}()
		time.Sleep(gap)
	}
	time.Sleep(2 * time.Second) // the last ones end
	mu.Lock()
	defer mu.Unlock()
	return reasons
}

// The root's limits must reach the VMs, be counted, logged and shown, and end with the load. A region's
// only VM decides for itself.
func TestLimitsReachTheVMs(t *testing.T) {
	for _, size := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			f := startRuleFleet(t, size, 2, []int{0, 2})
			vm := f.vms[size-1]
			var reasons map[string]int
			go func() { reasons = f.send(vm, 2, 80, 4*time.Second) }() // 16 slots are asked for, there are 4
			time.Sleep(3900 * time.Millisecond)
			if f.loads.capacity("svc") <= 0 {
				t.Errorf("%d VMs: published capacity %v", size, f.loads.capacity("svc"))
			}
			if fraction := vm.admittedFraction("svc", 2); fraction > 0.6 {
				t.Errorf("%d VMs: a fraction of %.2f is admitted", size, fraction)
			}
			var shown bytes.Buffer
			f.sets[size-1].WritePrometheus(&shown)
			for _, want := range []string{`masticturn_admitted_fraction{service="svc",priority="2"} 0.`, `masticturn_customers_above_share{service="svc"} 0`} {
				if !strings.Contains(shown.String(), want) {
					t.Errorf("%d VMs: %s is missing from the metrics:\n%s", size, want, &shown)
				}
			}
			time.Sleep(limitHold + 5*time.Second)
			synctest.Wait()
			if reasons[reasonPriority] < 100 {
				t.Errorf("%d VMs: refusals %v, want most of 320 by the gate", size, reasons)
			}
			if fraction := vm.admittedFraction("svc", 2); fraction != 1 {
				t.Errorf("%d VMs: a fraction of %.2f is admitted after the load", size, fraction)
			}
			for _, event := range []*telemetry.Event{eventOverloadSwitched, eventFractionLimited, eventFractionRestored} {
				if !strings.Contains(f.log.String(), event.Name) {
					t.Errorf("%d VMs: event %q is missing from the log", size, event.Name)
				}
			}
		})
	}
}

// Guards against limits that outlive the connection to the VM that set them.
func TestLimitsOfLostParentExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startRuleFleet(t, 2, 2, []int{0, 2})
		root, child := f.vms[0], f.vms[1]
		if !f.isRoot(root) {
			root, child = child, root
		}
		go f.send(child, 2, 80, 6*time.Second)
		time.Sleep(3 * time.Second)
		if child.admittedFraction("svc", 2) == 1 {
			t.Error("the VM has no limits")
		}
		f.hub.Partition("vm-000", "vm-001")
		time.Sleep(limitsTTL + ReportInterval)
		if fraction := child.admittedFraction("svc", 2); fraction != 1 {
			t.Errorf("a fraction of %.2f is admitted by limits of a lost root", fraction)
		}
		time.Sleep(time.Second)
		root.mu.Lock()
		if l, _ := root.pools["svc"].Decide(newUsage(), nil, time.Now()); l != nil && len(l.Admit) > 0 {
			t.Errorf("limits %+v for the demand of a lost VM", l)
		}
		root.mu.Unlock()
		time.Sleep(5 * time.Second) // the last requests end
	})
}

// Guards against an older build, which has neither demand nor limits, upsetting the sums or being upset.
func TestOlderBuildsReport(t *testing.T) {
	root := NewAggregator()
	root.SetPosition(TreePosition{Children: []string{"old", "new"}})
	old := &LoadReport{Services: map[string]*Usage{"svc": {Running: map[uint32]int{1: 2}}}, TTL: time.Second}
	demand := &overload.Demand{Priorities: map[int]uint32{2: 700}}
	newer := &LoadReport{Services: map[string]*Usage{"svc": {Running: map[uint32]int{1: 1}, Demand: demand}}, TTL: time.Second}
	root.Receive("old", old, start)
	root.Receive("new", newer, start)
	var seen *Usage
	root.decide = func(total *LoadReport, _ time.Time) { seen = total.Services["svc"] }
	root.Next(func() *LoadReport { return &LoadReport{Services: map[string]*Usage{}} }, start)
	if seen.Running[1] != 3 || seen.Demand.Priorities[2] != 700 {
		t.Errorf("total %+v with demand %+v", seen, seen.Demand)
	}
	if demand.Priorities[2] != 700 || newer.Services["svc"].Demand != demand {
		t.Error("the child's report was changed")
	}
	root.decide = nil
	expired := root.Next(func() *LoadReport { return &LoadReport{Services: map[string]*Usage{}} }, start.Add(2*time.Second))
	if len(expired.Report.Services) != 0 {
		t.Errorf("total %+v of reports that have expired", expired.Report.Services["svc"])
	}
}

// Guards against the approximate sizes, by which totals are sent less often, being too small.
func TestSizesOfDemandAndLimits(t *testing.T) {
	u := newUsage()
	u.Demand = &overload.Demand{Priorities: map[int]uint32{}, Customers: map[int]map[uint32]uint32{}}
	u.Limits = &overload.Limits{Admit: map[int]float64{}, Customers: map[int]map[uint32]float64{}}
	for priority := range 3 {
		u.Demand.Priorities[priority] = 70_000
		u.Limits.Admit[priority] = 0.3
		u.Demand.Customers[priority], u.Limits.Customers[priority] = map[uint32]uint32{}, map[uint32]float64{}
		for c := range 86 {
			id := shortID(fmt.Sprint(c))
			u.Demand.Customers[priority][id], u.Limits.Customers[priority][id] = 70_000, 0.3
		}
	}
	encoded, err := peer.Encode(&LoadReport{Services: map[string]*Usage{"svc": u}})
	if err != nil {
		t.Fatal(err)
	}
	if size := u.Demand.Size() + u.Limits.Size(); size < len(encoded)*9/10 || size > len(encoded)*5/4 {
		t.Errorf("size %d, %d bytes encoded", size, len(encoded))
	}
}

// Guards against demand and limits that take more than a VM's budget for control traffic, where many
// customers compete in each region of the deployments' sizes.
func TestReportRateUnderLoad(t *testing.T) {
	const (
		budget  = 14_000 // of control traffic, bytes/s
		framing = 90     // bytes per message: frame, TCP and IP headers
		seconds = 3
	)
	var customers []customer.Customer
	for i := range 86 {
		customers = append(customers, customer.Customer{Name: fmt.Sprintf("customer-%d", i)})
	}
	for _, tt := range []struct{ vms, targets int }{{12, 6}, {48, 131}, {155, 400}} {
		synctest.Test(t, func(t *testing.T) {
			f := startRuleFleet(t, tt.vms, tt.targets, []int{0, 2}, customers...)
			slots := 2 * tt.targets
			perVM := max(slots*5*3/2/2/tt.vms, 1) // 1.5 times the capacity, of two priorities, in runs of 200 ms
			for i, vm := range f.vms {
				go f.send(vm, 0, perVM, (2+seconds)*time.Second, customers[i%86:]...)
				go f.send(vm, 2, perVM, (2+seconds)*time.Second, customers[i%86:]...)
			}
			time.Sleep(2 * time.Second)
			before := f.hub.Stats()
			time.Sleep(seconds * time.Second)
			after := f.hub.Stats()
			bytes := (after.Bytes - before.Bytes + framing*(after.Messages-before.Messages)) / tt.vms / seconds
			t.Logf("%d VMs, %d targets, %d requests/s of each priority per VM: %d bytes/s per VM", tt.vms, tt.targets, perVM, bytes)
			if bytes > budget {
				t.Errorf("%d VMs, %d targets: %d bytes/s per VM, want %d at most", tt.vms, tt.targets, bytes, budget)
			}
			time.Sleep(5 * time.Second)
		})
	}
}
