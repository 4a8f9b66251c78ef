package ratelimit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/customer"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/telemetry"
)

// testVM is a VM whose process may be restarted.
type testVM struct {
	name, region string
	service      *Service
	term         uint64
	view         atomic.Pointer[membership.View]
	refused      atomic.Bool // by the store
	dead         bool
	incarnation  uint64
}

func (v *testVM) View() *membership.View                         { return v.view.Load() }
func (v *testVM) Subscribe(func(*membership.View)) (stop func()) { return func() {} }

// vmStore is the store as a VM reaches it.
type vmStore struct {
	*platformtest.Store
	vm *testVM
}

func (s vmStore) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if s.vm.refused.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name)
}

func (s vmStore) Update(ctx context.Context, kind platform.Kind, name string, value []byte, v platform.Version) (platform.Version, error) {
	if s.vm.refused.Load() {
		return 0, platform.ErrUnavailable
	}
	return s.Store.Update(ctx, kind, name, value, v)
}

func (s vmStore) Create(ctx context.Context, kind platform.Kind, name string, value []byte) (platform.Version, error) {
	if s.vm.refused.Load() {
		return 0, platform.ErrUnavailable
	}
	return s.Store.Create(ctx, kind, name, value)
}

// fleet is a fleet with limits, and what ran in it.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	hub       *peertest.Hub
	store     *platformtest.Store
	vms       []*testVM
	customers atomic.Pointer[customer.Directory]

	mu  sync.Mutex
	ran map[string][]time.Time
	ask map[string]int
}

func newFleet(t *testing.T, seed uint64, size int, limits ...customer.Limit) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), hub: peertest.NewHub(seed), store: platformtest.NewStore(),
		ran: make(map[string][]time.Time), ask: make(map[string]int),
	}
	f.setLimits(limits...)
	for i := range size {
		f.vms = append(f.vms, &testVM{name: fmt.Sprintf("vm-%02d", i), region: fmt.Sprintf("r%d", i%3)})
	}
	f.setViews()
	for _, vm := range f.vms {
		f.start(vm)
	}
	t.Cleanup(func() {
		for _, vm := range f.vms {
			f.kill(vm)
		}
	})
	return f
}

func (f *fleet) setLimits(limits ...customer.Limit) {
	var list []customer.Customer
	for i, l := range limits {
		list = append(list, customer.Customer{Name: fmt.Sprintf("c%d", i), Limit: l})
	}
	f.customers.Store(customer.NewDirectory(list))
}

func (f *fleet) start(vm *testVM) {
	vm.incarnation++
	vm.dead = false
	network := f.hub.Network(vm.name)
	for _, other := range f.vms {
		network.SetAddress(other.name, peertest.Address(other.name))
	}
	vm.service = NewService(Deps{
		Self: vm.name, Region: vm.region, Incarnation: vm.incarnation, Tolerance: testTolerance,
		Customers: f.customers.Load, Regions: 3, Store: vmStore{f.store, vm}, Network: network, Members: vm,
		Joined: func() bool { return true },
		Announce: func(term uint64) {
			f.mu.Lock()
			defer f.mu.Unlock()
			vm.term = term
		},
		Boot: kernel.NewMonotonicBootClock(), Logger: telemetry.Discard(), Metrics: metrics.NewSet(),
	})
	_ = vm.service.Start(context.Background())
}

func (f *fleet) kill(vm *testVM) {
	if vm.dead {
		return
	}
	vm.dead = true
	_ = vm.service.Stop(context.Background())
	f.hub.Remove(vm.name)
	f.mu.Lock()
	vm.term = 0
	f.mu.Unlock()
}

// viewOf returns what a VM sees of the members: those in suspect are not alive.
func (f *fleet) viewOf(vm *testVM, suspect func(other *testVM) bool) *membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &membership.View{Self: vm.name}
	for _, other := range f.vms {
		m := membership.Member{Name: other.name, Region: other.region, Term: other.term, Process: other.incarnation}
		if other.dead || suspect(other) {
			m.State = membership.Suspect
		}
		v.Members = append(v.Members, m)
	}
	return v
}

func (f *fleet) setViews() {
	for _, vm := range f.vms {
		vm.view.Store(f.viewOf(vm, func(*testVM) bool { return false }))
	}
}

// request runs a request of a customer at a VM, if the limit allows it.
func (f *fleet) request(vm *testVM, name string) {
	service := vm.service
	go func() {
		refusal := service.Take(context.Background(), f.customers.Load().ByName(name))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ask[name]++
		if refusal == nil {
			f.ran[name] = append(f.ran[name], time.Now())
		}
	}()
}

// offer sends requests for some time; pick chooses the VM of each. Views follow every 200 ms.
func (f *fleet) offer(name string, perSecond float64, length time.Duration, pick func() *testVM) {
	end := time.Now().Add(length)
	next := time.Now().Add(200 * time.Millisecond)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		if time.Now().After(next) {
			f.setViews()
			next = time.Now().Add(200 * time.Millisecond)
		}
		f.request(pick(), name)
	}
}

func (f *fleet) any() *testVM { return f.vms[f.random.IntN(len(f.vms))] }

// most returns the most requests of a customer in any window.
func (f *fleet) most(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := f.ran[name]
	slices.SortFunc(ran, time.Time.Compare)
	most, from := 0, 0
	for to := range ran {
		for ran[to].Sub(ran[from]) > testTolerance.Window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func (f *fleet) served(name string) (ran, asked int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ran[name]), f.ask[name]
}

func (f *fleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.ran)
	clear(f.ask)
}

// settle waits until a granter is known everywhere.
func (f *fleet) settle() {
	for range 15 {
		time.Sleep(200 * time.Millisecond)
		f.setViews()
	}
}

func TestLimitsInCalmFleets(t *testing.T) {
	const length = 20 * time.Second
	tests := map[string]struct {
		limit   customer.Limit
		offered float64 // requests/s
		least   float64 // requests/s that run
		pick    func(f *fleet) func() *testVM
	}{
		"far beyond the limit": {customer.Limit{PerSecond: 40, Burst: 40}, 200, 0.9 * 40, func(f *fleet) func() *testVM { return f.any }},
		"all by one VM": {customer.Limit{PerSecond: 40, Burst: 40}, 200, 0.8 * 40, func(f *fleet) func() *testVM {
			return func() *testVM { return f.vms[0] }
		}},
		"moving every four seconds": {customer.Limit{PerSecond: 40, Burst: 40}, 200, 0.65 * 40, func(f *fleet) func() *testVM {
			start := time.Now()
			return func() *testVM { return f.vms[int(time.Since(start)/(4*time.Second))%3+3*f.random.IntN(len(f.vms)/3)] }
		}},
		"a small limit, below it": {customer.Limit{PerSecond: 4, Burst: 4}, 2.7, 0.97 * 2.7, func(f *fleet) func() *testVM { return f.any }},
		"a large limit, below it": {customer.Limit{PerSecond: 389, Burst: 389}, 250, 0.97 * 250, func(f *fleet) func() *testVM { return f.any }},
	}
	for name, tt := range tests {
		for _, size := range []int{6, 84} {
			t.Run(fmt.Sprintf("%s, %d VMs", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 1, size, tt.limit)
					f.settle()
					f.offer("c0", tt.offered, length, tt.pick(f))
					time.Sleep(time.Second)
					ran, asked := f.served("c0")
					least := tt.least * length.Seconds()
					if tt.offered < tt.limit.PerSecond { // what was offered is drawn
						least = tt.least / tt.offered * float64(asked)
					}
					if float64(ran) < least {
						t.Errorf("%d of %d requests ran, want at least %.0f", ran, asked, least)
					}
					if most, bound := f.most("c0"), testTolerance.Bound(tt.limit); float64(most) > bound {
						t.Errorf("%d requests in a window, want at most %.0f", most, bound)
					}
				})
			})
		}
	}
}

func TestCustomersWithoutLimitsCostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 6, customer.Limit{})
		f.offer("c0", 100, 5*time.Second, f.any)
		if calls := f.store.Calls(platform.OpGet) + f.store.Calls(platform.OpCreate); calls > 0 {
			t.Errorf("%d calls to the store", calls)
		}
		if stats := f.hub.Stats(); stats.Messages > 0 {
			t.Errorf("%d messages", stats.Messages)
		}
	})
}

// A restarted fleet serves customers again soon, though nobody knows what was granted before.
func TestLimitsAfterAllVMsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := customer.Limit{PerSecond: 40, Burst: 40}
		f := newFleet(t, 1, 12, limit)
		f.settle()
		f.offer("c0", 30, 5*time.Second, f.any)
		for _, vm := range f.vms {
			f.kill(vm)
		}
		time.Sleep(time.Second)
		for _, vm := range f.vms {
			f.start(vm)
		}
		f.setViews()
		f.offer("c0", 30, 2*time.Second, f.any)
		f.reset()
		f.offer("c0", 30, 5*time.Second, f.any)
		if ran, asked := f.served("c0"); float64(ran) < 0.9*float64(asked) {
			t.Errorf("%d of %d requests ran two seconds after the restart", ran, asked)
		}
	})
}

// A granter that dies is replaced before the shares expire.
func TestLimitsAfterTheGranterDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 12, customer.Limit{PerSecond: 40, Burst: 40})
		f.settle()
		f.offer("c0", 30, 5*time.Second, f.any)
		f.reset()
		granter := granterOf(f.vms[0].View())
		for _, vm := range f.vms {
			if vm.name == granter {
				f.kill(vm)
			}
		}
		alive := func() *testVM {
			for {
				if vm := f.any(); !vm.dead {
					return vm
				}
			}
		}
		f.offer("c0", 30, 12*time.Second, alive)
		time.Sleep(time.Second)
		if ran, asked := f.served("c0"); float64(ran) < 0.9*float64(asked) {
			t.Errorf("%d of %d requests ran", ran, asked)
		}
	})
}

// splitFleet offers far more than the limit on both sides of a split fleet, and checks the limit.
func splitFleet(t *testing.T, split func(f *fleet, far []*testVM)) {
	synctest.Test(t, func(t *testing.T) {
		limit := customer.Limit{PerSecond: 200, Burst: 10}
		f := newFleet(t, 1, 12, limit)
		f.settle()
		f.offer("c0", 600, 5*time.Second, f.any)
		granter := granterOf(f.vms[0].View())
		var far []*testVM // the granter and half of the others
		for i, vm := range f.vms {
			if vm.name == granter || i%2 == 0 {
				far = append(far, vm)
			}
		}
		split(f, far)
		apart := func(a, b *testVM) bool { return slices.Contains(far, a) != slices.Contains(far, b) }
		for range 150 {
			for _, vm := range f.vms {
				vm.view.Store(f.viewOf(vm, func(other *testVM) bool { return apart(vm, other) }))
			}
			for range 60 {
				f.request(f.any(), "c0")
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.hub.Heal()
		time.Sleep(2 * time.Second)
		if most, bound := f.most("c0"), testTolerance.Bound(limit); float64(most) > bound {
			t.Errorf("%d requests in a window, want at most %.0f", most, bound)
		}
	})
}

func cutApart(f *fleet, far []*testVM) {
	for _, a := range f.vms {
		for _, b := range f.vms {
			if slices.Contains(far, a) != slices.Contains(far, b) {
				f.hub.SetFault(a.name, b.name, peertest.Fault{Cut: true})
			}
		}
	}
}

// A granter without the store must stop granting to the VMs that still reach it.
func TestOnlyOneSideOfASplitFleetGrants(t *testing.T) {
	splitFleet(t, func(f *fleet, far []*testVM) {
		cutApart(f, far)
		for _, vm := range far {
			vm.refused.Store(true)
		}
	})
}

// VMs that no granter reaches must stop using their shares.
func TestSharesExpireWithoutAGranter(t *testing.T) {
	splitFleet(t, func(f *fleet, far []*testVM) {
		cutApart(f, far)
		for _, vm := range f.vms {
			vm.refused.Store(!slices.Contains(far, vm))
		}
		for _, vm := range f.vms {
			if !slices.Contains(far, vm) {
				f.hub.SetFault(vm.name, peertest.Any, peertest.Fault{Cut: true})
			}
		}
	})
}

// Processes that start again and again must not bring tokens with them.
func TestRestartsBringNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := customer.Limit{PerSecond: 20, Burst: 100}
		f := newFleet(t, 1, 6, limit)
		f.settle()
		for range 12 {
			f.offer("c0", 300, 700*time.Millisecond, f.any)
			for _, vm := range f.vms {
				if vm.name == granterOf(vm.View()) {
					continue
				}
				f.kill(vm)
				f.start(vm)
			}
			f.setViews()
		}
		time.Sleep(2 * time.Second)
		if most, bound := f.most("c0"), testTolerance.Bound(limit); float64(most) > bound {
			t.Errorf("%d requests in a window, want at most %.0f", most, bound)
		}
	})
}

// Limits hold whoever is cut off, restarts, is refused by the store or sees other members, and when
// writes take effect late.
func TestLimitsHoldUnderFaults(t *testing.T) {
	const seeds = 12
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { limitsUnderFaults(t, seed) })
		})
	}
}

func limitsUnderFaults(t *testing.T, seed uint64) {
	limits := []customer.Limit{{PerSecond: 40, Burst: 40}, {PerSecond: 4, Burst: 4}, {PerSecond: 300, Burst: 0}}
	f := newFleet(t, seed, 9, limits...)
	f.store.SetHook(func(context.Context, platformtest.Call) platformtest.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		switch f.random.IntN(20) {
		case 0:
			return platformtest.FaultLostAnswer
		case 1:
			return platformtest.FaultLateEffect
		case 2:
			return platformtest.FaultLostRequest
		}
		return platformtest.FaultNone
	})
	for range 200 {
		f.disturb()
		for i := range limits {
			name := fmt.Sprintf("c%d", i)
			for range int(2*limits[i].PerSecond/10) + 1 {
				f.request(f.any(), name)
			}
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
	f.hub.Heal()
	for _, vm := range f.vms {
		f.hub.Resume(vm.name)
	}
	time.Sleep(5 * time.Second)
	for i, l := range limits {
		name := fmt.Sprintf("c%d", i)
		if most, bound := f.most(name), testTolerance.Bound(l); float64(most) > bound {
			t.Errorf("%s: %d requests in a window, want at most %.0f", name, most, bound)
		}
		ran, asked := f.served(name)
		t.Logf("%s: %d of %d ran, at most %d in a window", name, ran, asked, f.most(name))
	}
}

// disturb makes at most one fault, and gives a VM a view that may be wrong.
func (f *fleet) disturb() {
	vm := f.any()
	switch f.random.IntN(24) {
	case 0:
		f.kill(vm)
		f.start(vm)
	case 1:
		vm.refused.Store(!vm.refused.Load())
	case 2:
		f.hub.SetFault(vm.name, peertest.Any, peertest.Fault{Cut: true})
	case 3:
		f.hub.SetFault(peertest.Any, vm.name, peertest.Fault{Delay: 300 * time.Millisecond, Jitter: time.Second, Drop: 0.2})
	case 4, 5:
		f.hub.Heal()
	case 6:
		f.store.ReleaseLate()
	case 7:
		f.hub.Pause(vm.name)
	case 8:
		f.hub.Resume(vm.name)
	}
	wrong := f.random.IntN(4) == 0
	vm.view.Store(f.viewOf(vm, func(other *testVM) bool { return wrong && other != vm && f.random.IntN(3) == 0 }))
}
