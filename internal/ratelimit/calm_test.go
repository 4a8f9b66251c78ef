package ratelimit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/customer"
	"masticturn/internal/platform"
)

func TestLimitsWithoutFaults(t *testing.T) {
	const duration = 20 * time.Second
	tests := map[string]struct {
		limit     customer.Limit
		offered   float64 // requests/s
		minServed float64 // requests/s that must run
		pick      func(f *fleet) func() *testVM
	}{
		"far above the limit": {customer.Limit{PerSecond: 40, Burst: 40}, 200, 0.9 * 40, func(f *fleet) func() *testVM { return f.randomVM }},
		"all at one VM": {customer.Limit{PerSecond: 40, Burst: 40}, 200, 0.8 * 40, func(f *fleet) func() *testVM {
			return func() *testVM { return f.vms[0] }
		}},
		"moving every four seconds": {customer.Limit{PerSecond: 40, Burst: 40}, 200, 0.65 * 40, func(f *fleet) func() *testVM {
			start := time.Now()
			return func() *testVM { return f.vms[int(time.Since(start)/(4*time.Second))%3+3*f.random.IntN(len(f.vms)/3)] }
		}},
		"below a small limit": {customer.Limit{PerSecond: 4, Burst: 4}, 2.7, 0.97 * 2.7, func(f *fleet) func() *testVM { return f.randomVM }},
		"below a large limit": {customer.Limit{PerSecond: 389, Burst: 389}, 250, 0.97 * 250, func(f *fleet) func() *testVM { return f.randomVM }},
	}
	for name, tt := range tests {
		for _, size := range []int{6, 84} {
			t.Run(fmt.Sprintf("%s, %d VMs", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 1, size, tt.limit)
					f.waitForGranter()
					f.offer("c0", tt.offered, duration, tt.pick(f))
					time.Sleep(time.Second)
					ran, asked := f.results("c0")
					minServed := tt.minServed * duration.Seconds()
					if tt.offered < tt.limit.PerSecond { // the number of offered requests is random
						minServed = tt.minServed / tt.offered * float64(asked)
					}
					if float64(ran) < minServed {
						t.Errorf("%d of %d requests ran, want at least %.0f", ran, asked, minServed)
					}
					if most, bound := f.maxInWindow("c0"), testTolerance.Bound(tt.limit); float64(most) > bound {
						t.Errorf("%d requests in a window, want at most %.0f", most, bound)
					}
				})
			})
		}
	}
}

func TestCustomersWithoutLimitsCauseNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 6, customer.Limit{})
		f.offer("c0", 100, 5*time.Second, f.randomVM)
		if calls := f.store.Calls(platform.OpGet) + f.store.Calls(platform.OpCreate); calls > 0 {
			t.Errorf("%d calls to the store", calls)
		}
		if stats := f.hub.Stats(); stats.Messages > 0 {
			t.Errorf("%d messages", stats.Messages)
		}
	})
}

// After all VMs restart, requests must run again soon, although no VM knows the shares that were granted
// before.
func TestLimitsAfterAllVMsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := customer.Limit{PerSecond: 40, Burst: 40}
		f := newFleet(t, 1, 12, limit)
		f.waitForGranter()
		f.offer("c0", 30, 5*time.Second, f.randomVM)
		for _, vm := range f.vms {
			f.kill(vm)
		}
		time.Sleep(time.Second)
		for _, vm := range f.vms {
			f.start(vm)
		}
		f.setViews()
		f.offer("c0", 30, 2*time.Second, f.randomVM)
		f.resetResults()
		f.offer("c0", 30, 5*time.Second, f.randomVM)
		if ran, asked := f.results("c0"); float64(ran) < 0.9*float64(asked) {
			t.Errorf("%d of %d requests ran two seconds after the restart", ran, asked)
		}
	})
}

// After the granter dies, another VM must take over before the shares expire.
func TestLimitsAfterTheGranterDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 12, customer.Limit{PerSecond: 40, Burst: 40})
		f.waitForGranter()
		f.offer("c0", 30, 5*time.Second, f.randomVM)
		f.resetResults()
		granter := granterOf(f.vms[0].View())
		for _, vm := range f.vms {
			if vm.name == granter {
				f.kill(vm)
			}
		}
		alive := func() *testVM {
			for {
				if vm := f.randomVM(); !vm.dead {
					return vm
				}
			}
		}
		f.offer("c0", 30, 12*time.Second, alive)
		time.Sleep(time.Second)
		if ran, asked := f.results("c0"); float64(ran) < 0.9*float64(asked) {
			t.Errorf("%d of %d requests ran", ran, asked)
		}
	})
}
