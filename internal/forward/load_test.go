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

// recordingObserver records observations.
type recordingObserver struct{ observations []measure.Observation }

func (o *recordingObserver) Observe(ob measure.Observation) {
	o.observations = append(o.observations, ob)
}

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
		b := newTestProxy(t, singleAttemptDocument(address), nil, telemetry.Discard())
		o := &recordingObserver{}
		b.handler.deps.Measure = o
		if _, _, err := b.call(t, "GET", "/svc/a", nil); err != nil {
			t.Fatal(err)
		}
		_ = b.heldPermits()
		if len(o.observations) != len(tt.want) || len(tt.want) == 1 && o.observations[0] != tt.want[0] {
			t.Errorf("%s: observed %+v, want %+v", tt.name, o.observations, tt.want)
		}
		got := b.admission.released[0]
		if got.Draining != (tt.header[edge.HeaderTargetDraining] == "1") || got.ShedByPeer != (tt.status != http.StatusOK) {
			t.Errorf("%s: released with %+v", tt.name, got)
		}
	}
}

// The shares of all VMs together never exceed a target's connection limit.
func TestConnectionSharesAddUp(t *testing.T) {
	for _, vms := range []int{1, 3, 10, 12, 361, 1400} {
		for _, connections := range []int{0, 1, 35, 360} {
			doc := testDocument("127.0.0.1:1")
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

// In a fleet with more VMs than connections of a target, a VM keeps no connection
// after an exchange.
func TestLargeFleetKeepsNoConnections(t *testing.T) {
	const requests = 20
	var mu sync.Mutex
	connections := make(map[string]bool)
	address := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		connections[r.RemoteAddr] = true
	})
	doc := testDocument(address)
	doc.Fleet.MaxVMs = 1400
	b := newTestProxy(t, doc, nil, telemetry.Discard())
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

// A slot that is lost before the first byte is sent is not used: another one is
// acquired, and the target gets the request once.
func TestLostPermitIsNotUsed(t *testing.T) {
	var seen atomic.Int32
	address := newTarget(t, func(http.ResponseWriter, *http.Request) { seen.Add(1) })
	b := newTestProxy(t, testDocument(address), nil, telemetry.Discard())
	b.admission.invalidPermits = 2
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

// If this VM may open no further connection to a target, the request has not been
// run there.
func TestNoConnectionLeftIsNotRun(t *testing.T) {
	doc := testDocument("127.0.0.1:1")
	doc.Services[0].Targets[0].Connections = 0
	b := newTestProxy(t, doc, nil, telemetry.Discard())
	resp, _, err := b.call(t, "POST", "/svc/a", nil)
	if err != nil || resp.Header.Get(edge.HeaderOutcome) != "not-run" || resp.Header.Get(edge.HeaderStep) != "connect" {
		t.Errorf("got %v, %v", resp, err)
	}
}

// If a target refuses although it has free slots, the caller need not wait for a run
// to end. If it is full or reports no load, the caller waits longer.
func TestRetryAfterOfRefusalWithFreeSlots(t *testing.T) {
	tests := map[string]time.Duration{"1/4": freeSlotsRetryAfter, "4/4": notRunRetryAfter, "": notRunRetryAfter}
	for load, want := range tests {
		address := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(edge.HeaderTargetNotRun, "1")
			if load != "" {
				w.Header().Set(edge.HeaderTargetLoad, load)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		b := newTestProxy(t, singleAttemptDocument(address), nil, telemetry.Discard())
		_, body, err := b.call(t, "GET", "/svc/a", nil)
		if err != nil {
			t.Fatal(err)
		}
		var answer edge.ErrorBody
		if err := json.Unmarshal([]byte(body), &answer); err != nil {
			t.Fatalf("%q: %v", body, err)
		}
		if answer.RetryAfterMS != want.Milliseconds() {
			t.Errorf("refused with load %q: retry after %d ms, want %v", load, answer.RetryAfterMS, want)
		}
	}
}

// noticeAdmitter grants permits that record notices.
type noticeAdmitter struct {
	*roundRobinAdmitter
	mu  sync.Mutex
	got []admission.Notice
}

type noticePermit struct {
	admission.Permit
	a *noticeAdmitter
}

func (a *noticeAdmitter) Acquire(ctx context.Context, r *admission.Request) (admission.Permit, error) {
	p, err := a.roundRobinAdmitter.Acquire(ctx, r)
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

func (a *noticeAdmitter) notices() []admission.Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.got)
}

// A notice is reported as soon as the response head arrives, and only if it is from
// the expected instance.
func TestNoticesAreReportedAtResponseHead(t *testing.T) {
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
	a := &noticeAdmitter{roundRobinAdmitter: &roundRobinAdmitter{}}
	b := newTestProxy(t, singleAttemptDocument(target), nil, telemetry.Discard())
	b.handler.deps.Admission = a
	b.admission = a.roundRobinAdmitter
	if _, _, err := b.call(t, "GET", "/svc/other", nil); err != nil || len(a.notices()) != 0 {
		t.Errorf("another instance's notice was reported: %v, %v", a.notices(), err)
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
		t.Errorf("got %+v while the response is streamed, want the notice", got)
	}
	close(finish)
	<-done
}
