package e2e

import (
	"cmp"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/platform/platformtest"
)

// reevacuation is a zone that is evacuated, taken back, and evacuated again after the store has come back from a copy
// that was made before the first time.
type reevacuation struct {
	order    int               // of the revision of the second evacuation to that of the first
	copies   int               // times that the store comes back from the copy, 2 s apart
	after    time.Duration     // time from the last return to the second evacuation
	between  int               // writes of others between the copy and the first evacuation
	previous int               // evacuations that ended before the copy was made
	before   func(f *memFleet) // before the store is away
	during   func(f *memFleet) // once the store is back, beside what follows
}

// Orders of the second evacuation's revision to the first one's, as returned by cmp.Compare.
const (
	lowerRevision  = -1
	sameRevision   = 0
	higherRevision = 1
)

var reevacuations = map[string]reevacuation{
	"at once":                            {order: lowerRevision, between: 20},
	"after 10 ms":                        {order: lowerRevision, between: 20, after: 10 * time.Millisecond},
	"after 300 ms":                       {order: lowerRevision, between: 20, after: 300 * time.Millisecond},
	"after 1 s":                          {order: lowerRevision, between: 20, after: time.Second},
	"after 2 s":                          {order: lowerRevision, between: 20, after: 2 * time.Second},
	"two copies":                         {order: lowerRevision, copies: 2, between: 20, after: 200 * time.Millisecond},
	"evacuated before":                   {order: lowerRevision, previous: 2, between: 20, after: 10 * time.Millisecond},
	"the same revision, at once":         {order: sameRevision, between: 20},
	"the same revision, after 1 s":       {order: sameRevision, between: 20, after: time.Second},
	"a later revision":                   {order: higherRevision, between: 5},
	"a VM starts before the store fails": {order: lowerRevision, between: 20, after: 10 * time.Millisecond, before: func(f *memFleet) { f.killAndStart(f.vms[1]) }},
	"a VM starts after the return":       {order: lowerRevision, between: 20, after: 10 * time.Millisecond, during: func(f *memFleet) { f.killAndStart(f.vms[1]) }},
	"all VMs start before the store fails": {order: lowerRevision, between: 20, after: 10 * time.Millisecond, before: func(f *memFleet) {
		f.killAll(200 * time.Millisecond)
		time.Sleep(2 * time.Second)
	}},
	"VMs are cut": {order: lowerRevision, between: 20, after: time.Second, during: func(f *memFleet) {
		f.hold(f.vms[:2], f.vms[2:])
		time.Sleep(time.Second)
		f.release(f.vms[:2], f.vms[2:])
	}},
}

// write lets the store give out revisions.
func (f *memFleet) write(n int) {
	for i := range n {
		f.objects.Put("others", "other", []byte{byte(i)})
	}
}

func (f *memFleet) evacuationRevision(zone string) uint64 {
	o, err := f.objects.Peek("evacuations", zone)
	if err != nil {
		f.t.Fatal(err)
	}
	return o.Version.Revision()
}

// play evacuates a zone as described and returns when the second evacuation was acknowledged.
func (r *reevacuation) play(f *memFleet, zone string) (acked time.Time) {
	for range r.previous {
		f.objects.Put("evacuations", zone, []byte(`{}`))
		time.Sleep(time.Second)
		f.objects.Remove("evacuations", zone)
		time.Sleep(time.Second)
	}
	copied := f.objects.Copy()
	f.write(r.between)
	f.objects.Put("evacuations", zone, []byte(`{}`))
	first := f.evacuationRevision(zone)
	time.Sleep(2500 * time.Millisecond)
	f.objects.Remove("evacuations", zone)
	if r.before != nil {
		r.before(f)
	}
	time.Sleep(time.Second)
	f.returnFrom(copied, max(1, r.copies))
	if r.during != nil {
		go r.during(f)
	}
	time.Sleep(r.after)
	for r.order != lowerRevision && f.nextRevision() < first+uint64(r.order) {
	}
	f.objects.Put("evacuations", zone, []byte(`{}`))
	if second := f.evacuationRevision(zone); cmp.Compare(second, first) != r.order {
		f.t.Fatalf("the second evacuation has revision %d, the first one had %d", second, first)
	}
	return time.Now()
}

// nextRevision uses up a revision of the store and returns the next one.
func (f *memFleet) nextRevision() uint64 {
	f.write(1)
	o, err := f.objects.Peek("others", "other")
	if err != nil {
		f.t.Fatal(err)
	}
	return o.Version.Revision() + 1
}

// returnFrom lets the store be away for half a second and come back from a copy, several times.
func (f *memFleet) returnFrom(c platformtest.Copy, times int) {
	for i := range times {
		if i > 0 {
			time.Sleep(2 * time.Second)
		}
		f.restore(c, 500*time.Millisecond)
	}
}

// Guards against VMs that take an evacuation for an earlier one of its zone, which had been taken back.
func TestEvacuationAfterTheStoreCameBackFromACopyEmptiesItsZone(t *testing.T) {
	for name, r := range reevacuations {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newMemFleet(t, 6, 3)
				defer f.stop()
				var s served
				var load sync.WaitGroup
				load.Go(func() { f.load(25*time.Millisecond, 26*time.Second, &s, ownRequest) })
				time.Sleep(2 * time.Second)
				acked := r.play(f, "a2")
				time.Sleep(memEvacuation + 5*time.Second)
				n := f.reached(f.targetsIn("a2"), acked.Add(memEvacuation), time.Now())
				if n > 0 {
					t.Errorf("%d requests reached the zone later than %v after the acknowledgement of its evacuation", n, memEvacuation)
				}
				f.objects.Remove("evacuations", "a2")
				load.Wait()
				if f.reached(f.targetsIn("a2"), time.Now().Add(-3*time.Second), time.Now()) == 0 {
					t.Error("no request reached the zone after its evacuation ended")
				}
			})
		})
	}
}
