package discovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// evacuates reports whether a VM sends nothing to an availability zone.
func (f *fleet) evacuates(vm, zone string) bool {
	s := f.vms[vm]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.evacuated[zone]
}

// Guards against an evacuation, withheld as it has the very revision of an earlier one, that is in force too late because
// there is no contact with the store meanwhile.
func TestWithheldEvacuationIsInForceInTimeWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		copied := f.store.Copy()
		f.store.Put("zones", "z1", nil)
		time.Sleep(time.Second)
		f.store.Remove("zones", "z1")
		time.Sleep(time.Second)
		f.store.Restore(copied)
		f.store.Put("zones", "z1", nil)
		acked := time.Now()
		time.Sleep(time.Second)
		for vm := range f.vms {
			if f.evacuates(vm, "z1") {
				t.Fatalf("%s does not withhold the evacuation", vm)
			}
			f.access[vm].silent.Store(true)
		}
		time.Sleep(time.Until(acked.Add(zonesBound)))
		for vm := range f.vms {
			if !f.evacuates(vm, "z1") {
				t.Errorf("%s uses the zone %v after its evacuation was acknowledged", vm, zonesBound)
			}
		}
	})
}
