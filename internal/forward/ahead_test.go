package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/outcome"
)

// droppingTarget has dropped a connection by its second request. One that lies
// resets fresh connections too, once it is told to.
func droppingTarget(t *testing.T, lies *atomic.Bool) (address string, runs *atomic.Int32) {
	t.Helper()
	runs = &atomic.Int32{}
	seen := make(map[string]bool) // by the caller's side of a connection; requests come one by one
	address = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if seen[r.RemoteAddr] || lies.Load() {
			panic(http.ErrAbortHandler)
		}
		seen[r.RemoteAddr] = true
		runs.Add(1)
		_, _ = io.WriteString(w, "ok")
	})
	return address, runs
}

// steppedClock stands still but for steps between requests, so that no exchange
// takes any time by it.
type steppedClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *steppedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// step lets connections be idle for a second.
func (c *steppedClock) step() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(time.Second)
}

// newSteppedBench is a bench with targets, the clock of which only steps move.
func newSteppedBench(t *testing.T, targets ...string) (*bench, *steppedClock) {
	t.Helper()
	doc := document(targets...)
	doc.Classes[0].TimeoutMS = 60000
	clock := &steppedClock{now: time.Now()}
	return newBenchWithClock(t, doc, nil, newTestLogger(io.Discard), clock), clock
}

// Targets had dropped idle connections, and requests on them were sent to other
// targets, which did not know their objects, or failed when the retry budget was
// spent. The same target is asked again, on a fresh connection.
func TestStaleConnectionIsNoTry(t *testing.T) {
	address, runs := droppingTarget(t, &atomic.Bool{})
	b, clock := newSteppedBench(t, address)
	for i := range 4 {
		clock.step()
		resp, body, err := b.call(t, http.MethodGet, "/svc/get", nil)
		if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
			t.Fatalf("request %d: %v, %q, %v", i, resp, body, err)
		}
	}
	if n := runs.Load(); n != 4 {
		t.Errorf("%d runs, want 4", n)
	}
	stale := 0
	for _, r := range b.admission.released {
		if r.Outcome == outcome.Answered {
			continue
		}
		stale++
		if !r.Canceled {
			t.Errorf("the target is blamed for a stale connection: %+v", r)
		}
	}
	if stale == 0 {
		t.Error("no connection was stale")
	}
}

// A request that may not be repeated may have run on a connection that was reset.
func TestStaleConnectionOfARequestThatMayNotRepeat(t *testing.T) {
	address, runs := droppingTarget(t, &atomic.Bool{})
	b, clock := newSteppedBench(t, address)
	if resp, _, err := b.call(t, http.MethodGet, "/svc/get", nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	clock.step()
	resp, _, err := b.call(t, http.MethodPost, "/svc/commit", nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%v, %v; want that nobody knows whether it ran", resp, err)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// A target that resets idle and fresh connections alike costs no request its
// second target.
func TestTargetThatResetsAllIsLeft(t *testing.T) {
	var lies atomic.Bool
	liar, _ := droppingTarget(t, &lies)
	sound := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") })
	b, clock := newSteppedBench(t, liar, sound)
	if _, body, err := b.call(t, http.MethodGet, "/svc/get", nil); err != nil || body != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	lies.Store(true)
	clock.step()
	b.admission.sticky = true
	resp, body, err := b.call(t, http.MethodGet, "/svc/get", nil)
	if err != nil || resp.StatusCode != http.StatusOK || body != "sound" {
		t.Errorf("%v, %q, %v; want the second target's answer", resp, body, err)
	}
}

// Connections are opened ahead for requests that may be repeated, within what
// requests have earned; the next request finds one open.
func TestHandlerOpensAhead(t *testing.T) {
	s := newScripted(t)
	s.set(whole(okAnswer))
	b := newBench(t, document(s.address), nil, newTestLogger(io.Discard))
	target := b.handler.deps.Config.Current().Service("svc").AllTargets[0]
	b.handler.deps.Expected = func() []*config.TargetIndex { return []*config.TargetIndex{target} }

	b.handler.OpenAhead(t.Context())
	if b.handler.conns.HasOpen(target) {
		t.Fatal("a connection was opened although no request has earned one")
	}
	b.handler.recordRemote(&exchange{match: config.Match{Service: b.handler.deps.Config.Current().Service("svc")}, repeatable: true})
	b.handler.OpenAhead(t.Context())
	waitFor(t, func() bool { return b.handler.conns.HasOpen(target) })
}

// While many idle connections are stale none is opened ahead.
func TestNothingAheadWhileMostAreStale(t *testing.T) {
	address, _ := droppingTarget(t, &atomic.Bool{})
	b, clock := newSteppedBench(t, address)
	for range 4 { // three of them meet a stale connection
		clock.step()
		if _, body, err := b.call(t, http.MethodGet, "/svc/get", nil); err != nil || body != "ok" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	asked := false
	b.handler.deps.Expected = func() []*config.TargetIndex {
		asked = true
		return nil
	}
	b.handler.OpenAhead(t.Context())
	if asked {
		t.Error("targets to connect to were asked for")
	}
}

// waitFor waits until something holds; the test's own time bounds it.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			t.Fatal("it did not come to hold")
		case <-time.After(time.Millisecond):
		}
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                       0,
		"timeout=10":             10 * time.Second,
		"max=100, Timeout=5":     5 * time.Second,
		"timeout=":               0,
		"timeout=-1":             0,
		"timeout=99999999999999": 0,
		"timeout = 7, max=3":     0, // not the header's form
		"timeout=1.5":            0,
	} {
		if got := keepAliveTimeout(header); got != want {
			t.Errorf("%q is %v, want %v", header, got, want)
		}
	}
}

func TestRepeatableShares(t *testing.T) {
	s := newRepeatableShares()
	if s.most("svc") {
		t.Error("a service without requests has requests that may be repeated")
	}
	for range 40 {
		s.note("svc", true)
		s.note("mixed", true)
		s.note("mixed", false)
		s.note("mixed", false)
	}
	if !s.most("svc") || s.most("mixed") {
		t.Errorf("svc %v, mixed %v; want svc only", s.most("svc"), s.most("mixed"))
	}
	for range 40 {
		s.note("svc", false)
	}
	if s.most("svc") {
		t.Error("a service counts long after its requests have changed")
	}
	s.keep(config.NewLiveSnapshot(1, document("127.0.0.1:1")))
	if _, ok := s.byService["mixed"]; ok {
		t.Error("a service that is in no document any more is kept")
	}
}
