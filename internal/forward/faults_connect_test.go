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

// A target to which no connection can be opened, because nothing comes back at
// all, has surely not run the request; another one gets it.
func TestSilentConnectIsNotRun(t *testing.T) {
	good := newScripted(t)
	good.set(whole(okAnswer))
	const mute = "127.0.0.1:1"
	tests := []struct {
		name, want string
		targets    []string
	}{
		{"alone", "not-run", []string{mute}},
		{"with another", "answered", []string{mute, good.address}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc := document(tt.targets...)
			b := newBench(t, doc, nil, telemetry.Discard())
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				if address == mute {
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

// A target that takes an upload's first bytes and then reads no more, without
// closing, may run it: unknown, sent nowhere else, and its slot is free again.
// The caller still sends when it is answered, so that its connection may be
// reset before it reads the answer, which tells it as little.
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
	good.set(whole(okAnswer))
	doc := document(l.Addr().String(), good.address)
	doc.Limits.IdleTimeoutMS = 200
	b := newBench(t, doc, nil, telemetry.Discard())
	resp, _, err := b.call(t, "PUT", "/svc/a", io.LimitReader(endless{}, 48<<20))
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

// That nobody listens at a target's address is told apart from a target that
// can't be reached: whoever listens there next has started since.
func TestNobodyListensAtTheTarget(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	b := newBench(t, document(closed.Addr().String()), nil, telemetry.Discard())
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
