package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "forward.callers"

// Defaults of the callers' listener without a document.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	callerIdleTimeout    = 90 * time.Second // of a connection without a request
	sweepInterval        = time.Second
	acceptPause          = 10 * time.Millisecond // after an accept that failed, such as for want of descriptors
)

// ServiceDeps is what a Service needs.
type ServiceDeps struct {
	Handler *Handler
	Lookup  http.Handler // serves edge.PathLookup; nil: it is not served
	Listen  string       // host:port
	// Listener is used in place of Listen, if not nil.
	Listener net.Listener
	Config   config.Source
	Logger   *telemetry.Logger
}

// Service owns the callers' listener.
type Service struct {
	deps     ServiceDeps
	front    *frontend
	listener net.Listener
	cancel   func()
	done     chan struct{}
}

var _ kernel.Service = (*Service)(nil)

// NewService returns a service.
func NewService(d ServiceDeps) *Service { return &Service{deps: d, done: make(chan struct{})} }

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error {
	if s.deps.Handler == nil || s.deps.Config == nil {
		return trace.BadParameter("the callers' listener needs a handler and a document source")
	}
	return nil
}

// Start implements kernel.Service: it opens the listener.
func (s *Service) Start(ctx context.Context) error {
	l := s.deps.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", s.deps.Listen); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	s.listener = l
	s.front = newFrontend(newLimitedListener(l, s.deps.Config), s.handler(), headLimitsOf(s.deps.Config.Current()))
	s.cancel = s.deps.Config.Subscribe(s.adopt)
	go s.front.serve()
	go s.every(ctx, sweepInterval, s.deps.Handler.Sweep)
	go s.every(ctx, targetconn.AheadInterval, func() { s.deps.Handler.OpenAhead(ctx) })
	s.deps.Logger.Log(eventServing, telemetry.Value("address", l.Addr().String()))
	return nil
}

func (s *Service) adopt(snap *config.Snapshot) {
	s.front.setLimits(headLimitsOf(snap))
	s.deps.Handler.Adopt(snap)
}

// handler separates look-ups from requests. A mux would redirect to clean paths, which are the
// targets' business.
func (s *Service) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.deps.Lookup != nil && r.URL.Path == edge.PathLookup {
			s.deps.Lookup.ServeHTTP(w, r)
			return
		}
		s.deps.Handler.ServeHTTP(w, r)
	})
}

// InFlight returns the number of requests in flight.
func (s *Service) InFlight() int { return s.deps.Handler.InFlight() }

// CloseConnections closes callers' connections with their next answer.
func (s *Service) CloseConnections() { s.deps.Handler.CloseConnections() }

// Refuse makes the handler refuse further requests as not run.
func (s *Service) Refuse() { s.deps.Handler.Refuse() }

// Address returns where the listener is open.
func (s *Service) Address() string { return s.listener.Addr().String() }

// every calls f at an interval until the service stops.
func (s *Service) every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		case <-s.done:
			return
		}
	}
}

// Drain implements kernel.Service: it stops accepting and waits for the requests in flight.
func (s *Service) Drain(ctx context.Context) error {
	if s.front == nil {
		return nil
	}
	return trace.Wrap(s.front.shutdown(ctx), "wait for requests in flight")
}

// Stop implements kernel.Service. Requests still in flight are cut and counted.
func (s *Service) Stop(context.Context) error {
	if s.front == nil {
		return nil
	}
	if n := s.deps.Handler.InFlight(); n > 0 {
		s.deps.Logger.Log(eventCut, telemetry.Value("requests", n))
	}
	s.cancel()
	close(s.done)
	err := s.front.close()
	s.deps.Handler.Close()
	return trace.Wrap(err)
}
