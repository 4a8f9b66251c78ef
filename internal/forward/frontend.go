package forward

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/callerconn"
	"masticturn/internal/config"
)

// headLimits limits the heads of requests and the idle time. An http.Server can't change its limits.
type headLimits struct {
	bytes   int
	timeout time.Duration
	idle    time.Duration // between requests of a connection
}

func headLimitsOf(s *config.Snapshot) headLimits {
	l := headLimits{bytes: defaultHeaderBytes, timeout: defaultHeaderTimeout, idle: callerIdleTimeout}
	if s == nil {
		return l
	}
	if n := s.Document.Limits.MaxHeaderBytes; n > 0 {
		l.bytes = n
	}
	if t := s.Document.Limits.HeaderTimeoutMS; t > 0 {
		l.timeout = t.Duration()
	}
	if t := s.Document.Limits.KeepAliveMS; t > 0 {
		l.idle = t.Duration()
	}
	return l
}

// frontend serves connections with a new http.Server after each change of the limits. Open connections
// keep their server and its limits.
type frontend struct {
	listener net.Listener
	handler  http.Handler
	now      func() time.Time

	mu      sync.Mutex
	limits  headLimits
	current *connListener
	servers []*http.Server
}

func newFrontend(l net.Listener, h http.Handler, limits headLimits, now func() time.Time) *frontend {
	f := &frontend{listener: l, handler: h, now: now}
	f.setLimits(limits)
	return f
}

// setLimits sets the limits of new connections.
func (f *frontend) setLimits(l headLimits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.limits == l {
		return
	}
	if f.current != nil {
		_ = f.current.Close()
	}
	server := &http.Server{
		Handler:           f.handler,
		MaxHeaderBytes:    l.bytes,
		ReadHeaderTimeout: l.timeout,
		IdleTimeout:       l.idle,
		ConnContext:       connContext,
		ErrorLog:          log.New(discardWriter{}, "", 0),
	}
	f.limits, f.current = l, newConnListener(f.listener.Addr())
	f.servers = append(f.servers, server)
	current := f.current
	go func() { _ = server.Serve(current) }()
}

// connContext returns the parent context of a connection's requests.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*callerconn.Conn); ok {
		return c.Context(ctx)
	}
	return ctx
}

// discardWriter discards the log lines of http.Server about canceled requests.
type discardWriter struct{}

// Write implements io.Writer.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// serve accepts connections until the listener is closed.
func (f *frontend) serve() {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptErrorDelay)
			continue
		}
		f.handOff(callerconn.New(conn, f.now))
	}
}

// handOff passes a connection to the current server. If that server's listener was closed meanwhile, it
// tries the next server, or closes the connection if there is none because of a shutdown.
func (f *frontend) handOff(conn net.Conn) {
	for {
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		if current.deliver(conn) {
			return
		}
		f.mu.Lock()
		shutDown := f.current == current
		f.mu.Unlock()
		if shutDown {
			_ = conn.Close()
			return
		}
	}
}

// shutdown stops accepting and waits for the requests in flight.
func (f *frontend) shutdown(ctx context.Context) error {
	_ = f.listener.Close()
	return f.forEachServer(func(s *http.Server) error { return s.Shutdown(ctx) })
}

// close closes all connections.
func (f *frontend) close() error {
	_ = f.listener.Close()
	return f.forEachServer((*http.Server).Close)
}

func (f *frontend) forEachServer(do func(*http.Server) error) error {
	f.mu.Lock()
	servers := f.servers
	_ = f.current.Close()
	f.mu.Unlock()
	var errs []error
	for _, s := range servers {
		if err := do(s); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, trace.Wrap(err))
		}
	}
	return trace.NewAggregate(errs...)
}

// connListener is a net.Listener that returns connections accepted by another listener.
type connListener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*connListener)(nil)

func newConnListener(addr net.Addr) *connListener {
	return &connListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to Accept; false if the listener is closed.
func (l *connListener) deliver(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }
