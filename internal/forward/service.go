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

// Settings of the callers' listener. The document can override the header limits and the idle timeout.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	callerIdleTimeout    = 90 * time.Second // of a connection between requests
	sweepInterval        = time.Second
	acceptErrorDelay     = 10 * time.Millisecond // after a failed Accept, for example when file descriptors run out
)

// ServiceDeps holds the dependencies of a Service.
type ServiceDeps struct {
	Handler *Handler
	Lookup  http.Handler // serves edge.PathLookup; nil: Handler serves that path too
	Listen  string       // host:port
	// Listener, if not nil, is used instead of listening on Listen.
	Listener net.Listener
	Config   config.Source
	Logger   *telemetry.Logger
}

// Service runs the HTTP server that callers connect to.
type Service struct {
	deps     ServiceDeps
	front    *frontend
	listener net.Listener
	cancel   func()
	done     chan struct{}
}

var _ kernel.Service = (*Service)(nil)

// NewService creates a Service. Start opens its listener.
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
	s.front = newFrontend(newLimitedListener(l, s.deps.Config), s.handler(), headLimitsOf(s.deps.Config.Current()), s.deps.Handler.deps.Clock.Now)
	s.cancel = s.deps.Config.Subscribe(s.applySnapshot)
	go s.front.serve()
	go s.runEvery(ctx, sweepInterval, s.deps.Handler.Sweep)
	go s.runEvery(ctx, targetconn.AheadInterval, func() { s.deps.Handler.OpenAhead(ctx) })
	s.deps.Logger.Log(eventServing, telemetry.Value("address", l.Addr().String()))
	return nil
}

func (s *Service) applySnapshot(snap *config.Snapshot) {
	s.front.setLimits(headLimitsOf(snap))
	s.deps.Handler.Adopt(snap)
}

// handler passes look-ups to Lookup and all other requests to Handler. An http.ServeMux would redirect
// to cleaned paths, but paths are up to the targets.
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

// CloseConnections makes each caller's connection close after its next response.
func (s *Service) CloseConnections() { s.deps.Handler.CloseConnections() }

// Refuse makes the handler reject further requests as not run.
func (s *Service) Refuse() { s.deps.Handler.Refuse() }

// Address returns the address of the listener.
func (s *Service) Address() string { return s.listener.Addr().String() }

// StopSending makes the handler reject requests that were not sent to a target yet.
func (s *Service) StopSending() { s.deps.Handler.StopSending() }

// runEvery calls f at the interval until the service stops.
func (s *Service) runEvery(ctx context.Context, interval time.Duration, f func()) {
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

// Stop implements kernel.Service. Requests still in flight are aborted, and their number is logged.
func (s *Service) Stop(context.Context) error {
	if s.front == nil {
		return nil
	}
	if n := s.deps.Handler.InFlight(); n > 0 {
		s.deps.Logger.Log(eventRequestsAborted, telemetry.Value("requests", n))
	}
	s.cancel()
	close(s.done)
	err := s.front.close()
	s.deps.Handler.Close()
	return trace.Wrap(err)
}
