package ratelimit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/customer"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform/platformtest"
)

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
	var mu sync.Mutex
	storeFaults := rand.New(rand.NewPCG(seed, 4))
	f.store.SetHook(func(context.Context, platformtest.Call) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		switch storeFaults.IntN(20) {
		case 0:
			return platformtest.FaultLostResponse
		case 1:
			return platformtest.FaultDelayedEffect
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
		f.store.ReleaseDelayed()
	case 7:
		f.hub.Pause(vm.name)
	case 8:
		f.hub.Resume(vm.name)
	}
	wrong := f.random.IntN(4) == 0
	vm.view.Store(f.viewOf(vm, func(other *testVM) bool { return wrong && other != vm && f.random.IntN(3) == 0 }))
}
