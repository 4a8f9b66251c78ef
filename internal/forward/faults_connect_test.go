package forward

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/outcome"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// A request whose connection attempt times out has not been run, so it is sent to
// another target.
func TestSilentConnectIsNotRun(t *testing.T) {
	healthy := newScripted(t)
	healthy.set(fullAnswer(okAnswer))
	const unreachable = "127.0.0.1:1"
	tests := []struct {
		name, want string
		targets    []string
	}{
		{"alone", "not-run", []string{unreachable}},
		{"with another", "answered", []string{unreachable, healthy.address}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc := testDocument(tt.targets...)
			b := newTestProxy(t, doc, nil, telemetry.Discard())
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == unreachable {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			b.handler.conns.Close()
			b.handler.conns = targetconn.NewPools(targetconn.Deps{Dial: dial, Clock: kernel.SystemClock{}, Metrics: metrics.NewSet()})
			resp, _, err := b.call(t, "POST", "/svc/a", strings.NewReader("book"))
			if err != nil || resp.Header.Get(edge.HeaderOutcome) != tt.want {
				t.Errorf("got %v, %v", resp, err)
			}
			if n := b.heldPermits(); n != 0 {
				t.Errorf("%d permits are still held", n)
			}
		})
	}
}

// A target that reads the first bytes of an upload and then stops reading, without
// closing the connection, may run it: the outcome is unknown, the upload is not sent
// to another target, and the slot is released. The caller is still sending when the
// error response comes, so its connection may be reset before it reads the response;
// it then can't know the outcome either.
func TestTargetThatStopsReadingIsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := l.Accept(); err == nil {
			accepted <- conn
		}
	}()
	good := newScripted(t)
	good.set(fullAnswer(okAnswer))
	doc := testDocument(l.Addr().String(), good.address)
	doc.Limits.IdleTimeoutMS = 200
	b := newTestProxy(t, doc, nil, telemetry.Discard())
	resp, _, err := b.call(t, "PUT", "/svc/a", io.LimitReader(endlessReader{}, 48<<20))
	if err == nil && (resp.Header.Get(edge.HeaderOutcome) != "unknown" || resp.Header.Get(edge.HeaderStep) != "send") {
		t.Errorf("got %v", resp)
	}
	_ = (<-accepted).Close()
	held := b.heldPermits()
	if begun, _ := good.counts(); begun != 0 || held != 0 {
		t.Errorf("sent to another target %d times, %d permits are held", begun, held)
	}
	if r := b.admission.released[0]; r.Step != outcome.StepSend || r.Outcome != outcome.Unknown {
		t.Errorf("released with %+v", r)
	}
}

// A refused connection is reported separately from an unreachable target: the next
// process that listens at that address was started later.
func TestRefusedConnectionIsReported(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	b := newTestProxy(t, testDocument(closed.Addr().String()), nil, telemetry.Discard())
	if _, _, err := b.call(t, "GET", "/svc/a", nil); err != nil {
		t.Fatal(err)
	}
	if n := b.heldPermits(); n != 0 {
		t.Fatalf("%d permits are still held", n)
	}
	if r := b.admission.released[0]; !r.NoListener || r.Outcome != outcome.NotRun {
		t.Errorf("released with %+v", r)
	}
}
