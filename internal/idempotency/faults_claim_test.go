package idempotency

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/outcome"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// pausingStore calls a hook after each call to the store, before the caller gets the
// result. The hook may block to simulate a paused process.
type pausingStore struct {
	platform.Store
	after func(op platform.Op)
}

func (s *pausingStore) Create(ctx context.Context, kind platform.Kind, name string, value []byte) (platform.Version, error) {
	v, err := s.Store.Create(ctx, kind, name, value)
	s.after(platform.OpCreate)
	return v, err
}

func (s *pausingStore) Update(ctx context.Context, kind platform.Kind, name string, value []byte, ifVersion platform.Version) (platform.Version, error) {
	v, err := s.Store.Update(ctx, kind, name, value, ifVersion)
	s.after(platform.OpUpdate)
	return v, err
}

func (s *pausingStore) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	s.after(platform.OpGet)
	return o, err
}

// opOf maps the steps of a claim to store operations.
var opOf = map[ClaimStep]platform.Op{
	ClaimCreate: platform.OpCreate, ClaimRead: platform.OpGet, ClaimTakeOver: platform.OpUpdate,
}

// newReleasedFleet returns a fleet with a claim that was released by a run with the
// outcome NotRun, so that the next claim goes through create, read and take-over.
func newReleasedFleet(t *testing.T) (f *fleet, a, b *Keys) {
	f = newFleet(t)
	if _, err := f.do(f.start("c"), key(nil), "x", outcome.NotRun); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Minute)
	return f, f.start("a"), f.start("b")
}

// checkRuns checks the number of runs of the key and, if it is 1, that the response is
// replayed.
func (f *fleet) checkRuns(k *Keys, runs int) {
	f.t.Helper()
	got, err := f.do(k, key(nil), "x", outcome.Answered)
	if f.runs[key(nil)] != runs || runs == 1 && got != "answer to x" {
		f.t.Errorf("%d runs, want %d; a repeated request got %q, %v", f.runs[key(nil)], runs, got, err)
	}
}

// Guards against a second run if the claimant is paused for a minute after one of its
// store calls while another VM claims the same key.
func TestPausedClaimantNeverMeansASecondRun(t *testing.T) {
	for step, op := range opOf {
		for _, fresh := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, fresh key %v", step, fresh), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, a, b := newReleasedFleet(t)
					if fresh {
						f.store = platformtest.NewStore()
						a.deps.Store, b.deps.Store = f.store, f.store
					}
					var paused atomic.Bool
					a.deps.Store = &pausingStore{f.store, func(o platform.Op) {
						if o != op || !paused.CompareAndSwap(false, true) {
							return
						}
						f.hub.Pause("a")
						_, _ = f.do(b, key(nil), "x", outcome.Answered)
						time.Sleep(time.Minute)
						f.hub.Resume("a")
					}}
					_, _ = f.do(a, key(nil), "x", outcome.Answered)
					time.Sleep(time.Minute)
					if !paused.Load() && !fresh {
						t.Error("the step was not reached")
					}
					f.checkRuns(f.start("c"), 1)
				})
			})
		}
	}
}

// Guards against a second run if the claimant's process ends after one of its store
// calls. If its claim was stored, the outcome of the key stays unknown, since the run may
// have begun.
func TestClaimantThatDiesLeavesNoSecondRun(t *testing.T) {
	for step, op := range opOf {
		t.Run(string(step), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, a, b := newReleasedFleet(t)
				dead := make(chan struct{})
				a.deps.Store = &pausingStore{f.store, func(o platform.Op) {
					if o == op {
						<-dead
					}
				}}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_, _ = a.Claim(context.Background(), &Request{Service: "s", Key: key(nil), Fingerprint: FingerprintOf("POST", "/", []byte("x"))})
				}()
				synctest.Wait()
				f.start("a") // restarts the VM
				_, err := f.do(b, key(nil), "x", outcome.Answered)
				want := 1
				if step == ClaimTakeOver {
					want = 0
				}
				if f.runs[key(nil)] != want {
					t.Errorf("%d runs, want %d: %v", f.runs[key(nil)], want, err)
				}
				if want == 0 {
					wantOutcome(t, err, outcome.Unknown)
				}
				close(dead)
				<-ended
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a second run if the store returns stale reads, in which the claim is
// still released or does not exist yet.
func TestStaleReadsMeanNoSecondRun(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("released before %v", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, a, b := newReleasedFleet(t)
				if !first {
					f.store = platformtest.NewStore()
					a.deps.Store, b.deps.Store = f.store, f.store
				}
				f.store.Freeze()
				for _, k := range []*Keys{a, b, a, b} {
					_, _ = f.do(k, key(nil), "x", outcome.Answered)
					time.Sleep(time.Minute)
				}
				f.store.Unfreeze()
				f.checkRuns(b, 1)
			})
		})
	}
}

// Guards against a second run if a store call times out. The write may have had no
// effect, have taken effect, or take effect later.
func TestSilentPlatformMeansNoSecondRun(t *testing.T) {
	const clientWaits = 3 * time.Second
	for step, op := range opOf {
		for _, fault := range []platformtest.Fault{platformtest.FaultLostRequest, platformtest.FaultLostResponse, platformtest.FaultDelayedEffect} {
			t.Run(fmt.Sprintf("%s/%d", step, fault), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, a, b := newReleasedFleet(t)
					var struck atomic.Bool
					f.store.SetHook(func(_ context.Context, c platformtest.Call) platformtest.Fault {
						if c.Op != op || !struck.CompareAndSwap(false, true) {
							return platformtest.FaultNone
						}
						time.Sleep(clientWaits)
						return fault
					})
					_, _ = f.do(a, key(nil), "x", outcome.Answered)
					if !struck.Load() {
						t.Error("the step was not reached")
					}
					_, _ = f.do(b, key(nil), "x", outcome.Answered)
					time.Sleep(time.Minute)
					f.store.ReleaseDelayed()
					for range 3 {
						_, _ = f.do(b, key(nil), "x", outcome.Answered)
						time.Sleep(time.Minute)
					}
					f.checkRuns(a, 1)
				})
			})
		}
	}
}

// Guards against losing an outcome that cannot be written to the store: other VMs must
// get it by querying the instance that ran the request.
func TestEndThatIsNotRecordedIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.start("a"), f.start("b")
		f.store.SetHook(func(ctx context.Context, c platformtest.Call) platformtest.Fault {
			if c.Op == platform.OpUpdate {
				<-ctx.Done()
			}
			return platformtest.FaultNone
		})
		if _, err := f.do(a, key(nil), "x", outcome.Answered); err != nil {
			t.Fatal(err)
		}
		f.checkRuns(b, 1)
		time.Sleep(time.Minute)
		f.checkRuns(b, 1)
	})
}
