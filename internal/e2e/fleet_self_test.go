package e2e

import (
	"testing"
	"testing/synctest"
)

// Guards against tests that end with a deadlock because a caller still connects to a host that is cut off.
func TestStoppedFleetEndsHeldConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRemoteFleet(t)
		client := f.newClient(memZones[0])
		for _, caller := range f.hosts {
			f.net.Hold(caller, f.vms[0].host)
		}
		if r := f.send(client, f.vms[0], call{method: "GET", path: "/"}); r.status != 0 {
			t.Errorf("status %d from a host that is cut off", r.status)
		}
		f.stop()
	})
}
