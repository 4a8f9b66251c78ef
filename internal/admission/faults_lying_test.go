package admission

import (
	"testing"
	"time"

	"masticturn/internal/measure"
)

// keepLying tells every VM, every period, that all targets are healthy, idle
// and have far more slots than they have.
func (c *cluster) keepLying(period, total time.Duration) {
	var states []measure.TargetState
	for name := range c.targets {
		states = append(states, measure.TargetState{Target: name, Health: measure.Healthy, Slots: 100})
	}
	for range int(total / period) {
		for i := range states {
			states[i].MeasuredAt = time.Now()
		}
		for _, v := range c.vms {
			v.targets.set(states...)
		}
		time.Sleep(period)
	}
}

// TestLyingTargetsAreNotOverloaded shifts load between regions while all
// targets lie about their slots and load.
func TestLyingTargetsAreNotOverloaded(t *testing.T) {
	runCluster(t, testDocument("broker", 6), 2, func(t *testing.T, c *cluster) {
		const total = 6 * second
		go c.keepLying(200*time.Millisecond, total)
		results := c.offer(total, 8, bothRegions(12, 1.3, 0.2)...)
		if n := shiftedBetween(results, 2*second, total); n == 0 {
			t.Error("nothing was shifted, so that no credit was granted on the lies")
		}
		if n := c.overloads(); n > 0 {
			t.Errorf("%d requests came to a full target", n)
		}
		if got := share(results, "east", "read", 0, total); got < 0.99 {
			t.Errorf("the first class was answered %.3f", got)
		}
	})
}

// TestSilentVMKeepsNoSlots cuts a VM off from its region's broker while it
// holds slots and asks for more; membership does not notice.
func TestSilentVMKeepsNoSlots(t *testing.T) {
	runCluster(t, testDocument("broker", 6), 3, func(t *testing.T, c *cluster) {
		const total = 8 * second
		broker := brokerOf(c.members, scope{"plan", "east"})
		go c.keepMeasuring(200*time.Millisecond, total)
		go func() {
			time.Sleep(2 * second)
			for _, vm := range c.names("east") {
				if vm != broker {
					c.hub.Partition(vm, broker)
					break
				}
			}
			time.Sleep(2 * second)
			c.hub.Heal()
		}()
		results := c.offer(total, 9, bothRegions(12, 0.5, 0.5)...)
		time.Sleep(10 * second)
		if n := c.overloads(); n > 0 {
			t.Errorf("%d requests came to a full target", n)
		}
		if got := share(results, "east", "read", 5*second, total); got < 0.99 {
			t.Errorf("after the silence %.3f of the first class were answered", got)
		}
		if got := share(results, "east", "read", 2*second, 4*second); got > 0.99 {
			t.Errorf("during the silence %.3f were answered: nothing was silent", got)
		}
		for name, v := range c.vms {
			if b := v.admitter.brokered.station("plan").broker; b != nil && b.core.pool.InFlight() != 0 {
				t.Errorf("%s still counts %d slots", name, b.core.pool.InFlight())
			}
		}
	})
}
