package tunnel

import (
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/membership"
)

// Guards against connections to targets that are kept for VMs that no longer exist.
func TestConnectionsOfVMsThatAreGoneAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 2, 2, echo)
		defer stop()
		f.refuse(f.vms[0])
		f.mustDialTunnel(f.vms[0], 0)
		f.net.Hold(f.vms[0].host, f.vms[1].host) // no end of the connection arrives
		defer f.net.Release(f.vms[0].host, f.vms[1].host)
		f.change(func(members []membership.Member) []membership.Member { return members[1:] })
		time.Sleep(time.Second)
		if n := f.vms[1].originsInUse.total(); n != 0 {
			t.Errorf("%d connections are kept for a VM that is gone", n)
		}
	})
}

// Guards against requests of a VM that has just started and that end with what is told of its earlier process.
func TestTunnelsOfAProcessSurviveTheEndOfAnEarlierOne(t *testing.T) {
	for name, tt := range map[string]struct {
		members func(members []membership.Member) []membership.Member
		kept    bool
	}{
		"the earlier one is gone": {func(members []membership.Member) []membership.Member {
			members[0].State, members[0].Process = membership.Gone, 0
			return members
		}, true},
		"it is gone": {func(members []membership.Member) []membership.Member {
			members[0].State = membership.Gone
			return members
		}, false},
		"there is a later one": {func(members []membership.Member) []membership.Member {
			members[0].Incarnation, members[0].Process = 2, 2
			return members
		}, false},
		"it refutes that it is gone": {func(members []membership.Member) []membership.Member {
			members[0].Incarnation = 2
			return members
		}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f, stop := newTestFleet(t, 2, 2, echo)
			defer stop()
			f.refuse(f.vms[0])
			c := f.mustDialTunnel(f.vms[0], 0)
			defer c.Close()
			f.change(tt.members)
			time.Sleep(time.Second)
			if n := f.vms[1].originsInUse.total(); (n == 1) != tt.kept {
				t.Errorf("%s: %d tunnels are carried, kept should be %v", name, n, tt.kept)
			}
		})
	}
}

// Guards against requests of a VM that its carrier does not know yet.
func TestTunnelsOfAVMThatIsNotKnownYetAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 2, 2, echo)
		defer stop()
		f.refuse(f.vms[0])
		f.change(func(members []membership.Member) []membership.Member { return members[1:] })
		c := f.mustDialTunnel(f.vms[0], 0)
		defer c.Close()
		time.Sleep(time.Second)
		if n := f.vms[1].originsInUse.total(); n != 1 {
			t.Errorf("%d tunnels are carried, want 1", n)
		}
	})
}
