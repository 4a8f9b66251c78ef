package idempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/outcome"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/telemetry"
)

type noConfig struct{}

func (noConfig) Current() *config.Snapshot               { return nil }
func (noConfig) Subscribe(func(*config.Snapshot)) func() { return func() {} }

// fleet is a set of instances with a common store and network.
type fleet struct {
	t     *testing.T
	hub   *peertest.Hub
	store *platformtest.Store
	next  uint64

	mu   sync.Mutex
	runs map[string]int // number of runs per key, excluding those with the outcome NotRun
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, hub: peertest.NewHub(1), store: platformtest.NewStore(), runs: make(map[string]int)}
}

// start starts or restarts a VM with a new incarnation.
func (f *fleet) start(vm string) *Keys {
	f.t.Helper()
	f.next++
	n := f.hub.Network(vm)
	for _, other := range []string{"a", "b", "c"} {
		n.SetAddress(other, peertest.Address(other))
	}
	k, err := NewKeys(Deps{
		Self: Instance{vm, f.next}, Store: f.store, Network: n, Config: noConfig{},
		Clock: kernel.SystemClock{}, Logger: telemetry.Discard(), Metrics: metrics.NewSet(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return k
}

// do handles a request with a key. If the claim is granted, it runs the request and
// finishes with the given outcome. It returns the body of a replayed response, else "".
func (f *fleet) do(k *Keys, key, body string, end outcome.Outcome) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := k.Claim(ctx, &Request{Service: "s", Key: key, Fingerprint: FingerprintOf("POST", "/", []byte(body))})
	if err != nil {
		return "", err
	}
	if a := c.Replay(); a != nil {
		return string(a.Body), nil
	}
	if end != outcome.NotRun {
		f.mu.Lock()
		f.runs[key]++
		f.mu.Unlock()
	}
	time.Sleep(10 * time.Millisecond)
	var a *Response
	if end == outcome.Answered {
		a = &Response{Status: http.StatusOK, Header: http.Header{"X": {"y"}}, Body: []byte("answer to " + body)}
	}
	c.Finish(end, a)
	return "", nil
}

// key returns a key with a ticket of the owner, or one without a ticket if it is nil.
func key(owner *Keys) string {
	if owner == nil {
		return "plain key"
	}
	return owner.issueTicket().String() + keySeparator + "mine"
}

func wantOutcome(t *testing.T, err error, want outcome.Outcome) {
	t.Helper()
	var e *outcome.Error
	if !errors.As(err, &e) || e.Outcome != want || e.Step != outcome.StepClaim {
		t.Errorf("got %v, want outcome %s at step claim", err, want)
	}
}

// testOwners runs a test with a key owned by the first VM, with one owned by the second, and
// with one claimed in the platform store.
func testOwners(t *testing.T, test func(t *testing.T, f *fleet, a, b *Keys, key string)) {
	for _, way := range []string{"ticket of the first", "ticket of the second", "platform"} {
		t.Run(way, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				a, b := f.start("a"), f.start("b")
				owner := map[string]*Keys{"ticket of the first": a, "ticket of the second": b}[way]
				test(t, f, a, b, key(owner))
			})
		})
	}
}

func TestRepeatedKeyGetsRecordedResponse(t *testing.T) {
	testOwners(t, func(t *testing.T, f *fleet, a, b *Keys, key string) {
		if _, err := f.do(a, key, "x", outcome.Answered); err != nil {
			t.Fatal(err)
		}
		for _, k := range []*Keys{a, b} {
			if got, err := f.do(k, key, "x", outcome.Answered); got != "answer to x" || err != nil {
				t.Errorf("VM %s: got %q, %v", k.deps.Self.VM, got, err)
			}
		}
		if f.runs[key] != 1 {
			t.Errorf("%d runs", f.runs[key])
		}
	})
}

func TestRepeatedKeyWaitsForRun(t *testing.T) {
	testOwners(t, func(t *testing.T, f *fleet, a, b *Keys, key string) {
		var wg sync.WaitGroup
		for _, k := range []*Keys{a, b, a, b} {
			wg.Go(func() {
				if _, err := f.do(k, key, "x", outcome.Answered); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if f.runs[key] != 1 {
			t.Errorf("%d runs", f.runs[key])
		}
	})
}

func TestKeyOfDifferentRequestIsRejected(t *testing.T) {
	testOwners(t, func(t *testing.T, f *fleet, a, b *Keys, key string) {
		if _, err := f.do(a, key, "x", outcome.Answered); err != nil {
			t.Fatal(err)
		}
		for _, k := range []*Keys{a, b} {
			_, err := f.do(k, key, "other", outcome.Answered)
			wantOutcome(t, err, outcome.NotRun)
		}
	})
}

func TestNotRunReleasesKeyAndUnknownDoesNot(t *testing.T) {
	testOwners(t, func(t *testing.T, f *fleet, a, b *Keys, key string) {
		for _, k := range []*Keys{a, b, a} {
			if _, err := f.do(k, key, "x", outcome.NotRun); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if _, err := f.do(b, key, "x", outcome.Unknown); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for _, k := range []*Keys{a, b} {
			_, err := f.do(k, key, "x", outcome.Answered)
			wantOutcome(t, err, outcome.Unknown)
		}
		if f.runs[key] != 1 {
			t.Errorf("%d runs", f.runs[key])
		}
	})
}

func TestTicketNeedsNoPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.start("a"), f.start("b")
		f.store.SetOutage(true)
		k := key(a)
		for _, at := range []*Keys{b, a} {
			if _, err := f.do(at, k, "x", outcome.Answered); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Second)
		}
		_, err := f.do(a, key(nil), "x", outcome.Answered)
		wantOutcome(t, err, outcome.Unknown)
		if f.runs[k] != 1 || f.runs[key(nil)] != 0 {
			t.Errorf("runs: %v", f.runs)
		}
	})
}

func TestDeadOwnerNeverMeansASecondRun(t *testing.T) {
	testOwners(t, func(t *testing.T, f *fleet, a, b *Keys, key string) {
		if _, err := f.do(a, key, "x", outcome.Answered); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		f.start("a")
		f.start("b")
		c := f.start("c")
		got, err := f.do(c, key, "x", outcome.Answered)
		if _, ticket := ParseKey(key); ticket {
			wantOutcome(t, err, outcome.Unknown)
		} else if got != "answer to x" {
			t.Errorf("after the restart of the holder: got %q, %v, want the stored response", got, err)
		}
		if f.runs[key] != 1 {
			t.Errorf("%d runs", f.runs[key])
		}
	})
}

func TestOwnerThatDiesWhileRunningLeavesUnknown(t *testing.T) {
	testOwners(t, func(t *testing.T, f *fleet, a, _ *Keys, key string) {
		go f.do(a, key, "x", outcome.Answered)
		synctest.Wait()
		f.start("a")
		f.start("b")
		f.hub.Partition("a", "c")
		_, err := f.do(f.start("c"), key, "x", outcome.Answered)
		wantOutcome(t, err, outcome.Unknown)
		f.hub.Heal()
		_, err = f.do(f.start("c"), key, "x", outcome.Answered)
		if _, ticket := ParseKey(key); ticket {
			wantOutcome(t, err, outcome.Unknown)
		}
		time.Sleep(time.Minute)
		if f.runs[key] != 1 {
			t.Errorf("%d runs", f.runs[key])
		}
	})
}

func TestPausedOwnerIsNotOvertaken(t *testing.T) {
	testOwners(t, func(t *testing.T, f *fleet, a, b *Keys, key string) {
		go f.do(a, key, "x", outcome.Answered)
		time.Sleep(5 * time.Millisecond)
		f.hub.Pause("a")
		time.Sleep(time.Minute)
		_, _ = f.do(b, key, "x", outcome.Answered)
		f.hub.Resume("a")
		time.Sleep(time.Minute)
		if got, err := f.do(b, key, "x", outcome.Answered); got != "answer to x" {
			t.Errorf("after the pause: got %q, %v", got, err)
		}
		if f.runs[key] != 1 {
			t.Errorf("%d runs", f.runs[key])
		}
	})
}

// Guards against a second run, and against a key that is blocked forever, after a store
// fault at any write of a claim.
func TestPlatformFaultsAtEveryWriteOfAClaim(t *testing.T) {
	faults := map[string]platformtest.Fault{
		"unavailable": platformtest.FaultUnavailable, "lost request": platformtest.FaultLostRequest,
		"lost answer": platformtest.FaultLostResponse, "late effect": platformtest.FaultDelayedEffect,
	}
	for name, fault := range faults {
		for _, write := range []platform.Op{platform.OpCreate, platform.OpUpdate} {
			for _, first := range []outcome.Outcome{outcome.Answered, outcome.NotRun, outcome.Unknown} {
				t.Run(fmt.Sprintf("%s of %v, first %s", name, write, first), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testFaultyClaim(t, fault, write, first) })
				})
			}
		}
	}
}

func testFaultyClaim(t *testing.T, fault platformtest.Fault, write platform.Op, first outcome.Outcome) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	left := 3
	f.store.SetHook(func(_ context.Context, c platformtest.Call) platformtest.Fault {
		if c.Op == write && left > 0 {
			left--
			return fault
		}
		return platformtest.FaultNone
	})
	_, _ = f.do(a, key(nil), "x", first)
	time.Sleep(time.Minute)
	f.store.ReleaseDelayed()
	time.Sleep(time.Minute)
	answered := false
	for range 6 {
		for _, k := range []*Keys{b, a} {
			got, err := f.do(k, key(nil), "x", outcome.Answered)
			answered = answered || got != "" && err == nil
			time.Sleep(time.Minute)
			f.store.ReleaseDelayed()
		}
	}
	if f.runs[key(nil)] > 1 {
		t.Errorf("%d runs", f.runs[key(nil)])
	}
	if first != outcome.Unknown && !answered {
		t.Error("the key was never answered after the store recovered")
	}
}

// Guards against a second run under concurrent random faults of the store, the network and
// the processes.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		testOwners(t, func(t *testing.T, f *fleet, a, b *Keys, key string) {
			random := rand.New(rand.NewPCG(seed, seed))
			var mu sync.Mutex
			roll := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(n)
			}
			f.store.SetHook(func(context.Context, platformtest.Call) platformtest.Fault {
				time.Sleep(time.Duration(roll(300)) * time.Millisecond)
				return platformtest.Fault(max(0, roll(8)-3))
			})
			f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Drop: 0.3, Duplicate: 0.2, Jitter: 200 * time.Millisecond})
			vms := []*Keys{a, b, f.start("c")}
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					time.Sleep(time.Duration(roll(3000)) * time.Millisecond)
					mu.Lock()
					i := random.IntN(len(vms))
					if random.IntN(6) == 0 {
						vms[i] = f.start(vms[i].deps.Self.VM)
					}
					k := vms[i]
					mu.Unlock()
					_, _ = f.do(k, key, "x", outcome.Outcome(roll(3)))
					f.store.ReleaseDelayed()
				})
			}
			wg.Wait()
			time.Sleep(time.Minute)
			if f.runs[key] > 1 {
				t.Errorf("seed %d: %d runs", seed, f.runs[key])
			}
		})
	}
}

func TestTicketIsFetchedInBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.start("a"), f.start("b")
		b1 := b.deps.Self
		var answer atomic.Value
		var over atomic.Bool
		a.Subscribe(func() {
			if !over.Load() {
				answer.Store(a.Ticket(b1.VM, b1.Incarnation))
			}
		})
		f.hub.Partition("a", "b")
		if got := a.Ticket(b1.VM, b1.Incarnation); got != "" {
			t.Errorf("got ticket %q of an unreachable VM, want none", got)
		}
		time.Sleep(5 * time.Second)
		f.hub.Heal()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got, ok := ParseKey(answer.Load().(string) + keySeparator + "own"); !ok || got.Instance != b1 {
			t.Errorf("got %q, want a ticket of %v", answer.Load(), b1)
		}
		over.Store(true)
		f.start("b")
		a.renewAll()
		if got := a.Ticket(b1.VM, b1.Incarnation); got != "" {
			t.Errorf("got ticket %q of an instance that is gone, want none", got)
		}
		time.Sleep(time.Minute)
	})
}

func TestTicketsOfMembersArePrefetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b, c := f.start("a"), f.start("b"), f.start("c")
		view := func(members ...*Keys) *membership.View {
			v := &membership.View{Self: "a"}
			for _, k := range members {
				v.Members = append(v.Members, membership.Member{Name: k.deps.Self.VM, Incarnation: k.deps.Self.Incarnation})
			}
			return v
		}
		f.hub.Partition("a", "b")
		a.HandleViewChange(view(a, b, c))
		time.Sleep(10 * time.Second)
		f.hub.Heal()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		for _, k := range []*Keys{b, c} {
			if got := a.Ticket(k.deps.Self.VM, k.deps.Self.Incarnation); got == "" {
				t.Errorf("no ticket of %s", k.deps.Self.VM)
			}
		}
		a.HandleViewChange(view(a, c))
		if n := len(a.tickets); n != 1 {
			t.Errorf("%d tickets are kept, want 1", n)
		}
		time.Sleep(time.Minute)
	})
}
