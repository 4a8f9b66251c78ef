package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// dialPipe returns a function that opens in-memory connections to a listener, which work in fake time.
func dialPipe(l *connListener) dialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		if !l.deliver(far) {
			return nil, net.ErrClosed
		}
		return near, nil
	}
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

// dialHandler returns a function that opens connections to a target which is served by the handler.
func dialHandler(h http.Handler) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l := newConnListener(pipeAddr{})
		defer l.Close()
		go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
		return dialPipe(l)(ctx, network, address)
	}
}

// silentConn returns a connection to a target that reads everything and sends nothing.
func silentConn(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		_, _ = io.Copy(io.Discard, far)
		_ = far.Close()
	}()
	return near, nil
}

// newPipeProxy returns a proxy that is connected to its callers in memory and to its targets by dial, for
// tests in fake time.
func newPipeProxy(t *testing.T, doc *config.Document, dial dialFunc) *testProxy {
	t.Helper()
	return newPipeProxyOn(t, doc, dial, testVM)
}

// dialFunc opens a connection to a target.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// newPipeProxyOn is like newPipeProxy, on the given VM.
func newPipeProxyOn(t *testing.T, doc *config.Document, dial dialFunc, vm settings.VM) *testProxy {
	t.Helper()
	h, a := newTestHandler(t, doc, Deps{Dial: dial, Logger: telemetry.Discard(), VM: vm, Clock: kernel.SystemClock{}})
	l := newConnListener(pipeAddr{})
	front := newFrontend(l, h, headLimitsOf(h.deps.Config.Current()), time.Now)
	go front.serve()
	b := &testProxy{Server: &httptest.Server{URL: "http://proxy"}, handler: h, admission: a}
	b.client = &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: dialPipe(l)}}
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		_ = front.close()
		h.Close()
	})
	return b
}
