// Package operator is the operators' listener: health, readiness and metrics
// for all, and what is mounted on it behind a bearer token.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the kernel knows the service.
const ServiceName = "operator.server"

// Limits of the listener.
const (
	readHeaderTimeout  = 5 * time.Second
	readTimeout        = 30 * time.Second
	writeTimeout       = 60 * time.Second
	maxConnections     = 256
	idleTimeout        = 60 * time.Second
	maxHeaderBytes     = 16 << 10
	maxBodyBytes       = 64 << 20 // a document with many client blocks
	refusalsPerSecond  = 5        // wrong tokens answered per second; beyond them: 429
	refusalBurst       = 20
	authorizationField = "Authorization"
	bearerPrefix       = "Bearer "
)

// Mount is a handler on the operators' listener, behind the token.
type Mount struct {
	Pattern string // pattern of http.ServeMux
	Handler http.Handler
	// OwnLogin is set for handlers that check who asks by themselves.
	OwnLogin bool
}

// Deps are what the server needs.
type Deps struct {
	Listener  net.Listener
	TokenFile string // empty: nothing behind the token is served
	TLS       settings.TLS
	Ready     func() error
	Mounts    []Mount
	Metrics   *metrics.Set
	Logger    *telemetry.Logger
}

// Server is the operators' listener as a service of the kernel.
type Server struct {
	deps     Deps
	token    [sha256.Size]byte
	hasToken bool
	refusals *rate.Limiter
	server   *http.Server
	cert     *certificate // nil without TLS
}

var _ kernel.Service = (*Server)(nil)

// NewServer returns a server that does not listen yet.
func NewServer(deps Deps) *Server {
	return &Server{deps: deps, refusals: rate.NewLimiter(refusalsPerSecond, refusalBurst)}
}

// Provision implements kernel.Service: it reads the token and the keys.
func (s *Server) Provision(*kernel.Kernel) error {
	if s.deps.TLS.Enabled() {
		cert, err := newCertificate(s.deps.TLS, s.deps.Logger)
		if err != nil {
			return trace.Wrap(err, "operator.tls")
		}
		s.cert = cert
	}
	if s.deps.TokenFile == "" {
		return nil
	}
	raw, err := os.ReadFile(s.deps.TokenFile)
	if err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "operator.token_file")
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return trace.BadParameter("operator.token_file %s is empty", s.deps.TokenFile)
	}
	s.token = sha256.Sum256([]byte(token))
	s.hasToken = true
	return nil
}

// Start implements kernel.Service.
func (s *Server) Start(context.Context) error {
	s.server = &http.Server{
		Handler:           http.MaxBytesHandler(s.handler(), maxBodyBytes),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	listener := netutil.LimitListener(s.deps.Listener, maxConnections)
	if s.cert != nil {
		listener = tls.NewListener(listener, s.cert.config())
	}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.deps.Logger.Log(eventListenerFailed, telemetry.Err(err))
		}
	}()
	return nil
}

// Drain implements kernel.Service: operators are answered until Stop.
func (s *Server) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Server) Stop(context.Context) error {
	if s.server == nil {
		return nil
	}
	return trace.Wrap(s.server.Close())
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+edge.PathHealthz, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET "+edge.PathReadyz, s.serveReady)
	mux.HandleFunc("GET "+edge.PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		s.deps.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	for _, m := range s.deps.Mounts {
		h := m.Handler
		if !m.OwnLogin {
			h = s.guard(h)
		}
		mux.Handle(m.Pattern, h)
	}
	return mux
}

// serveReady answers 200 when callers may be sent here, else 503 and why not.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.deps.Ready(); err != nil {
		http.Error(w, trace.UserMessage(err), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// guard lets only requests with the bearer token through (RFC 6750).
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get(authorizationField), bearerPrefix)
		if ok && s.CheckToken(token) {
			next.ServeHTTP(w, r)
			return
		}
		if !s.refusals.Allow() {
			http.Error(w, "too many wrong tokens", http.StatusTooManyRequests)
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "a bearer token is required", http.StatusUnauthorized)
	})
}

// CheckToken reports whether the token is the operators', in constant time. It
// is false when no token is set.
func (s *Server) CheckToken(token string) bool {
	sum := sha256.Sum256([]byte(token))
	return s.hasToken && subtle.ConstantTimeCompare(sum[:], s.token[:]) == 1
}
