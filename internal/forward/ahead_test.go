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

// newDroppingTarget starts a target that resets a connection at its second request; if
// resetAll is set, also at the first one.
func newDroppingTarget(t *testing.T, resetAll *atomic.Bool) (address string, runs *atomic.Int32) {
	t.Helper()
	runs = &atomic.Int32{}
	var seen sync.Map // by remote address of the connection
	address = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if _, again := seen.LoadOrStore(r.RemoteAddr, true); again || resetAll.Load() {
			panic(http.ErrAbortHandler)
		}
		runs.Add(1)
		_, _ = io.WriteString(w, "ok")
	})
	return address, runs
}

// steppedClock only advances by calls of step, so that exchanges take no time.
type steppedClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *steppedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// step advances the clock by a second, during which connections are idle.
func (c *steppedClock) step() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(time.Second)
}

// stepWhenIdle advances the clock once the connection of the last exchange is idle. The caller has its
// response before, and a connection that became idle after the step would not count as stale.
func (c *steppedClock) stepWhenIdle(t *testing.T, b *testProxy) {
	t.Helper()
	waitFor(t, func() bool { return b.handler.conns.IdleCount() == 1 })
	c.step()
}

// newSteppedProxy returns a proxy with a stepped clock.
func newSteppedProxy(t *testing.T, targets ...string) (*testProxy, *steppedClock) {
	t.Helper()
	doc := testDocument(targets...)
	doc.Classes[0].TimeoutMS = 60000
	clock := &steppedClock{now: time.Now()}
	return newTestProxyWithClock(t, doc, nil, newTestLogger(io.Discard), clock), clock
}

// After targets had closed idle connections, requests on these were sent to other
// targets, which had not cached their objects, or failed when the retry budget was
// exhausted. They must be sent to the same target again, on a new connection.
func TestStaleConnectionIsNoTry(t *testing.T) {
	address, runs := newDroppingTarget(t, &atomic.Bool{})
	b, clock := newSteppedProxy(t, address)
	for i := range 4 {
		if i > 0 {
			clock.stepWhenIdle(t, b)
		}
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

// A request that is not repeatable may have run if its connection was reset, so it
// is not sent again.
func TestStaleConnectionOfARequestThatMayNotRepeat(t *testing.T) {
	address, runs := newDroppingTarget(t, &atomic.Bool{})
	b, clock := newSteppedProxy(t, address)
	if resp, _, err := b.call(t, http.MethodGet, "/svc/get", nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	clock.stepWhenIdle(t, b)
	resp, _, err := b.call(t, http.MethodPost, "/svc/commit", nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%v, %v; want 502 for an unknown outcome", resp, err)
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// If a target resets a new connection after a stale one, the request is sent to
// another target.
func TestTargetThatResetsAllIsLeft(t *testing.T) {
	var resetAll atomic.Bool
	resetting, _ := newDroppingTarget(t, &resetAll)
	healthy := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") })
	b, clock := newSteppedProxy(t, resetting, healthy)
	if _, body, err := b.call(t, http.MethodGet, "/svc/get", nil); err != nil || body != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	clock.stepWhenIdle(t, b)
	resetAll.Store(true)
	b.admission.sticky = true
	resp, body, err := b.call(t, http.MethodGet, "/svc/get", nil)
	if err != nil || resp.StatusCode != http.StatusOK || body != "sound" {
		t.Errorf("%v, %q, %v; want the second target's answer", resp, body, err)
	}
}

// Connections are opened ahead for repeatable requests, within the budget that
// earlier requests have earned.
func TestHandlerOpensAhead(t *testing.T) {
	s := newScripted(t)
	s.set(fullAnswer(okAnswer))
	b := newTestProxy(t, testDocument(s.address), nil, newTestLogger(io.Discard))
	target := b.handler.deps.Config.Current().Service("svc").AllTargets[0]
	b.handler.deps.Expected = func() []*config.TargetIndex { return []*config.TargetIndex{target} }

	b.handler.OpenAhead(t.Context())
	if b.handler.conns.HasOpen(target) {
		t.Fatal("a connection was opened without any budget")
	}
	b.handler.recordRemote(&exchange{match: config.Match{Service: b.handler.deps.Config.Current().Service("svc")}, repeatable: true})
	b.handler.OpenAhead(t.Context())
	waitFor(t, func() bool { return b.handler.conns.HasOpen(target) })
}

// While many idle connections are stale, none is opened ahead.
func TestNothingAheadWhileMostAreStale(t *testing.T) {
	address, _ := newDroppingTarget(t, &atomic.Bool{})
	b, clock := newSteppedProxy(t, address)
	for i := range 4 { // the last three meet a stale connection
		if i > 0 {
			clock.stepWhenIdle(t, b)
		}
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
		t.Error("expected targets were requested")
	}
}

// waitFor waits until the condition is true, for at most 10 seconds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatal("the condition did not become true")
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
		"timeout = 7, max=3":     0, // not in the header's syntax
		"timeout=1.5":            0,
	} {
		if got := keepAliveTimeout(header); got != want {
			t.Errorf("%q is %v, want %v", header, got, want)
		}
	}
}

func TestRepeatableShares(t *testing.T) {
	s := newRepeatableShares()
	if s.isMostlyRepeatable("svc") {
		t.Error("a service without requests counts as mostly repeatable")
	}
	for range 40 {
		s.record("svc", true)
		s.record("mixed", true)
		s.record("mixed", false)
		s.record("mixed", false)
	}
	if !s.isMostlyRepeatable("svc") || s.isMostlyRepeatable("mixed") {
		t.Errorf("svc %v, mixed %v; want svc only", s.isMostlyRepeatable("svc"), s.isMostlyRepeatable("mixed"))
	}
	for range 40 {
		s.record("svc", false)
	}
	if s.isMostlyRepeatable("svc") {
		t.Error("a service still counts as mostly repeatable after its requests have changed")
	}
	s.retain(config.NewLiveSnapshot(1, testDocument("127.0.0.1:1")))
	if _, ok := s.byService["mixed"]; ok {
		t.Error("a service that is no longer in the document is kept")
	}
}
