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

	"masticturn/internal/config"
)

// headLimits bounds the heads of requests. They are fixed for the life of an http.Server.
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

// frontend serves each new connection with the limits in force. Open connections keep theirs.
type frontend struct {
	listener net.Listener
	handler  http.Handler

	mu      sync.Mutex
	limits  headLimits
	current *feed
	servers []*http.Server
}

func newFrontend(l net.Listener, h http.Handler, limits headLimits) *frontend {
	f := &frontend{listener: l, handler: h}
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
		ErrorLog:          log.New(discard{}, "", 0),
	}
	f.limits, f.current = l, newFeed(f.listener.Addr())
	f.servers = append(f.servers, server)
	current := f.current
	go func() { _ = server.Serve(current) }()
}

// discard drops the server's own log lines about canceled requests.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// serve accepts connections until the listener is closed.
func (f *frontend) serve() {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		f.give(conn)
	}
}

// give passes a connection to the current server; a feed closed meanwhile has a successor, or all
// is shut down.
func (f *frontend) give(conn net.Conn) {
	for {
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		if current.put(conn) {
			return
		}
		f.mu.Lock()
		over := f.current == current
		f.mu.Unlock()
		if over {
			_ = conn.Close()
			return
		}
	}
}

// shutdown stops accepting and waits for the requests in flight.
func (f *frontend) shutdown(ctx context.Context) error {
	_ = f.listener.Close()
	return f.each(func(s *http.Server) error { return s.Shutdown(ctx) })
}

// close closes all connections.
func (f *frontend) close() error {
	_ = f.listener.Close()
	return f.each((*http.Server).Close)
}

func (f *frontend) each(do func(*http.Server) error) error {
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

// feed is a net.Listener fed with accepted connections.
type feed struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*feed)(nil)

func newFeed(addr net.Addr) *feed {
	return &feed{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// put passes a connection to the acceptor; false if the feed is closed.
func (f *feed) put(conn net.Conn) bool {
	select {
	case f.conns <- conn:
		return true
	case <-f.closed:
		return false
	}
}

// Accept implements net.Listener.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case conn := <-f.conns:
		return conn, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *feed) Addr() net.Addr { return f.addr }
