package placement

import (
	"fmt"
	"testing"
	"time"
)

// coldFleet is the pools of n VMs with the same cold target.
func coldFleet(t *testing.T, vms int, perSecond float64, known func(vm, other int) bool) []*Pool {
	t.Helper()
	s := site{perRegion: map[string]int{"r0": 1}, slots: 1000, cold: perSecond}
	pools := make([]*Pool, vms)
	for i := range pools {
		p, v := newTestPool(t, fmt.Sprintf("r%d", i%3), s)
		v.ColdUntil["r0-0"] = start.Add(time.Hour)
		p.SetTargets(v.Snapshot.Service("svc"), v)
		f := Fleet{Self: fmt.Sprint("vm-", i), ColdFactor: 1.5, ColdSlack: 5}
		for j := range vms {
			if i == j || known(i, j) {
				f.VMs = append(f.VMs, VM{fmt.Sprint("vm-", j), fmt.Sprintf("r%d", j%3)})
			}
		}
		p.SetFleet(f)
		pools[i] = p
	}
	return pools
}

// The VMs of fleets of all sizes together keep the limit of a cold target in every second.
func TestColdBoundHoldsOverAllVMs(t *testing.T) {
	const perSecond = 7.4
	bound := perSecond*1.5 + 5
	for _, vms := range []int{1, 10, 87} {
		for name, known := range map[string]func(a, b int) bool{
			"all know each other": func(int, int) bool { return true },
			"two VMs are cut off": func(a, b int) bool { return a > 1 && b > 1 },
		} {
			t.Run(fmt.Sprintf("%d VMs, %s", vms, name), func(t *testing.T) {
				pools := coldFleet(t, vms, perSecond, known)
				var sent []time.Time
				for tick := range 1000 {
					now := start.Add(time.Duration(tick) * 5 * time.Millisecond)
					for _, p := range pools {
						if at := p.Choose(ask("a"), now); at != nil {
							p.Acquire(at, now)
							sent = append(sent, now)
						}
					}
				}
				if most := maxWithin(sent, time.Second); float64(most) > bound || most == 0 {
					t.Errorf("%d requests in one second, bound %.1f", most, bound)
				}
			})
		}
	}
}

// maxWithin returns the largest number of times within any span.
func maxWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A VM without a member list sends nothing to cold targets.
func TestUnsettledVMSendsNothingToColdTargets(t *testing.T) {
	p := coldFleet(t, 1, 7.4, nil)[0]
	p.SetFleet(Fleet{Self: "vm-0", ColdFactor: 1.5, ColdSlack: 5})
	if p.Choose(ask("a"), start) != nil {
		t.Error("a cold target got a request")
	}
}

func TestTargetsWithoutAColdRateAreNotBounded(t *testing.T) {
	p := coldFleet(t, 1, 0, nil)[0]
	for range 100 {
		p.Acquire(mustChoose(t, p, ask("a"), start), start)
	}
}

// While an object's targets are cold, the next ones serve it.
func TestObjectsOfColdTargetsAreServedElsewhere(t *testing.T) {
	p, v := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 6}, slots: 100, cold: 7.4})
	p.SetFleet(Fleet{Self: "vm", VMs: []VM{{"vm", "ros"}}, ColdFactor: 1.5, ColdSlack: 5})
	home := mustChoose(t, p, ask("a"), start).target.Name
	for i := range 4 {
		v.ColdUntil[fmt.Sprintf("ros-%d", i)] = start.Add(3 * time.Second)
	}
	v.ColdUntil[home] = start.Add(3 * time.Second)
	p.SetTargets(v.Snapshot.Service("svc"), v)
	for range 100 {
		p.Acquire(mustChoose(t, p, ask("a"), start), start)
	}
	later := start.Add(3 * time.Second)
	if at := mustChoose(t, p, ask("a"), later); at.target.Name != home {
		t.Errorf("after the cold time the object is at %s, before at %s", at.target.Name, home)
	}
}
