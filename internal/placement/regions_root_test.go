package placement

import (
	"context"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/overload"
	"masticturn/internal/peer"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// changingLoads implements RegionLoads with loads that tests replace.
type changingLoads struct {
	mu        sync.Mutex
	others    map[string]overload.RegionLoad
	published overload.RegionLoad
	count     int
}

func (f *changingLoads) Publish(loads map[string]overload.RegionLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published = loads["svc"]
	f.count++
}

func (f *changingLoads) Others(string) map[string]overload.RegionLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.others
}

// set replaces the loads of the other regions.
func (f *changingLoads) set(others map[string]overload.RegionLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others = others
}

// changingMembers implements membership.Source with a member list that tests replace.
type changingMembers struct {
	view *membership.View
	f    func(*membership.View)
}

func (c *changingMembers) View() *membership.View { return c.view }

func (c *changingMembers) Subscribe(f func(*membership.View)) func() {
	c.f = f
	return func() {}
}

// regionVM is a VM of region a.
type regionVM struct {
	*Admitter
	members *changingMembers
	loads   *changingLoads
	metrics *metrics.Set
}

// regionFleet is the VMs of region a, which has a quarter of the targets.
type regionFleet struct {
	hub *peertest.Hub
	vms map[string]*regionVM
}

var freeRegions = map[string]overload.RegionLoad{"b": loadOf(48, 5), "c": loadOf(24, 5)}

// startRegion starts the VMs with the given names. The region's demand is set by run.
func startRegion(t *testing.T, names ...string) *regionFleet {
	t.Helper()
	f := &regionFleet{hub: peertest.NewHub(1), vms: make(map[string]*regionVM)}
	view, _ := unevenRegions.view(t)
	for _, name := range names {
		network := f.hub.Network(name)
		for _, other := range names {
			network.SetAddress(other, peertest.Address(other))
		}
		vm := &regionVM{
			members: &changingMembers{view: memberView(names...)}, loads: &changingLoads{others: freeRegions}, metrics: metrics.NewSet(),
		}
		vm.Admitter = NewAdmitter(Deps{
			Views: fixedViews{view}, Members: vm.members, Network: network, Settled: func() bool { return true },
			VM: settings.VM{Name: name, Region: "a"}, Policy: PolicyCompletion, Clock: kernel.SystemClock{},
			Logger: telemetry.Discard(), Metrics: vm.metrics, RegionLoads: vm.loads, Overload: allOverloadControl,
		})
		if err := vm.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = vm.Stop(context.Background()) })
		f.vms[name] = vm
	}
	return f
}

func memberView(names ...string) *membership.View {
	v := &membership.View{}
	for _, name := range names {
		v.Members = append(v.Members, membership.Member{Name: name, Region: "a", State: membership.Alive})
	}
	return v
}

// setMembers replaces the member lists of the named VMs by one of just them.
func (f *regionFleet) setMembers(names ...string) {
	for _, name := range names {
		vm := f.vms[name]
		vm.members.view = memberView(names...)
		vm.members.f(vm.members.view)
	}
}

// run lets time pass in which the callers of each VM ask for some slots. Rates do not decay between two steps.
func (f *regionFleet) run(length time.Duration, slots float64) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(ReportInterval) {
		for _, vm := range f.vms {
			vm.mu.Lock()
			vm.pools["svc"].demandMeter = demandMeter{
				meanRun: movingAverage(time.Second), rates: map[int]*arrivalRate{0: {perSecond: slots, at: time.Now().Add(time.Hour)}},
			}
			vm.mu.Unlock()
		}
	}
	synctest.Wait()
}

// wanted returns the split that a VM has received, and its spare slots in b.
func (vm *regionVM) wanted() (map[string]float64, float64) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	p := vm.pools["svc"]
	return p.split.wanted, p.spare.slots["b"]
}

func (vm *regionVM) shares() map[string]float64 {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.pools["svc"].shares()
}

// Guards against VMs that do not learn the split from the root, or use another one, and against loads that
// other VMs than the root publish. Also a region's only VM must split its requests.
func TestVMsFollowTheSplitOfTheirRoot(t *testing.T) {
	for _, names := range [][]string{{"vm-0"}, {"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}} {
		synctest.Test(t, func(t *testing.T) {
			f := startRegion(t, names...)
			f.run(15*time.Second, 58/float64(len(names)))
			root := f.vms[TreeRoot(names)]
			want := root.shares()
			if own := want["a"]; math.Abs(own-0.85*24/58) > minPlanChange {
				t.Errorf("the root runs %.2f of the requests in its region, want about %.2f", own, 0.85*24/58)
			}
			for name, vm := range f.vms {
				if d := shareDistance(want, vm.shares()); d > 1e-4 {
					t.Errorf("%s has the split %v, the root %v", name, vm.shares(), want)
				}
				if _, spare := vm.wanted(); math.Abs(spare-43/float64(len(names))) > 0.1 {
					t.Errorf("%s has %v spare slots, want 43 of %d VMs", name, spare, len(names))
				}
				if vm != root && vm.loads.count > 0 {
					t.Errorf("%s publishes loads", name)
				}
				var text strings.Builder
				vm.metrics.WritePrometheus(&text)
				if !strings.Contains(text.String(), `masticturn_region_split{service="svc",region="b"}`) {
					t.Errorf("%s does not show its split", name)
				}
			}
			if l := root.loads.published; math.Abs(l.Demand[0]-58) > 0.5 || l.Capacity != 24 {
				t.Errorf("published %+v, want the demand of all VMs", l)
			}
		})
	}
}

// Guards against requests that change the region because the root is lost, and against VMs that keep the split
// without a root.
func TestSplitAfterTheLossOfTheRoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"vm-0", "vm-1", "vm-2", "vm-3"}
		f := startRegion(t, names...)
		f.run(15*time.Second, 14.5)
		lost := TreeRoot(names)
		f.hub.Remove(lost)
		f.hub.SetFault(lost, peertest.Any, peertest.Fault{Partition: true})
		delete(f.vms, lost)
		var left []string
		for _, name := range names {
			if name != lost {
				left = append(left, name)
			}
		}
		before := f.vms[left[0]].shares()
		f.run(3*time.Second, 19) // until the loss is detected
		f.setMembers(left...)
		f.run(3*time.Second, 19)
		for _, name := range left {
			if d := shareDistance(before, f.vms[name].shares()); d > minPlanChange {
				t.Errorf("the split of %s moved by %.2f", name, d)
			}
		}
		for _, vm := range f.vms {
			vm.loads.set(nil)
		}
		f.run(splitHold+20*time.Second, 19)
		for _, name := range left {
			if p := f.vms[name].pools["svc"]; p.split.weights != nil {
				t.Errorf("%s has the split %v without knowledge of other regions, want the default", name, f.vms[name].shares())
			}
		}
	})
}

// Guards against VMs of a divided region that follow no root, or whose roots stop each other.
func TestTwoRootsSplitOnTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startRegion(t, "vm-0", "vm-1", "vm-2", "vm-3")
		f.run(15*time.Second, 20)
		for _, half := range [][]string{{"vm-0", "vm-1"}, {"vm-2", "vm-3"}} {
			f.setMembers(half...)
		}
		f.run(15*time.Second, 20)
		for name, vm := range f.vms {
			if wanted, _ := vm.wanted(); math.Abs(wanted["a"]-0.85*24/40) > 2*minPlanChange {
				t.Errorf("%s has received %v, want the split for half of the region's demand", name, wanted)
			}
		}
	})
}

// Guards against reports of a region that doesn't lack capacity which older builds can't read, or which are
// larger than before by more than the demand.
func TestTotalsWithoutNeedCarryNoSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startRegion(t, "vm-0", "vm-1")
		var mu sync.Mutex
		totals := 0
		child := f.vms["vm-0"]
		if TreeRoot([]string{"vm-0", "vm-1"}) == "vm-0" {
			child = f.vms["vm-1"]
		}
		child.deps.Network.Handle(peer.KindUsageTotal, func(_ context.Context, _ string, payload []byte) (any, error) {
			var r LoadReport
			if err := peer.Decode(payload, &r); err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			totals += len(r.Services)
			return nil, nil
		})
		f.run(3*time.Second, 5)
		if totals > 0 {
			t.Errorf("%d totals of a region without running requests name the service", totals)
		}
	})
}
