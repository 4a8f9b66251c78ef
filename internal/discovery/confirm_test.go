package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/kernel"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform/platformtest"
)

// revocationBound is the time after which removed keys must be refused.
const revocationBound = 5 * time.Second

// newRevocationFleet is a fleet that bounds the age of documents.
func newRevocationFleet(t *testing.T, size int) *fleet {
	f := newFleet(t, size)
	f.revocation = revocationBound
	timing := Timings(jsonDecoder{}.Kinds(), f.bounds())[jsonDecoder{}.Kinds().Document]
	f.store.WatchTimeout = timing.Watch
	for _, m := range f.view.Members {
		f.restart(m.Name)
	}
	time.Sleep(3 * time.Second)
	return f
}

// checkAges checks for some time that no VM's proven age is less than the true age of its document.
func (f *fleet) checkAges(length time.Duration) {
	f.t.Helper()
	end := time.Now().Add(length)
	written := time.Now()
	for time.Now().Before(end) {
		if time.Since(written) > 700*time.Millisecond {
			f.change()
			written = time.Now()
		}
		time.Sleep(13 * time.Millisecond)
		synctest.Wait()
		for name, s := range f.vms {
			age := s.DocumentAge()
			if v := s.View(); v != nil && v.Snapshot.Generation < f.gen && age < time.Since(written) {
				f.t.Fatalf("%s proves an age of %v without the document of %v ago", name, age, time.Since(written))
			}
		}
	}
}

func TestDocumentsAreAtLeastAsRecentAsProven(t *testing.T) {
	tests := map[string]func(f *fleet){
		"calm": func(*fleet) {},
		"late and lost messages": func(f *fleet) {
			f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Drop: 0.05, Delay: 55 * time.Millisecond, Jitter: 400 * time.Millisecond})
		},
		"a slow store": func(f *fleet) {
			f.store.SetHook(func(context.Context, platformtest.Call) platformtest.Fault {
				time.Sleep(240 * time.Millisecond)
				return platformtest.FaultNone
			})
		},
		"most are refused by the store": func(f *fleet) {
			for i, m := range f.view.Members {
				f.reach[m.Name].refused.Store(i%4 != 0)
			}
		},
		"paused VMs": func(f *fleet) {
			vm := f.view.Members[0].Name
			f.hub.Pause(vm)
			f.t.Cleanup(func() { f.hub.Resume(vm) })
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRevocationFleet(t, 12)
				prepare(f)
				f.checkAges(8 * time.Second)
			})
		})
	}
}

// oldest returns the greatest age that a VM's document may have had in some time.
func (f *fleet) oldest(length time.Duration) time.Duration {
	worst := time.Duration(0)
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(37 * time.Millisecond)
		synctest.Wait()
		for _, s := range f.vms {
			worst = max(worst, s.DocumentAge())
		}
	}
	return worst
}

// VMs that lose the store for nine seconds must use keys for two fifths of them, and one that only its
// peers reach for all of them.
func TestAgesOfDocuments(t *testing.T) {
	const calm = revocationBound - 9*time.Second*2/5 - 50*time.Millisecond
	for _, size := range []int{6, 85, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRevocationFleet(t, size)
				f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Delay: 55 * time.Millisecond})
				time.Sleep(3 * time.Second)
				before := f.calls()
				if age := f.oldest(4 * time.Second); age > calm {
					t.Errorf("a document may be %v old, want at most %v", age, calm)
				}
				t.Logf("%d calls to the store in 4 s", f.calls()-before)
				reading, leader := f.watchersOf()
				f.reach[reading[0]].refused.Store(true)
				f.reach[leader].refused.Store(true)
				if age := f.oldest(8 * time.Second); age >= revocationBound {
					t.Errorf("a document may be %v old, where the store refuses two VMs", age)
				}
				f.reach[reading[0]].silent.Store(true)
				f.reach[leader].silent.Store(true)
				if age := f.oldest(8 * time.Second); age >= revocationBound {
					t.Errorf("a document may be %v old, where the store is silent to two VMs", age)
				}
			})
		})
	}
}

// A VM without a way to the store or to peers knows that its document ages.
func TestDocumentAgesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRevocationFleet(t, 6)
		for _, r := range f.reach {
			r.silent.Store(true)
		}
		time.Sleep(revocationBound)
		for name, s := range f.vms {
			if age := s.DocumentAge(); age < revocationBound {
				t.Errorf("%s proves an age of %v, %v after the store went silent", name, age, revocationBound)
			}
		}
		for _, r := range f.reach {
			r.silent.Store(false)
		}
		time.Sleep(storeTimeout + time.Second)
		for name, s := range f.vms {
			if age := s.DocumentAge(); age > 2*time.Second {
				t.Errorf("%s: age %v a second after the outage", name, age)
			}
		}
	})
}

// suspendedClock is a boot clock of a machine that was suspended.
type suspendedClock struct {
	kernel.BootClock
	suspended time.Duration
}

func (c suspendedClock) SinceBoot() time.Duration { return c.BootClock.SinceBoot() + c.suspended }

func TestSuspensionAgesTheDocument(t *testing.T) {
	clock := &suspendedClock{BootClock: kernel.NewMonotonicBootClock()}
	c := confirmations{boot: clock}
	c.record(confirmation{known: true, at: clock.SinceBoot()})
	clock.suspended = time.Minute
	if age := c.age(); age < time.Minute {
		t.Errorf("age %v after a suspension of a minute", age)
	}
}

// A peer can't make a document seem newer than now.
func TestConfirmationsAreNotInTheFuture(t *testing.T) {
	c := confirmations{boot: kernel.NewMonotonicBootClock()}
	a := pollAnswer{Confirmed: true, ConfirmedAt: time.Hour}
	c.record(a.change("doc", c.boot.SinceBoot()).confirmed)
	if age := c.age(); age < 0 {
		t.Errorf("age %v", age)
	}
}
