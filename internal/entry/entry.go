// Package entry answers look-ups of VMs by region, and readiness checks of the platform.
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

// Paths and parameters as callers and the platform speak them.
type Names struct {
	ReadyPath   string
	LookupPath  string
	RegionQuery string
	ZoneQuery   string
	Answer      func(addresses []string, maxAge time.Duration) any // body of an answer
}

// Deps is what a Service needs.
type Deps struct {
	Names   Names
	Ready   net.Listener
	Lookup  net.Listener // nil: this VM answers no look-ups
	Members membership.Source
	Places  map[string]string     // availability zone to region
	Serving func() (bool, string) // whether this VM can serve callers, and why not
	MaxAge  time.Duration         // of answers
	Logger  *telemetry.Logger
}

// Service owns the two listeners.
type Service struct {
	deps    Deps
	leaving atomic.Bool
	servers []*http.Server
}

var _ kernel.Service = (*Service)(nil)

// NewService returns a service.
func NewService(d Deps) *Service { return &Service{deps: d} }

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	s.serve(s.deps.Ready, s.deps.Names.ReadyPath, s.ready)
	s.serve(s.deps.Lookup, s.deps.Names.LookupPath, s.lookup)
	return nil
}

// headerTimeout bounds how long a caller may take for a request's head.
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

// Leave makes this VM not ready; it goes on answering.
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
	if ok, why := s.fit(); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Service) fit() (bool, string) {
	if s.leaving.Load() {
		return false, "this VM is leaving"
	}
	return s.deps.Serving()
}

// lookup names the VMs for a caller's place.
func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	zone, region := q.Get(s.deps.Names.ZoneQuery), q.Get(s.deps.Names.RegionQuery)
	if region == "" {
		region = s.deps.Places[zone]
	}
	addresses := Choose(s.deps.Members.View(), region)
	if len(addresses) == 0 {
		w.Header().Set("Retry-After", "0.5")
		http.Error(w, "no VM is known to serve", http.StatusServiceUnavailable)
		return
	}
	raw, err := json.Marshal(s.deps.Names.Answer(addresses, s.deps.MaxAge))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}
