// Package forward is the request path: it forwards a caller's request to a target and relays the
// complete answer. On failure it reports the true outcome.
package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/idempotency"
	"masticturn/internal/kernel"
	"masticturn/internal/lookup"
	"masticturn/internal/measure"
	"masticturn/internal/quarantine"
	"masticturn/internal/ratelimit"
	"masticturn/internal/settings"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// bufferBytes is the size of relay buffers. Answers up to this size are read completely before
// their first byte is sent to the caller.
const bufferBytes = 32 << 10

// Observer receives what targets report with their answers.
type Observer interface {
	Observe(o measure.Observation)
}

// KeyGuard reports whether API keys may be used now.
type KeyGuard interface {
	KeysUsable() bool
}

// Deps is what a Handler needs.
type Deps struct {
	Config    config.Source
	Admission admission.Admitter
	Locator   lookup.Locator
	Measure   Observer
	Keys      idempotency.Registry // nil: keyed requests are refused
	Screen    quarantine.Screen    // nil: all requests may run
	KeyGuard  KeyGuard             // nil: keys may always be used
	Limiter   ratelimit.Limiter    // nil: customers have no limits
	// Expected returns targets to open connections to ahead of requests; nil: none.
	Expected func() []*config.TargetIndex
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Logger   *telemetry.Logger
	Metrics  *metrics.Set
	Dialect  *edge.Dialect // nil: the system's own
	VM       settings.VM
	Clock    kernel.Clock
}

// Handler forwards callers' requests. It is safe for concurrent use.
type Handler struct {
	deps       Deps
	conns      *targetconn.Pools
	budget     *budget
	series     *seriesCache
	faults     *faultLog
	splits     *splitter
	regions    *regionTally
	ends       *endProbe
	bodies     bodyBudget
	ahead      targetconn.AheadBudget
	repeatable *repeatableShares
	buffers    sync.Pool
	inFlight   atomic.Int64
	closing    atomic.Bool
	refusing   atomic.Bool
}

var _ http.Handler = (*Handler)(nil)

// NewHandler returns a handler.
func NewHandler(d Deps) *Handler {
	if d.Dialect == nil {
		d.Dialect = edge.Native()
	}
	h := &Handler{
		deps:       d,
		conns:      targetconn.NewPools(targetconn.Deps{Dial: d.Dial, Clock: d.Clock, Metrics: d.Metrics}),
		budget:     &budget{},
		series:     newSeriesCache(d.Metrics),
		faults:     newFaultLog(d.Logger),
		splits:     newSplitter(),
		regions:    newRegionTally(d.Logger, d.Metrics, d.Clock),
		repeatable: newRepeatableShares(),
		ends:       newEndProbe(d),
	}
	h.buffers.New = func() any { return new([bufferBytes]byte) }
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.closing.Load() {
		setOne(w.Header(), "Connection", "close")
	}
	x := exchange{h: h, w: w, r: r, startedAt: h.deps.Clock.Now()}
	x.serve()
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// CloseConnections closes callers' connections with their next answer. Requests are still served.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

// Refuse makes the handler refuse further requests as not run, as this process is about to end.
func (h *Handler) Refuse() { h.refusing.Store(true) }

// Adopt drops the state of targets that left the document.
func (h *Handler) Adopt(s *config.Snapshot) {
	h.conns.Adopt(s)
	h.budget.keep(func(target string) bool { return s.Target(target) != nil })
	h.splits.keep(s.Document.Hosts)
	h.repeatable.keep(s)
}

// Sweep closes old idle connections. It must be called about once a second.
func (h *Handler) Sweep() { h.conns.Sweep() }

// Close closes the idle connections to targets.
func (h *Handler) Close() { h.conns.Close() }

// place returns the caller's region and zone.
func (h *Handler) place(r *http.Request) lookup.Place {
	addr, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return lookup.Place{Region: h.deps.VM.Region, Zone: h.deps.VM.Zone}
	}
	return h.deps.Locator.Locate(addr.Addr().Unmap())
}

// Bounds of requests' timeouts.
const (
	defaultTimeout = 30 * time.Second
	maxTimeout     = 10 * time.Minute
	marginFraction = 20 // share of a timeout reserved for the final answer
	maxMargin      = 200 * time.Millisecond
)
