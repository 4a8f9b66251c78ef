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

// pausingStore lets a process stand still after a call that went through,
// before it sees the answer.
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

// opOf are the calls of the steps of a claim at the platform.
var opOf = map[ClaimStep]platform.Op{
	ClaimCreate: platform.OpCreate, ClaimRead: platform.OpGet, ClaimTakeOver: platform.OpUpdate,
}

// released returns a fleet whose key was claimed once by a run that ended not
// run, so that a claim goes through create, read and take-over.
func released(t *testing.T) (f *fleet, a, b *Keys) {
	f = newFleet(t)
	if _, err := f.do(f.start("c"), key(nil), "x", outcome.NotRun); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Minute)
	return f, f.start("a"), f.start("b")
}

// wantRuns checks that the key was run once and its answer is kept.
func (f *fleet) wantRuns(k *Keys, runs int) {
	f.t.Helper()
	got, err := f.do(k, key(nil), "x", outcome.Answered)
	if f.runs[key(nil)] != runs || runs == 1 && got != "answer to x" {
		f.t.Errorf("%d runs, want %d; then %q, %v", f.runs[key(nil)], runs, got, err)
	}
}

// TestPausedClaimantNeverMeansASecondRun has a claimant stand still for a
// minute after each of its calls, while another one claims the same key.
func TestPausedClaimantNeverMeansASecondRun(t *testing.T) {
	for step, op := range opOf {
		for _, fresh := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, fresh key %v", step, fresh), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, a, b := released(t)
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
					f.wantRuns(f.start("c"), 1)
				})
			})
		}
	}
}

// TestClaimantThatDiesLeavesNoSecondRun ends the claimant after each of its
// calls: its claim may hold the key for good, which is unknown, never a run of
// somebody else beside one that may go on.
func TestClaimantThatDiesLeavesNoSecondRun(t *testing.T) {
	for step, op := range opOf {
		t.Run(string(step), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, a, b := released(t)
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
				f.start("a") // the next process of that VM
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

// TestStaleReadsMeanNoSecondRun claims a key while reads show a claim as it
// was: released, or not there.
func TestStaleReadsMeanNoSecondRun(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("released before %v", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, a, b := released(t)
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
				f.wantRuns(b, 1)
			})
		})
	}
}

// TestSilentPlatformMeansNoSecondRun has the answers of one step stay away for
// as long as the client waits; the writes have no effect, an effect, or one
// that comes late.
func TestSilentPlatformMeansNoSecondRun(t *testing.T) {
	const clientWaits = 3 * time.Second
	for step, op := range opOf {
		for _, fault := range []platformtest.Fault{platformtest.FaultLostRequest, platformtest.FaultLostResponse, platformtest.FaultDelayedEffect} {
			t.Run(fmt.Sprintf("%s/%d", step, fault), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, a, b := released(t)
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
					f.wantRuns(a, 1)
				})
			})
		}
	}
}

// TestEndThatIsNotRecordedIsTold has the platform silent when the end of a run
// is to be written: others learn it from the instance that ran.
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
		f.wantRuns(b, 1)
		time.Sleep(time.Minute)
		f.wantRuns(b, 1)
	})
}
