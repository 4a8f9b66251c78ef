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

// Subject identifies a request by the digests that are known so far.
type Subject struct {
	Whole digest.Digest // of the whole request; zero until the body is complete
	Lead  digest.Digest // of the head and the beginning of a streamed body, else zero
	Head  digest.Digest // of the head, for requests with a body, else zero
}

// digests returns the known digests of the request.
func (s Subject) digests() []digest.Digest {
	var out []digest.Digest
	for _, d := range [...]digest.Digest{s.Whole, s.Lead} {
		if d != (digest.Digest{}) {
			out = append(out, d)
		}
	}
	return out
}

// mostSpecific returns the most specific known digest, or zero if there is none.
func (s Subject) mostSpecific() digest.Digest {
	if s.Whole != (digest.Digest{}) {
		return s.Whole
	}
	return s.Lead
}

// Refusal is the rejection of a request.
type Refusal struct {
	Digest digest.Digest
	Judgement
	// RetryAfter is the delay after which the caller may retry; 0: it should not retry.
	RetryAfter time.Duration
}

// Screen decides which requests may run, and records the outcomes of runs.
type Screen interface {
	// Active reports whether there is a record of any request. It costs one atomic load.
	Active() bool
	// Has reports whether there is a record of a request.
	Has(s Subject) bool
	// HasHead reports whether there is a record of a request with this head and a body,
	// so that the body is needed to identify the request.
	HasHead(head digest.Digest) bool
	// Enter checks an arriving request. A suspect request needs a lease, which may require
	// a call to another VM. If the request is clear, both results are nil.
	Enter(ctx context.Context, s Subject) (*Pass, *Refusal)
	// Barred checks a request without a lease again before it is sent to a target. It
	// returns nil if the request may run.
	Barred(s Subject) *Refusal
	// Crashed records the crash of a target during a run.
	Crashed(s Subject, target string, began, ended time.Time)
	// Answered records an answered run, which clears the request.
	Answered(s Subject)
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
	_ Screen         = (*Service)(nil)
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

// Active implements Screen.
func (s *Service) Active() bool { return s.active.Load() }

// Has implements Screen.
func (s *Service) Has(subject Subject) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(subject.digests(), s.ledger.Has)
}

// HasHead implements Screen.
func (s *Service) HasHead(head digest.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.HasHead(head)
}

// Crashed implements Screen.
func (s *Service) Crashed(subject Subject, target string, began, ended time.Time) {
	d := subject.mostSpecific()
	if d == (digest.Digest{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.crashes.Inc()
	s.applyChange(d, "", "crash", func(now time.Time) bool {
		return s.ledger.Crashed(d, subject.Head, Crash{TargetID(target), began, ended}, now)
	})
}

// Answered implements Screen.
func (s *Service) Answered(subject Subject) {
	if !s.Active() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range subject.digests() {
		s.clearRequest(d, "answered")
	}
}

// clearRequest clears a request; s.mu is held.
func (s *Service) clearRequest(d digest.Digest, cause string) {
	stored := s.ledger.Judge(d, s.deps.Clock.Now()).Stored
	cleared := s.applyChange(d, "", cause, func(now time.Time) bool { return s.ledger.Acquit(d, now) })
	if cleared && stored {
		s.persistence.scheduleDelete(d)
	}
}

// applyChange applies a change to a record, and publishes and logs it if the record changed;
// s.mu is held. from is the VM that reported the change, empty for this one.
func (s *Service) applyChange(d digest.Digest, from, cause string, apply func(now time.Time) bool) bool {
	now := s.deps.Clock.Now()
	before := s.ledger.Judge(d, now)
	if !apply(now) {
		return false
	}
	s.publish(d, from)
	s.logChange(d, &before, cause, now)
	s.updateCounts()
	return true
}

// logChange logs a change of the verdict; s.mu is held.
func (s *Service) logChange(d digest.Digest, before *Judgement, cause string, now time.Time) {
	after := s.ledger.Judge(d, now)
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
		telemetry.Value("trials", max(after.Trials, before.Trials)))
}

// Barred implements Screen.
func (s *Service) Barred(subject Subject) *Refusal {
	if !s.Active() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, j := s.assess(subject)
	if j.Verdict == Clear {
		return nil
	}
	return s.refusal(d, j, suspectRetryAfter)
}

// assess returns the most severe verdict on a request's digests; s.mu is held.
func (s *Service) assess(subject Subject) (digest.Digest, Judgement) {
	var worst digest.Digest
	var j Judgement
	now := s.deps.Clock.Now()
	for _, d := range subject.digests() {
		if candidate := s.ledger.Judge(d, now); worst == (digest.Digest{}) || candidate.Verdict > j.Verdict {
			worst, j = d, candidate
		}
	}
	return worst, j
}

// suspectRetryAfter is the maximum Retry-After value for suspect requests.
const suspectRetryAfter = 500 * time.Millisecond

// refusal returns a rejection and counts it; s.mu is held.
func (s *Service) refusal(d digest.Digest, j Judgement, retryAfter time.Duration) *Refusal {
	s.stats.refused(j.Verdict).Inc()
	r := &Refusal{Digest: d, Judgement: j}
	if j.Verdict == Suspect {
		r.RetryAfter = retryAfter
	}
	return r
}
