// Package forward implements the request path: it forwards a caller's request to a target and relays
// the complete response. On failure it reports whether the request may have run.
package forward

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/admission"
	"masticturn/internal/callerconn"
	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/idempotency"
	"masticturn/internal/kernel"
	"masticturn/internal/lookup"
	"masticturn/internal/measure"
	"masticturn/internal/quarantine"
	"masticturn/internal/ratelimit"
	"masticturn/internal/relaybuf"
	"masticturn/internal/settings"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// relayBufferBytes is the size of relay buffers. Responses up to this size are read completely
// before their first byte is sent to the caller.
const relayBufferBytes = 32 << 10

// Observer receives the state that targets report in their responses.
type Observer interface {
	Observe(o measure.Observation)
}

// KeyGuard reports whether the API keys in the document are recent enough to be accepted.
type KeyGuard interface {
	KeysUsable() bool
}

// Deps holds the dependencies of a Handler.
type Deps struct {
	Config    config.Source
	Admission admission.Admitter
	Locator   lookup.Locator
	Measure   Observer
	Keys      idempotency.Registry // nil: requests with idempotency keys are rejected
	Screen    quarantine.Screener  // nil: no quarantine checks
	KeyGuard  KeyGuard             // nil: API keys are always accepted
	Limiter   ratelimit.Limiter    // nil: customers have no rate limits
	// Expected returns the targets to which connections are opened ahead of requests; nil: none.
	Expected func() []*config.TargetIndex
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Targets  targetconn.Dialer // used for targets instead of Dial if not nil
	// ShareLimit tells a VM that carries connections which rate limit, in requests/s, a target has named on one;
	// nil: no VM carries any.
	ShareLimit func(carrier, target string, perSecond float64)
	Logger     *telemetry.Logger
	Metrics    *metrics.Set
	Dialect    *edge.Dialect // nil: edge.Native()
	// Limits bounds what targets may send; without a limit of the head, its default applies.
	Limits settings.Targets
	VM     settings.VM
	Clock  kernel.Clock
}

// Handler forwards callers' requests. It is safe for concurrent use.
type Handler struct {
	deps             Deps
	conns            *targetconn.Pools
	retryBudget      *retryBudget
	series           *seriesCache
	faults           *faultLog
	splitter         *splitter
	regions          *regionCounter
	crashProber      *crashProber
	readAheadMemory  memoryBudget
	relayMemory      *relaybuf.Memory
	responseSizes    relaybuf.Sizes
	aheadBudget      targetconn.AheadBudget
	repeatableShares *repeatableShares
	unanswered       attemptSet // attempts that may be abandoned; see awaitResponse
	buffers          sync.Pool
	inFlight         atomic.Int64
	closing          atomic.Bool
	refusing         atomic.Bool
	sendingStopped   atomic.Bool
	unadmitted       attemptSet // attempts that wait for a slot
}

var _ http.Handler = (*Handler)(nil)

// NewHandler creates a Handler. Close releases its connections.
func NewHandler(d Deps) *Handler {
	if d.Dialect == nil {
		d.Dialect = edge.Native()
	}
	h := &Handler{
		deps: d,
		conns: targetconn.NewPools(targetconn.Deps{
			Dial: d.Dial, Targets: d.Targets, MaxHeadBytes: cmp.Or(d.Limits.MaxHeadBytes, settings.DefaultMaxHeadBytes),
			Clock: d.Clock, Metrics: d.Metrics,
		}),
		retryBudget:      &retryBudget{},
		series:           newSeriesCache(d.Metrics),
		faults:           newFaultLog(d.Logger),
		splitter:         newSplitter(),
		regions:          newRegionCounter(d.Logger, d.Metrics, d.Clock),
		repeatableShares: newRepeatableShares(),
		crashProber:      newCrashProber(d),
		relayMemory:      relaybuf.NewMemory(relayMemoryLimit(d.VM.MemoryBytes)),
	}
	h.buffers.New = func() any { return new([relayBufferBytes]byte) }
	return h
}

// Limits of the memory for responses that callers read more slowly than targets send them.
const (
	relayMemoryFraction     = 4        // 1/4 of the VM's memory
	defaultRelayMemoryBytes = 32 << 20 // if the VM's memory is unknown
)

// relayMemoryLimit returns the limit for a VM with the given memory, both in bytes.
func relayMemoryLimit(memory int64) int64 {
	if memory <= 0 {
		return defaultRelayMemoryBytes
	}
	return memory / relayMemoryFraction
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.closing.Load() {
		setHeader(w.Header(), "Connection", "close")
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // the caller left before its request was handled
	}
	now := h.deps.Clock.Now()
	x := exchange{h: h, w: w, r: r, startedAt: now, receivedAt: receivedAt(r, now)}
	x.serve()
}

// receivedAt returns when a request was received that is handled from now on. A request that the caller sent
// before the answer to its previous one has waited since then.
func receivedAt(r *http.Request, now time.Time) time.Time {
	if at := callerconn.ReceivedAt(r.Context()); !at.IsZero() && at.Before(now) {
		return at
	}
	return now
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// CloseConnections makes each caller's connection close after its next response. Requests are still
// served.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

// Refuse makes the handler reject further requests as not run because this process is about to exit.
func (h *Handler) Refuse() { h.refusing.Store(true) }

// Adopt drops the state of targets, rules and services that are not in the snapshot.
func (h *Handler) Adopt(s *config.Snapshot) {
	h.conns.Adopt(s)
	h.retryBudget.retain(func(target string) bool { return s.Target(target) != nil })
	h.splitter.retain(s.Document.Hosts)
	h.repeatableShares.retain(s)
}

// Sweep closes expired idle connections. It must be called about once a second.
func (h *Handler) Sweep() { h.conns.Sweep() }

// Close closes the idle connections to targets.
func (h *Handler) Close() { h.conns.Close() }

// callerPlace returns the caller's region and availability zone, or this VM's if the caller's address
// can't be parsed.
func (h *Handler) callerPlace(r *http.Request) lookup.Place {
	addr, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return lookup.Place{Region: h.deps.VM.Region, Zone: h.deps.VM.Zone}
	}
	return h.deps.Locator.Locate(addr.Addr().Unmap())
}

// Limits of request timeouts.
const (
	defaultTimeout       = 30 * time.Second
	maxTimeout           = 10 * time.Minute
	timeoutMarginDivisor = 20 // 1/20 of a timeout is reserved for sending the final response
	maxTimeoutMargin     = 200 * time.Millisecond
)
