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

// revocationBound is the time within which removed keys must be refused by all VMs.
const revocationBound = 5 * time.Second

// newRevocationFleet starts a fleet whose deployment has a key revocation bound.
func newRevocationFleet(t *testing.T, size int) *fleet {
	f := newFleet(t, size)
	f.revocation = revocationBound
	timing := Timings(jsonDecoder{}.Kinds(), f.bounds())[jsonDecoder{}.Kinds().Document]
	f.store.WatchTimeout = timing.WatchTimeout
	for _, m := range f.view.Members {
		f.restart(m.Name)
	}
	time.Sleep(3 * time.Second)
	return f
}

// checkDocumentAges writes documents for the given duration and checks that DocumentAge of a VM without
// the latest document is never less than the time since that was written.
func (f *fleet) checkDocumentAges(duration time.Duration) {
	f.t.Helper()
	end := time.Now().Add(duration)
	written := time.Now()
	for time.Now().Before(end) {
		if time.Since(written) > 700*time.Millisecond {
			f.writeDocument()
			written = time.Now()
		}
		time.Sleep(13 * time.Millisecond)
		synctest.Wait()
		for name, s := range f.vms {
			age := s.DocumentAge()
			if v := s.View(); v != nil && v.Snapshot.Generation < f.gen && age < time.Since(written) {
				f.t.Fatalf("%s: document age %v, but it lacks the document written %v ago", name, age, time.Since(written))
			}
		}
	}
}

func TestDocumentAgeIsAnUpperBound(t *testing.T) {
	tests := map[string]func(f *fleet){
		"calm": func(*fleet) {},
		"delayed and lost messages": func(f *fleet) {
			f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Drop: 0.05, Delay: 55 * time.Millisecond, Jitter: 400 * time.Millisecond})
		},
		"a slow store": func(f *fleet) {
			f.store.SetHook(func(context.Context, platformtest.Call) platformtest.Fault {
				time.Sleep(240 * time.Millisecond)
				return platformtest.FaultNone
			})
		},
		"the store refuses most VMs": func(f *fleet) {
			for i, m := range f.view.Members {
				f.access[m.Name].refused.Store(i%4 != 0)
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
				f.checkDocumentAges(8 * time.Second)
			})
		})
	}
}

// maxDocumentAge returns the greatest DocumentAge of all VMs within the given duration.
func (f *fleet) maxDocumentAge(duration time.Duration) time.Duration {
	maxAge := time.Duration(0)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(37 * time.Millisecond)
		synctest.Wait()
		for _, s := range f.vms {
			maxAge = max(maxAge, s.DocumentAge())
		}
	}
	return maxAge
}

// VMs that lose the store for nine seconds must accept keys for two fifths of that time, and VMs that
// reach only their peers must accept them for all of it.
func TestAgesOfDocuments(t *testing.T) {
	const maxAge = revocationBound - 9*time.Second*2/5 - 50*time.Millisecond
	for _, size := range []int{6, 85, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRevocationFleet(t, size)
				f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Delay: 55 * time.Millisecond})
				time.Sleep(3 * time.Second)
				before := f.calls()
				if age := f.maxDocumentAge(4 * time.Second); age > maxAge {
					t.Errorf("document age %v, want at most %v", age, maxAge)
				}
				t.Logf("%d calls to the store in 4 s", f.calls()-before)
				reading, leader := f.watchersAndLeader()
				f.access[reading[0]].refused.Store(true)
				f.access[leader].refused.Store(true)
				if age := f.maxDocumentAge(8 * time.Second); age >= revocationBound {
					t.Errorf("document age %v while the store refuses two VMs", age)
				}
				f.access[reading[0]].silent.Store(true)
				f.access[leader].silent.Store(true)
				if age := f.maxDocumentAge(8 * time.Second); age >= revocationBound {
					t.Errorf("document age %v while the store does not answer two VMs", age)
				}
			})
		})
	}
}

// The document age must keep growing while the store answers no VM, and recover after the outage.
func TestDocumentAgesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRevocationFleet(t, 6)
		for _, a := range f.access {
			a.silent.Store(true)
		}
		time.Sleep(revocationBound)
		for name, s := range f.vms {
			if age := s.DocumentAge(); age < revocationBound {
				t.Errorf("%s: document age %v, %v after the store stopped answering", name, age, revocationBound)
			}
		}
		for _, a := range f.access {
			a.silent.Store(false)
		}
		time.Sleep(storeTimeout + time.Second)
		for name, s := range f.vms {
			if age := s.DocumentAge(); age > 2*time.Second {
				t.Errorf("%s: document age %v a second after the outage", name, age)
			}
		}
	})
}

// suspendedClock is the boot clock of a machine that was suspended for some time.
type suspendedClock struct {
	kernel.BootClock
	suspended time.Duration
}

func (c suspendedClock) SinceBoot() time.Duration { return c.BootClock.SinceBoot() + c.suspended }

func TestSuspensionAgesTheDocument(t *testing.T) {
	clock := &suspendedClock{BootClock: kernel.NewMonotonicBootClock()}
	c := confirmationTracker{boot: clock}
	c.record(confirmation{known: true, at: clock.SinceBoot()})
	clock.suspended = time.Minute
	if age := c.age(); age < time.Minute {
		t.Errorf("age %v after a suspension of a minute", age)
	}
}

// A peer's answer must not confirm a document at a time in the future.
func TestConfirmationsAreNotInTheFuture(t *testing.T) {
	c := confirmationTracker{boot: kernel.NewMonotonicBootClock()}
	a := pollAnswer{Confirmed: true, ConfirmedAt: time.Hour}
	c.record(a.toChange("doc", "vm-peer", c.boot.SinceBoot()).confirmed)
	if age := c.age(); age < 0 {
		t.Errorf("age %v", age)
	}
}

// VMs that can't reach the store must find the one VM that still does, and keep to it: keys must be accepted nearly
// all the time, whichever VM it is.
func TestAgesOfDocumentsWithOneVMConnected(t *testing.T) {
	for _, size := range []int{6, 12, 85} {
		for connected := range 6 {
			t.Run(fmt.Sprintf("%d VMs, vm-%03d connected", size, connected), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRevocationFleet(t, size)
					f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Delay: 20 * time.Millisecond})
					for i, m := range f.view.Members {
						f.access[m.Name].silent.Store(i != connected)
					}
					if share := f.expiredShare(30 * time.Second); share > 0.01 {
						t.Errorf("the document was too old for keys in %.3f of the time, want at most 0.01", share)
					}
				})
			})
		}
	}
}

// A VM whose preferred source does not answer must go on to other peers during an outage.
func TestAgesOfDocumentsBesideASilentPeer(t *testing.T) {
	const size = 12
	for silent := range size {
		t.Run(fmt.Sprintf("vm-%03d silent", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRevocationFleet(t, size)
				f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Delay: 20 * time.Millisecond})
				connected := (silent + 1) % size
				for i, m := range f.view.Members {
					f.access[m.Name].silent.Store(i != connected)
				}
				name := f.view.Members[silent].Name
				f.hub.SetFault(peertest.Any, name, peertest.Fault{Drop: 1})
				f.hub.SetFault(name, peertest.Any, peertest.Fault{Drop: 1})
				delete(f.vms, name) // its own age is not looked at
				if share := f.expiredShare(30 * time.Second); share > 0.01 {
					t.Errorf("the document was too old for keys in %.3f of the time, want at most 0.01", share)
				}
			})
		})
	}
}

// expiredShare returns the share of the time, over all VMs, in which DocumentAge was above the revocation bound.
func (f *fleet) expiredShare(duration time.Duration) float64 {
	expired, all := 0, 0
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(37 * time.Millisecond)
		synctest.Wait()
		for _, s := range f.vms {
			all++
			if s.DocumentAge() >= revocationBound {
				expired++
			}
		}
	}
	return float64(expired) / float64(all)
}
