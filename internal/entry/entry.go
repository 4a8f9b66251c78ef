// Package entry serves look-ups of VMs by region and the platform's readiness checks over HTTP.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "entry"

// Names holds the paths, query parameters and response format that callers and the platform use.
type Names struct {
	ReadyPath    string
	LookupPath   string
	RegionQuery  string
	ZoneQuery    string
	ResponseBody func(addresses []string, maxAge time.Duration) any // response body, encoded as JSON
}

// Deps are the dependencies of a Service.
type Deps struct {
	Names          Names
	ReadyListener  net.Listener
	LookupListener net.Listener // nil: this VM serves no look-ups
	Members        membership.Source
	RegionByZone   map[string]string     // region by availability zone
	Serving        func() (bool, string) // whether this VM can serve callers; if not, the reason
	MaxAge         time.Duration         // how long callers may cache a look-up response
	Logger         *telemetry.Logger
}

// Service serves HTTP on the readiness and look-up listeners.
type Service struct {
	deps    Deps
	leaving atomic.Bool
	servers []*http.Server
}

var _ kernel.Service = (*Service)(nil)

// NewService returns a Service. Start begins to serve.
func NewService(d Deps) *Service { return &Service{deps: d} }

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	s.serve(s.deps.ReadyListener, s.deps.Names.ReadyPath, s.ready)
	s.serve(s.deps.LookupListener, s.deps.Names.LookupPath, s.lookup)
	return nil
}

// headerTimeout limits the time a client may take to send a request's header.
const headerTimeout = 3 * time.Second

func (s *Service) serve(l net.Listener, path string, h http.HandlerFunc) {
	if l == nil {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, h)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.deps.Logger.Log(eventListenerFailed, telemetry.Value("address", l.Addr().String()), telemetry.Err(err))
		}
	}()
}

// Leave makes readiness checks fail. Look-ups are still served.
func (s *Service) Leave() { s.leaving.Store(true) }

// Drain implements kernel.Service.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	var errs []error
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	return trace.NewAggregate(errs...)
}

func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := s.isReady(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether this VM accepts callers; if not, it also returns the reason.
func (s *Service) isReady() (bool, string) {
	if s.leaving.Load() {
		return false, "this VM is leaving"
	}
	return s.deps.Serving()
}

// lookup responds with the VMs for a caller's region, or for the region of its availability zone.
func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	zone, region := q.Get(s.deps.Names.ZoneQuery), q.Get(s.deps.Names.RegionQuery)
	if region == "" {
		region = s.deps.RegionByZone[zone]
	}
	addresses := Choose(s.deps.Members.View(), region)
	if len(addresses) == 0 {
		w.Header().Set("Retry-After", "0.5")
		http.Error(w, "no VM is known to serve", http.StatusServiceUnavailable)
		return
	}
	raw, err := json.Marshal(s.deps.Names.ResponseBody(addresses, s.deps.MaxAge))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}
