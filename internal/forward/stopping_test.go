package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/admission"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/outcome"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// blockingAdmitter admits a request only once it is released, or never if the request's context ends.
type blockingAdmitter struct {
	admission.Admitter
	waiting  chan struct{}
	released chan struct{}
}

func (a *blockingAdmitter) Acquire(ctx context.Context, r *admission.Request) (admission.Permit, error) {
	a.waiting <- struct{}{}
	select {
	case <-a.released:
		return a.Admitter.Acquire(ctx, r)
	case <-ctx.Done():
		return nil, &outcome.Error{Outcome: outcome.NotRun, Step: outcome.StepAdmit, Reason: "canceled", Err: ctx.Err()}
	}
}

func checkRefusedInAStop(t *testing.T, resp *http.Response, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(edge.HeaderOutcome) != outcome.NotRun.String() || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %d %v, want a refusal", resp.StatusCode, resp.Header)
	}
}

// Guards against requests that are passed on so late in a stop that its end cuts them.
func TestRequestsThatWaitForRoomAreRefusedLateInAStop(t *testing.T) {
	var runs atomic.Int32
	target := newTarget(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	b := newTestProxy(t, testDocument(target), nil, telemetry.Discard())
	a := &blockingAdmitter{Admitter: b.admission, waiting: make(chan struct{}, 1), released: make(chan struct{})}
	b.handler.deps.Admission = a
	go func() {
		<-a.waiting
		b.handler.Refuse()
		b.handler.StopSending()
		time.AfterFunc(500*time.Millisecond, func() { close(a.released) })
	}()
	started := time.Now()
	resp, _, err := b.call(t, "POST", "/svc/a", strings.NewReader("book"))
	checkRefusedInAStop(t, resp, err)
	if took := time.Since(started); took > 400*time.Millisecond {
		t.Errorf("the request was refused after %v, want at once", took)
	}
	if runs.Load() != 0 || b.heldPermits() != 0 {
		t.Errorf("%d runs, %d permits", runs.Load(), b.heldPermits())
	}
}

func TestRequestsWhoseBodyEndsLateInAStopAreRefused(t *testing.T) {
	var runs atomic.Int32
	target := newTarget(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	doc := testDocument(target)
	keys, _, ticket := newKeys(t, doc)
	b := newTestProxy(t, doc, keys, telemetry.Discard())
	for _, path := range []string{"/svc/a", "/svc/keyed"} {
		body, rest := io.Pipe()
		go func() {
			_, _ = io.WriteString(rest, "bo")
			for b.handler.InFlight() == 0 {
				time.Sleep(time.Millisecond)
			}
			b.handler.StopSending()
			_, _ = io.WriteString(rest, "ok")
			_ = rest.Close()
		}()
		req, err := http.NewRequest("POST", b.URL+path, body)
		if err != nil {
			t.Fatal(err)
		}
		req.ContentLength = int64(len("book"))
		req.Header.Set(edge.HeaderIdempotencyKey, ticket+strings.TrimPrefix(path, "/svc/"))
		resp, err := b.client.Do(req)
		checkRefusedInAStop(t, resp, err)
		_ = resp.Body.Close()
	}
	if runs.Load() != 0 || b.heldPermits() != 0 {
		t.Errorf("%d runs, %d permits", runs.Load(), b.heldPermits())
	}
}

func TestNothingIsSentOnConnectionsOpenedLateInAStop(t *testing.T) {
	var runs atomic.Int32
	target := newTarget(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	b := newTestProxy(t, testDocument(target), nil, telemetry.Discard())
	b.handler.conns = targetconn.NewPools(targetconn.Deps{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			b.handler.StopSending()
			return new(net.Dialer).DialContext(ctx, network, address)
		},
		Clock: kernel.SystemClock{}, Metrics: metrics.NewSet(),
	})
	resp, _, err := b.call(t, "POST", "/svc/a", strings.NewReader("book"))
	checkRefusedInAStop(t, resp, err)
	if runs.Load() != 0 || b.heldPermits() != 0 {
		t.Errorf("%d runs, %d permits", runs.Load(), b.heldPermits())
	}
}

func TestNoAttemptStartsLateInAStop(t *testing.T) {
	var second atomic.Int32
	var b *testProxy
	failing := newTarget(t, func(http.ResponseWriter, *http.Request) {
		b.handler.StopSending()
		panic(http.ErrAbortHandler)
	})
	good := newTarget(t, func(http.ResponseWriter, *http.Request) { second.Add(1) })
	b = newTestProxy(t, testDocument(failing, good), nil, telemetry.Discard())
	b.admission.sticky = true
	resp, _, err := b.call(t, "GET", "/svc/a", nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(edge.HeaderOutcome) != outcome.Unknown.String() {
		t.Errorf("got %v, %v, want the failure of the only attempt", resp, err)
	}
	if second.Load() != 0 || b.heldPermits() != 0 {
		t.Errorf("%d second attempts, %d permits", second.Load(), b.heldPermits())
	}
}

func TestRequestsUnderWayAreAnsweredLateInAStop(t *testing.T) {
	var b *testProxy
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		b.handler.StopSending()
		n, _ := io.Copy(io.Discard, r.Body)
		if n == uploadBytes {
			_, _ = io.WriteString(w, "whole")
		}
	})
	b = newTestProxy(t, testDocument(target), nil, telemetry.Discard())
	resp, body, err := b.call(t, "POST", "/svc/a", io.LimitReader(endlessReader{}, uploadBytes))
	if err != nil || resp.StatusCode != http.StatusOK || body != "whole" {
		t.Errorf("got %v %q, %v", resp, body, err)
	}
}
