package admission

import (
	"testing"
	"time"
)

// poolOf returns how many requests wait at a broker and how many slots it
// counts as given.
func (c *cluster) poolOf(broker string) (waiting, held int) {
	st := c.vms[broker].admitter.brokered.station("plan")
	st.do(func(time.Time) {
		waiting, held = st.broker.core.pool.Waiting(), st.broker.core.pool.InFlight()
	})
	return waiting, held
}

// TestSilentMemberDelaysATakeoverOnly crashes a broker while another member
// of its region cannot be heard by the next one; membership does not notice
// the silence. The takeover waits for the silent member's inventory for the
// longest recovery and then serves.
func TestSilentMemberDelaysATakeoverOnly(t *testing.T) {
	runCluster(t, testDocument("broker", 6), 3, func(t *testing.T, c *cluster) {
		const total, crash, seen = 9 * second, 3 * second, 400 * time.Millisecond
		where := scope{"plan", "east"}
		go c.keepMeasuring(200*time.Millisecond, total)
		go func() {
			time.Sleep(crash)
			c.crash(brokerOf(c.members, where), seen)
			time.Sleep(seen)
			next := brokerOf(c.members, where)
			for _, vm := range c.names("east") {
				if vm != next && !c.vms[vm].dead.Load() {
					c.hub.Partition(vm, next)
				}
			}
		}()
		results := c.offer(total, 11, bothRegions(12, 0.3, 0.3)...)
		served := crash + seen + recoverLongest + 500*time.Millisecond
		// One of the three VMs has crashed and one cannot be heard: a third of
		// the callers are left.
		if got := share(results, "east", "read", served, total); got < 0.3 {
			t.Errorf("after the takeover %.3f of the first class were answered: the broker still waits", got)
		}
		if got := share(results, "east", "read", crash+seen, crash+seen+recoverLongest/2); got > 0.9 {
			t.Errorf("%.3f were answered during the recovery: nothing was silent", got)
		}
		if n := c.overloads(); n > 0 {
			t.Errorf("%d requests came to a full target", n)
		}
	})
}

// TestSilentVMLeavesNothingQueued cuts a VM off from its region's broker while
// more is asked than the targets take, so that requests of the VM wait there.
func TestSilentVMLeavesNothingQueued(t *testing.T) {
	runCluster(t, testDocument("broker", 6), 3, func(t *testing.T, c *cluster) {
		const total = 6 * second
		broker := brokerOf(c.members, scope{"plan", "east"})
		queued := 0
		go c.keepMeasuring(200*time.Millisecond, total)
		go func() {
			time.Sleep(2 * second)
			queued, _ = c.poolOf(broker)
			for _, vm := range c.names("east") {
				if vm != broker {
					c.hub.Partition(vm, broker)
					break
				}
			}
		}()
		c.offer(total, 12, bothRegions(12, 1.4, 0.2)...)
		time.Sleep(10 * second)
		if queued == 0 {
			t.Error("nothing was queued when the VM fell silent")
		}
		if n := c.overloads(); n > 0 {
			t.Errorf("%d requests came to a full target", n)
		}
		if waiting, held := c.poolOf(broker); waiting != 0 || held != 0 {
			t.Errorf("the broker still has %d requests queued and counts %d slots", waiting, held)
		}
	})
}
