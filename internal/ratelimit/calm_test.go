package ratelimit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/customer"
	"masticturn/internal/platform"
)

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
