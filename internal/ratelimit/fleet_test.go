package ratelimit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
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
	name, region     string
	service          *Service
	term             uint64
	view             atomic.Pointer[membership.View]
	storeUnavailable atomic.Bool // calls to the store fail
	dead             bool
	incarnation      uint64
}

func (v *testVM) View() *membership.View                         { return v.view.Load() }
func (v *testVM) Subscribe(func(*membership.View)) (stop func()) { return func() {} }

// vmStore is a VM's client of the store.
type vmStore struct {
	*platformtest.Store
	vm *testVM
}

func (s vmStore) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if s.vm.storeUnavailable.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name)
}

func (s vmStore) Update(ctx context.Context, kind platform.Kind, name string, value []byte, v platform.Version) (platform.Version, error) {
	if s.vm.storeUnavailable.Load() {
		return 0, platform.ErrUnavailable
	}
	return s.Store.Update(ctx, kind, name, value, v)
}

func (s vmStore) Create(ctx context.Context, kind platform.Kind, name string, value []byte) (platform.Version, error) {
	if s.vm.storeUnavailable.Load() {
		return 0, platform.ErrUnavailable
	}
	return s.Store.Create(ctx, kind, name, value)
}

// fleet is a group of VMs that enforce limits. It records the requests that ran.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	hub       *peertest.Hub
	store     *platformtest.Store
	vms       []*testVM
	customers atomic.Pointer[customer.Directory]
	inFlight  sync.WaitGroup // requests that have no result yet

	mu    sync.Mutex
	ran   map[string][]time.Time
	asked map[string]int
}

func newFleet(t *testing.T, seed uint64, size int, limits ...customer.Limit) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), hub: peertest.NewHub(seed), store: platformtest.NewStore(),
		ran: make(map[string][]time.Time), asked: make(map[string]int),
	}
	f.setLimits(limits...)
	for i := range size {
		f.vms = append(f.vms, &testVM{name: fmt.Sprintf("vm-%02d", i), region: fmt.Sprintf("r%d", i%3)})
	}
	f.setViews()
	for _, vm := range f.vms {
		f.start(vm)
	}
	t.Cleanup(f.stop)
	return f
}

// stop waits until no request and no call between VMs is in progress, and stops all VMs. Fake time stands
// still once a test has ended, so whatever still waits for a timer then would never end.
func (f *fleet) stop() {
	f.inFlight.Wait()
	for _, vm := range f.vms {
		f.kill(vm)
	}
	time.Sleep(takeTimeout) // handlers of calls that their callers have abandoned
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

// viewOf returns a VM's member view, in which dead VMs and those for which suspect is true are not alive.
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

// setViews gives all VMs a correct member view.
func (f *fleet) setViews() {
	for _, vm := range f.vms {
		vm.view.Store(f.viewOf(vm, func(*testVM) bool { return false }))
	}
}

// request sends a customer's request to a VM and records whether the limit allowed it.
func (f *fleet) request(vm *testVM, name string) {
	service := vm.service
	f.inFlight.Go(func() {
		refusal := service.Take(context.Background(), f.customers.Load().ByName(name))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.asked[name]++
		if refusal == nil {
			f.ran[name] = append(f.ran[name], time.Now())
		}
	})
}

// offer sends requests at the given mean rate for some time. pick chooses the VM of each request. Member
// views are updated every 200 ms.
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

func (f *fleet) randomVM() *testVM { return f.vms[f.random.IntN(len(f.vms))] }

// maxInWindow returns the maximum number of a customer's requests that ran in any window.
func (f *fleet) maxInWindow(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := f.ran[name]
	slices.SortFunc(ran, time.Time.Compare)
	highest, from := 0, 0
	for to := range ran {
		for ran[to].Sub(ran[from]) > testTolerance.Window {
			from++
		}
		highest = max(highest, to-from+1)
	}
	return highest
}

// results returns the numbers of a customer's requests that ran and that were sent.
func (f *fleet) results(name string) (ran, asked int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ran[name]), f.asked[name]
}

func (f *fleet) resetResults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.ran)
	clear(f.asked)
}

// waitForGranter waits until all VMs know a granter.
func (f *fleet) waitForGranter() {
	for range 15 {
		time.Sleep(200 * time.Millisecond)
		f.setViews()
	}
}
