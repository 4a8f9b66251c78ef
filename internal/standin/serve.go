// Package standin holds what the small stand-ins for the platform, targets
// and callers share.
package standin

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const headerTimeout = 10 * time.Second

// Server is an HTTP server on a loopback address.
type Server struct {
	http    *http.Server
	address string
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
	s := &Server{
		http:    &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		address: listener.Addr().String(),
	}
	go s.http.Serve(listener)
	return s
}

// Address returns host:port.
func (s *Server) Address() string { return s.address }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.address }

// Close ends the server and cuts its connections.
func (s *Server) Close() error { return s.http.Close() }
