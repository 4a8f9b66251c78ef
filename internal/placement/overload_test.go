package placement

import (
	"fmt"
	"testing"
	"time"
)

// highAndLow returns the streams of the acceptance loads: a quick class of priority 0 and a slow one of
// priority 2.
func highAndLow() (high, low *simStream) {
	high = &simStream{class: "high", priority: 0, perSecond: 80, runTime: 150 * time.Millisecond, objective: 400 * time.Millisecond, to: 12 * time.Second}
	low = &simStream{class: "low", priority: 2, perSecond: 150, runTime: 400 * time.Millisecond, objective: 1600 * time.Millisecond, to: 12 * time.Second}
	return high, low
}

// onVMs returns a choice among the VMs from an index up to another one.
func onVMs(from, to int) func(s *overloadSim) *simVM {
	return func(s *overloadSim) *simVM { return s.vms[from+s.rand.IntN(to-from)] }
}

// trouble is something that goes wrong in a simulated load.
type trouble struct {
	name  string
	apply func(s *overloadSim)
}

var troubles = []trouble{
	{"none", func(*overloadSim) {}},
	{"a VM silent", func(s *overloadSim) { s.after(6*time.Second, func() { s.silence(s.leaf("ros")) }) }},
	{"a root silent", func(s *overloadSim) { s.after(6*time.Second, func() { s.silence(s.root("ros")) }) }},
	{"one in five reports lost", func(s *overloadSim) {
		s.dropped = func(_, _ *simVM) bool { return s.rand.Float64() < 0.2 }
	}},
}

// root returns the root of a region's tree.
func (s *overloadSim) root(region string) *simVM {
	for _, vm := range s.vms {
		if vm.region == region && vm.aggregator.position.Parent == "" {
			return vm
		}
	}
	return nil
}

// leaf returns a VM of a region that has no children.
func (s *overloadSim) leaf(region string) *simVM {
	for _, vm := range s.vms {
		if vm.region == region && len(vm.aggregator.position.Children) == 0 {
			return vm
		}
	}
	return nil
}

// simSeeds is the number of seeds over which results are averaged.
const simSeeds = 3

// Guards against a high priority being answered late, or a low one starving, when both compete for too
// few slots: the acceptance loads (1) and (2) of the design page.
func TestPrioritiesCompete(t *testing.T) { testPrioritiesCompete(t, 6) }

// Guards against the same where the VMs, as there are more of them, know less of each other.
func TestPrioritiesCompeteInALargerFleet(t *testing.T) { testPrioritiesCompete(t, 24) }

func testPrioritiesCompete(t *testing.T, vms int) {
	for _, apart := range []bool{false, true} {
		for _, tr := range troubles {
			t.Run(fmt.Sprintf("apart %t %s", apart, tr.name), func(t *testing.T) {
				t.Parallel()
				highShare, lowShare := 0.0, 0.0
				for seed := range uint64(simSeeds) {
					high, low := highAndLow()
					if apart {
						high.vm, low.vm = onVMs(0, vms/3), onVMs(vms/3, vms)
					}
					s := newOverloadSim(t, seed, vms, high, low)
					tr.apply(s)
					s.run()
					highShare += high.share() / simSeeds
					lowShare += low.share() / simSeeds
				}
				t.Logf("high %.3f, low %.3f", highShare, lowShare)
				if highShare < 0.95 || lowShare < 0.5 {
					t.Errorf("in time: high %.3f, low %.3f; want 0.95, 0.50 at least", highShare, lowShare)
				}
			})
		}
	}
}

// Guards against a burst of a high priority at one VM waiting for the fleet to give way: load (3).
func TestHighPriorityArrivesLate(t *testing.T) {
	for _, vms := range []int{6, 12, 24} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			share := 0.0
			for seed := range uint64(simSeeds) {
				high, low := highAndLow()
				high.perSecond, high.from, high.to = 130, 6*time.Second, 9*time.Second
				low.to = 9 * time.Second
				high.vm = onVMs(0, 1)
				s := newOverloadSim(t, seed, vms, high, low)
				s.run()
				t.Logf("seed %d: high %.3f, low %.3f", seed, high.share(), low.share())
				share += high.share() / simSeeds
			}
			if share < 0.85 {
				t.Errorf("%.3f of the high priority in time, want 0.85 at least", share)
			}
		})
	}
}

// Guards against a customer that asks for much more than the others taking their share.
func TestCustomersShareFairly(t *testing.T) {
	for _, vms := range []int{6, 24} {
		for _, tr := range troubles {
			t.Run(fmt.Sprintf("%d VMs %s", vms, tr.name), func(t *testing.T) {
				t.Parallel()
				var streams []*simStream
				for i, perSecond := range []float64{150, 18, 18, 18, 18} {
					streams = append(streams, &simStream{
						class: "c", customer: fmt.Sprintf("customer-%d", i), perSecond: perSecond,
						runTime: 300 * time.Millisecond, objective: 1200 * time.Millisecond, to: 12 * time.Second,
					})
				}
				s := newOverloadSim(t, 1, vms, streams...)
				tr.apply(s)
				s.run()
				for i, st := range streams {
					want := 0.9
					if i == 0 {
						want = 0.45
					}
					t.Logf("%s: %.3f of %d", st.customer, st.share(), st.sent)
					if st.share() < want {
						t.Errorf("%s: %.3f in time, want %.2f at least", st.customer, st.share(), want)
					}
				}
			})
		}
	}
}

// Guards against refusals where there is room for all, and against later answers than without the part.
func TestNothingIsRefusedWithRoomForAll(t *testing.T) {
	for _, vms := range []int{6, 24} {
		share := make(map[bool]float64) // of the high priority, by whether the part is off
		for _, off := range []bool{false, true} {
			high, low := highAndLow()
			high.perSecond, low.perSecond = 60, 55 // 31 of 48 slots
			s := newOverloadSim(t, 1, vms, high, low)
			for _, vm := range s.vms {
				vm.old = off
			}
			s.run()
			share[off] = high.share()
			if high.refusals+low.refusals > 0 || low.share() < 0.999 {
				t.Errorf("%d VMs, off %t: %d refusals, low %.3f in time", vms, off, high.refusals+low.refusals, low.share())
			}
		}
		t.Logf("%d VMs: high %.3f in time, %.3f without the part", vms, share[false], share[true])
		if share[false] < share[true] {
			t.Errorf("%d VMs: high %.3f in time, %.3f without the part", vms, share[false], share[true])
		}
	}
}
