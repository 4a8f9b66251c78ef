package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"masticturn/internal/digest"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "quarantine"

// RequestDigests identifies a request by the digests that are known so far.
type RequestDigests struct {
	Whole  digest.Digest // of the whole request; zero until the body is complete
	Prefix digest.Digest // of the head and the beginning of a streamed body, else zero
	Head   digest.Digest // of the head, for requests with a body, else zero
}

// digests returns the known digests of the request.
func (r RequestDigests) digests() []digest.Digest {
	var out []digest.Digest
	for _, d := range [...]digest.Digest{r.Whole, r.Prefix} {
		if d != (digest.Digest{}) {
			out = append(out, d)
		}
	}
	return out
}

// mostSpecific returns the most specific known digest, or zero if there is none.
func (r RequestDigests) mostSpecific() digest.Digest {
	if r.Whole != (digest.Digest{}) {
		return r.Whole
	}
	return r.Prefix
}

// Refusal is the rejection of a request.
type Refusal struct {
	Digest digest.Digest
	Assessment
	// RetryAfter is the delay after which the caller may retry; 0: it should not retry.
	RetryAfter time.Duration
}

// Screener decides which requests may run, and records the outcomes of runs.
type Screener interface {
	// Active reports whether there is a record of any request. It costs one atomic load.
	Active() bool
	// Has reports whether there is a record of a request.
	Has(r RequestDigests) bool
	// HasHead reports whether there is a record of a request with this head and a body,
	// so that the body is needed to identify the request.
	HasHead(head digest.Digest) bool
	// Admit checks an arriving request. A suspect request needs a lease, which may require
	// a call to another VM. If the request is clear, both results are nil.
	Admit(ctx context.Context, r RequestDigests) (*Lease, *Refusal)
	// Recheck checks a request without a lease again before it is sent to a target. It
	// returns nil if the request may run.
	Recheck(r RequestDigests) *Refusal
	// Crashed records the crash of a target during a run.
	Crashed(r RequestDigests, target string, began, ended time.Time)
	// Answered records an answered run, which clears the request.
	Answered(r RequestDigests)
}

// Deps are the dependencies of a Service.
type Deps struct {
	Self    string // name of this VM
	Members membership.Source
	// Partners returns the VMs to which this one forwards changed records. The graph of
	// partners must be connected.
	Partners func() []string
	// Joined reports whether this VM has received the member list or is the only member.
	Joined func() bool
	// FirstStart is set when the whole fleet starts for the first time, with an empty
	// store.
	FirstStart bool
	Network    peer.Network
	Store      platform.Store // nil: nothing is persisted
	Clock      kernel.Clock
	Logger     *telemetry.Logger
	Metrics    *metrics.Set
}

// Service maintains a Ledger and replicates it to the other VMs.
type Service struct {
	deps    Deps
	stats   serviceMetrics
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	updates chan struct{} // signals that records are queued
	rejoins chan struct{} // signals that partners are alive again
	active  atomic.Bool

	unsubscribe func()

	mu                 sync.Mutex // guards the fields below
	ledger             *Ledger
	pending            map[digest.Digest]string // queued records, with the VM that each came from
	singleCrashLimiter *rate.Limiter            // limits the bytes of single-crash reports
	leases             *leaseTable
	deniedUntil        map[digest.Digest]time.Time // earliest time of the next lease request
	persistence        persistence
	round              int             // number of ticks of anti-entropy
	alive              map[string]bool // members alive in the last view
	rejoined           []string        // partners that are alive again
}

var (
	_ Screener       = (*Service)(nil)
	_ kernel.Service = (*Service)(nil)
)

// NewService returns a service without records.
func NewService(d Deps) *Service {
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	s := &Service{
		deps:               d,
		stats:              newServiceMetrics(d.Metrics),
		updates:            make(chan struct{}, 1),
		rejoins:            make(chan struct{}, 1),
		ledger:             NewLedger(),
		pending:            make(map[digest.Digest]string),
		singleCrashLimiter: rate.NewLimiter(singleCrashBytesPerSecond, singleCrashBytesBurst),
		leases:             newLeaseTable(),
		deniedUntil:        make(map[digest.Digest]time.Time),
		persistence:        newPersistence(),
	}
	s.persistence.loaded = d.Store == nil || d.FirstStart
	d.Network.Handle(peer.KindQuarantineReports, s.handleReports)
	d.Network.Handle(peer.KindQuarantineSync, s.handleSync)
	d.Network.Handle(peer.KindQuarantineLease, s.handleLease)
	d.Network.Handle(peer.KindQuarantineRelease, s.handleRelease)
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service. It does not wait for the other VMs.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.unsubscribe = s.deps.Members.Subscribe(s.handleViewChange)
	s.wg.Go(func() { s.run(ctx) })
	s.wg.Go(func() { s.publishLoop(ctx) })
	return nil
}

// Drain implements kernel.Service. It does nothing: requests in flight still need the
// service.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.unsubscribe()
	s.cancel()
	s.wg.Wait()
	return nil
}

// tickInterval is the period of expiry, anti-entropy and persistence.
const tickInterval = time.Second

func (s *Service) run(ctx context.Context) {
	s.bootstrap(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.rejoins:
			s.syncRejoined(ctx)
		case <-ticker.C:
			s.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) tick(ctx context.Context) {
	s.load(ctx)
	if !s.active.Load() {
		return
	}
	s.sweep()
	s.runAntiEntropy(ctx)
	s.persist(ctx)
}

func (s *Service) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	s.ledger.Sweep(now)
	s.leases.sweep(now)
	for d, until := range s.deniedUntil {
		if now.After(until) {
			delete(s.deniedUntil, d)
		}
	}
	s.persistence.sweep(s.ledger)
	s.updateCounts()
	if len(s.pending) > 0 {
		signal(s.updates)
	}
}

// signal wakes the receiver of a channel.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // already signalled
	}
}

// updateCounts updates the active flag and the gauges; s.mu is held.
func (s *Service) updateCounts() {
	s.active.Store(s.ledger.Len() > 0)
	s.stats.update(s.ledger)
}

// Active implements Screener.
func (s *Service) Active() bool { return s.active.Load() }

// Has implements Screener.
func (s *Service) Has(request RequestDigests) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(request.digests(), s.ledger.Has)
}

// HasHead implements Screener.
func (s *Service) HasHead(head digest.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.HasHead(head)
}

// Crashed implements Screener.
func (s *Service) Crashed(request RequestDigests, target string, began, ended time.Time) {
	d := request.mostSpecific()
	if d == (digest.Digest{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.crashes.Inc()
	s.applyChange(d, "", "crash", func(now time.Time) bool {
		return s.ledger.Crashed(d, request.Head, Crash{TargetID(target), began, ended}, now)
	})
}

// Answered implements Screener.
func (s *Service) Answered(request RequestDigests) {
	if !s.Active() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range request.digests() {
		s.clearRequest(d, "answered")
	}
}

// clearRequest clears a request; s.mu is held.
func (s *Service) clearRequest(d digest.Digest, cause string) {
	stored := s.ledger.Assess(d, s.deps.Clock.Now()).Stored
	cleared := s.applyChange(d, "", cause, func(now time.Time) bool { return s.ledger.Clear(d, now) })
	if cleared && stored {
		s.persistence.scheduleDelete(d)
	}
}

// applyChange applies a change to a record, and publishes and logs it if the record changed;
// s.mu is held. from is the VM that reported the change, empty for this one.
func (s *Service) applyChange(d digest.Digest, from, cause string, apply func(now time.Time) bool) bool {
	now := s.deps.Clock.Now()
	before := s.ledger.Assess(d, now)
	if !apply(now) {
		return false
	}
	s.publish(d, from)
	s.logChange(d, &before, cause, now)
	s.updateCounts()
	return true
}

// logChange logs a change of the verdict; s.mu is held.
func (s *Service) logChange(d digest.Digest, before *Assessment, cause string, now time.Time) {
	after := s.ledger.Assess(d, now)
	if after.Verdict == before.Verdict {
		return
	}
	event := eventSuspect
	switch after.Verdict {
	case Quarantined:
		event = eventQuarantined
	case Clear:
		event = eventCleared
	}
	s.deps.Logger.Log(event,
		telemetry.Value("digest", d.String()),
		telemetry.Value("cause", cause),
		telemetry.Value("crashes", max(after.Crashes, before.Crashes)),
		telemetry.Value("trials", max(after.FailedTrials, before.FailedTrials)))
}

// Recheck implements Screener.
func (s *Service) Recheck(request RequestDigests) *Refusal {
	if !s.Active() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, a := s.assess(request)
	if a.Verdict == Clear {
		return nil
	}
	return s.refusal(d, a, suspectRetryAfter)
}

// assess returns the most severe verdict on a request's digests; s.mu is held.
func (s *Service) assess(request RequestDigests) (digest.Digest, Assessment) {
	var worst digest.Digest
	var a Assessment
	now := s.deps.Clock.Now()
	for _, d := range request.digests() {
		if candidate := s.ledger.Assess(d, now); worst == (digest.Digest{}) || candidate.Verdict > a.Verdict {
			worst, a = d, candidate
		}
	}
	return worst, a
}

// suspectRetryAfter is the Retry-After value for suspect requests while another run holds
// the lease, and if the delay is unknown. It is also the maximum: a shorter known delay is
// used instead.
const suspectRetryAfter = 500 * time.Millisecond

// refusal returns a rejection and counts it; s.mu is held.
func (s *Service) refusal(d digest.Digest, a Assessment, retryAfter time.Duration) *Refusal {
	s.stats.refused(a.Verdict).Inc()
	r := &Refusal{Digest: d, Assessment: a}
	if a.Verdict == Suspect {
		r.RetryAfter = retryAfter
	}
	return r
}
