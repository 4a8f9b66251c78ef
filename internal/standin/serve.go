// Package standin holds what the small stand-ins for the platform, targets
// and callers share.
package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const headerTimeout = 10 * time.Second

// Server is an HTTP server on a loopback address.
type Server struct {
	http    *http.Server
	address string

	mu   sync.Mutex
	open map[net.Conn]struct{}
	high int
}

// Serve starts a server on address, host:port; port 0 picks a free one.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", address)
	}
	return ServeListener(listener, handler), nil
}

// ServeListener starts a server on a listener, which it closes at the end.
func ServeListener(listener net.Listener, handler http.Handler) *Server {
	s := &Server{address: listener.Addr().String(), open: make(map[net.Conn]struct{})}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ConnState: s.connState}
	go s.http.Serve(listener)
	return s
}

// connState counts the open connections.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[conn] = struct{}{}
		s.high = max(s.high, len(s.open))
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
	}
}

// HighConnections returns the most connections that were open at once.
func (s *Server) HighConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.high
}

// Address returns host:port.
func (s *Server) Address() string { return s.address }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Close ends the server and cuts its connections.
func (s *Server) Close() error { return s.http.Close() }
