package forward

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/measure"
	"masticturn/internal/outcome"
	"masticturn/internal/telemetry"
)

// observer keeps what it hears.
type observer struct{ heard []measure.Observation }

func (o *observer) Observe(ob measure.Observation) { o.heard = append(o.heard, ob) }

func TestTargetsOwnWordIsPassedOn(t *testing.T) {
	tests := []struct {
		name   string
		header map[string]string
		status int
		want   []measure.Observation
	}{
		{"load only", map[string]string{edge.HeaderTargetLoad: "2/4"}, http.StatusOK, nil},
		{
			"draining",
			map[string]string{edge.HeaderTargetDraining: "1", edge.HeaderTargetLoad: "2/4"},
			http.StatusOK,
			[]measure.Observation{{Target: "targeta", Draining: true, InFlight: 2, Slots: 4}},
		},
		{
			"shed",
			map[string]string{edge.HeaderTargetNotRun: "1", edge.HeaderTargetLoad: "x/4"},
			http.StatusServiceUnavailable,
			[]measure.Observation{{Target: "targeta", Shed: true, InFlight: -1}},
		},
	}
	for _, tt := range tests {
		address := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			for name, value := range tt.header {
				w.Header().Set(name, value)
			}
			w.WriteHeader(tt.status)
		})
		b := newBench(t, oneAttempt(address), nil, telemetry.Discard())
		o := &observer{}
		b.handler.deps.Measure = o
		if _, _, err := b.call(t, "GET", "/svc/a", nil); err != nil {
			t.Fatal(err)
		}
		_ = b.heldPermits()
		if len(o.heard) != len(tt.want) || len(tt.want) == 1 && o.heard[0] != tt.want[0] {
			t.Errorf("%s: heard %+v, want %+v", tt.name, o.heard, tt.want)
		}
		got := b.admission.released[0]
		if got.Draining != (tt.header[edge.HeaderTargetDraining] == "1") || got.ShedByPeer != (tt.status != http.StatusOK) {
			t.Errorf("%s: released with %+v", tt.name, got)
		}
	}
}

// The shares of all VMs never add up to more than a target's limit.
func TestConnectionSharesAddUp(t *testing.T) {
	for _, vms := range []int{1, 3, 10, 12, 361, 1400} {
		for _, connections := range []int{0, 1, 35, 360} {
			doc := document("127.0.0.1:1")
			doc.Fleet.MaxVMs = vms
			doc.Services[0].Targets[0].Connections = connections
			snap, err := config.NewSnapshot(1, doc)
			if err != nil {
				t.Fatal(err)
			}
			share := connectionShare(snap, snap.Target("targeta"))
			if share*vms > connections || (share+1)*vms <= connections {
				t.Errorf("%d VMs, %d connections: share %d", vms, connections, share)
			}
		}
	}
}

// In a fleet larger than a target's connections a VM holds one during an
// exchange only.
func TestLargeFleetKeepsNoConnections(t *testing.T) {
	const requests = 20
	var mu sync.Mutex
	connections := make(map[string]bool)
	address := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		connections[r.RemoteAddr] = true
	})
	doc := document(address)
	doc.Fleet.MaxVMs = 1400
	b := newBench(t, doc, nil, telemetry.Discard())
	for range requests {
		if resp, _, err := b.call(t, "GET", "/svc/a", nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(connections) != requests {
		t.Errorf("%d connections for %d requests", len(connections), requests)
	}
}

// A slot that was lost before the first byte is not used: another one is
// acquired, and the target sees the request once.
func TestLostPermitIsNotUsed(t *testing.T) {
	var seen atomic.Int32
	address := newTarget(t, func(http.ResponseWriter, *http.Request) { seen.Add(1) })
	b := newBench(t, document(address), nil, telemetry.Discard())
	b.admission.void = 2
	resp, _, err := b.call(t, "POST", "/svc/a", nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	if held := b.heldPermits(); held != 0 {
		t.Errorf("%d permits are still held", held)
	}
	if b.admission.attempts != 3 || seen.Load() != 1 {
		t.Errorf("%d permits acquired, want 3; the target saw %d requests, want 1", b.admission.attempts, seen.Load())
	}
	for i, r := range b.admission.released[:2] {
		if r.Outcome != outcome.NotRun || !r.Canceled {
			t.Errorf("permit %d was released with %+v", i, r)
		}
	}
}

// A target without a connection left for this VM costs nothing but another try.
func TestNoConnectionLeftIsNotRun(t *testing.T) {
	doc := document("127.0.0.1:1")
	doc.Services[0].Targets[0].Connections = 0
	b := newBench(t, doc, nil, telemetry.Discard())
	resp, _, err := b.call(t, "POST", "/svc/a", nil)
	if err != nil || resp.Header.Get(edge.HeaderOutcome) != "not-run" || resp.Header.Get(edge.HeaderStep) != "connect" {
		t.Errorf("got %v, %v", resp, err)
	}
}

// A target that refuses though it has slots free is no reason to wait for a run
// to end; one that is full or tells nothing is.
func TestRefusalWithFreeSlotsBringsCallersBackAtOnce(t *testing.T) {
	tests := map[string]time.Duration{"1/4": freeRetryAfter, "4/4": notRunRetryAfter, "": notRunRetryAfter}
	for load, want := range tests {
		address := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(edge.HeaderTargetNotRun, "1")
			if load != "" {
				w.Header().Set(edge.HeaderTargetLoad, load)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		b := newBench(t, oneAttempt(address), nil, telemetry.Discard())
		_, body, err := b.call(t, "GET", "/svc/a", nil)
		if err != nil {
			t.Fatal(err)
		}
		var answer edge.ErrorBody
		if err := json.Unmarshal([]byte(body), &answer); err != nil {
			t.Fatalf("%q: %v", body, err)
		}
		if answer.RetryAfterMS != want.Milliseconds() {
			t.Errorf("refused with load %q: come back after %d ms, want %v", load, answer.RetryAfterMS, want)
		}
	}
}

// noticeAdmission hands out permits that record notices.
type noticeAdmission struct {
	*roundRobin
	mu  sync.Mutex
	got []admission.Notice
}

type noticePermit struct {
	admission.Permit
	a *noticeAdmission
}

func (a *noticeAdmission) Acquire(ctx context.Context, r *admission.Request) (admission.Permit, error) {
	p, err := a.roundRobin.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return noticePermit{p, a}, nil
}

func (p noticePermit) Notify(n admission.Notice) {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	p.a.got = append(p.a.got, n)
}

func (a *noticeAdmission) notices() []admission.Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.got)
}

// A notice counts from the head of the answer on, and only from the expected instance.
func TestNoticesCountFromTheHeadOfAnAnswer(t *testing.T) {
	finish := make(chan struct{})
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(edge.HeaderTargetDraining, "1")
		if strings.HasSuffix(r.URL.Path, "/other") {
			w.Header().Set(edge.HeaderTargetNotRun, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = w.Write(make([]byte, 100_000))
		_ = http.NewResponseController(w).Flush()
		<-finish
	})
	a := &noticeAdmission{roundRobin: &roundRobin{}}
	b := newBench(t, oneAttempt(target), nil, telemetry.Discard())
	b.handler.deps.Admission = a
	b.admission = a.roundRobin
	if _, _, err := b.call(t, "GET", "/svc/other", nil); err != nil || len(a.notices()) != 0 {
		t.Errorf("another instance's notice is taken: %v, %v", a.notices(), err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = b.call(t, "GET", "/svc/long", nil)
	}()
	for range 500 {
		if len(a.notices()) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := a.notices(); len(got) != 1 || !got[0].Leaving {
		t.Errorf("got %+v while the answer is streamed, want the notice", got)
	}
	close(finish)
	<-done
}
