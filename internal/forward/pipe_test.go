package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// pipeListener is a net.Listener of in-memory connections, which work in fake time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr{} }

// dial connects to the listener.
func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

// dialHandler returns a function that opens connections to a target which is served by the handler.
func dialHandler(h http.Handler) dialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		l := newPipeListener()
		go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
		l.conns <- far
		_ = l.Close()
		return near, nil
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
	l := newPipeListener()
	front := newFrontend(l, h, headLimitsOf(h.deps.Config.Current()), time.Now)
	go front.serve()
	b := &testProxy{Server: &httptest.Server{URL: "http://proxy"}, handler: h, admission: a}
	b.client = &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: l.dial}}
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		_ = front.close()
		h.Close()
	})
	return b
}
