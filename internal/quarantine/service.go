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

// Subject is the identity of a request as far as it is known.
type Subject struct {
	Whole digest.Digest // zero until the whole body has arrived
	Lead  digest.Digest // of the head and the beginning of a streamed body, else zero
	Head  digest.Digest // of requests with a body, else zero
}

// digests returns the digests that are known.
func (s Subject) digests() []digest.Digest {
	var out []digest.Digest
	for _, d := range [...]digest.Digest{s.Whole, s.Lead} {
		if d != (digest.Digest{}) {
			out = append(out, d)
		}
	}
	return out
}

// best returns the most specific digest; zero if none is known.
func (s Subject) best() digest.Digest {
	if s.Whole != (digest.Digest{}) {
		return s.Whole
	}
	return s.Lead
}

// Refusal is a rejection with its evidence.
type Refusal struct {
	Digest digest.Digest
	Judgement
	// RetryAfter is when the caller may retry; 0: it should not.
	RetryAfter time.Duration
}

// Screen decides which requests may run, and records the outcomes of runs.
type Screen interface {
	// Active reports whether any request is on record. It is one atomic load.
	Active() bool
	// Has reports whether a request is on record.
	Has(s Subject) bool
	// HasHead reports whether a request with this head and a body is on record, so that
	// the body is needed to identify the request.
	HasHead(head digest.Digest) bool
	// Enter screens an arriving request. For a lease it calls another VM.
	Enter(ctx context.Context, s Subject) (*Pass, *Refusal)
	// Barred screens a request without a lease again before it is sent; nil: it may be.
	Barred(s Subject) *Refusal
	// Crashed records the crash of a target during a run.
	Crashed(s Subject, target string, began, ended time.Time)
	// Answered records an answered run.
	Answered(s Subject)
}

// Deps is what a Service needs.
type Deps struct {
	Self    string // name of this VM
	Members membership.Source
	// Partners returns the VMs to which this one floods changes. The graph of partners
	// must be connected.
	Partners func() []string
	// Joined reports whether this VM has the member list, or is alone.
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

// Service runs a Ledger and shares it with the other VMs.
type Service struct {
	deps    Deps
	meter   meter
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	updates chan struct{} // records are queued
	returns chan struct{} // partners are alive again
	active  atomic.Bool

	unsubscribe func()

	mu        sync.Mutex // guards all below
	ledger    *Ledger
	pending   map[digest.Digest]string // queued records with the VM they came from
	budget    *rate.Limiter            // bytes of single-crash reports
	leases    *leases
	denied    map[digest.Digest]time.Time // next lease request
	persisted persistence
	turn      int             // of anti-entropy
	alive     map[string]bool // in the last view
	returned  []string        // partners that are alive again
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
		deps:      d,
		meter:     newMeter(d.Metrics),
		updates:   make(chan struct{}, 1),
		returns:   make(chan struct{}, 1),
		ledger:    NewLedger(),
		pending:   make(map[digest.Digest]string),
		budget:    rate.NewLimiter(singleBytesPerSecond, singleBytesBurst),
		leases:    newLeases(),
		denied:    make(map[digest.Digest]time.Time),
		persisted: newPersistence(),
	}
	s.persisted.loaded = d.Store == nil || d.FirstStart
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
	s.unsubscribe = s.deps.Members.Subscribe(s.follow)
	s.wg.Go(func() { s.run(ctx) })
	s.wg.Go(func() { s.publishLoop(ctx) })
	return nil
}

// Drain implements kernel.Service. Requests in flight still need it.
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
		case <-s.returns:
			s.syncReturned(ctx)
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
	s.compare(ctx)
	s.persist(ctx)
}

func (s *Service) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	s.ledger.Sweep(now)
	s.leases.sweep(now)
	for d, until := range s.denied {
		if now.After(until) {
			delete(s.denied, d)
		}
	}
	s.persisted.sweep(s.ledger)
	s.count()
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

// count updates what depends on the number of records; s.mu is held.
func (s *Service) count() {
	s.active.Store(s.ledger.Len() > 0)
	s.meter.count(s.ledger)
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
	d := subject.best()
	if d == (digest.Digest{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.crashes.Inc()
	s.change(d, "", "crash", func(now time.Time) bool {
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
		s.acquit(d, "answered")
	}
}

// acquit clears a request; s.mu is held.
func (s *Service) acquit(d digest.Digest, cause string) {
	stored := s.ledger.Judge(d, s.deps.Clock.Now()).Stored
	acquitted := s.change(d, "", cause, func(now time.Time) bool { return s.ledger.Acquit(d, now) })
	if acquitted && stored {
		s.persisted.scheduleDelete(d)
	}
}

// change applies a change to a record, and publishes and logs it if it had an effect;
// s.mu is held. From is the VM it came from, empty for this one.
func (s *Service) change(d digest.Digest, from, cause string, do func(now time.Time) bool) bool {
	now := s.deps.Clock.Now()
	before := s.ledger.Judge(d, now)
	if !do(now) {
		return false
	}
	s.publish(d, from)
	s.logChange(d, &before, cause, now)
	s.count()
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
	d, j := s.judge(subject)
	if j.Verdict == Clear {
		return nil
	}
	return s.refusal(d, j, suspectRetryAfter)
}

// judge returns the worst verdict on a request's digests; s.mu is held.
func (s *Service) judge(subject Subject) (digest.Digest, Judgement) {
	var worst digest.Digest
	var j Judgement
	now := s.deps.Clock.Now()
	for _, d := range subject.digests() {
		if this := s.ledger.Judge(d, now); worst == (digest.Digest{}) || this.Verdict > j.Verdict {
			worst, j = d, this
		}
	}
	return worst, j
}

// suspectRetryAfter is the retry advice while another run holds the lease.
const suspectRetryAfter = 500 * time.Millisecond

// refusal returns a rejection; s.mu is held.
func (s *Service) refusal(d digest.Digest, j Judgement, again time.Duration) *Refusal {
	s.meter.refused(j.Verdict).Inc()
	r := &Refusal{Digest: d, Judgement: j}
	if j.Verdict == Suspect {
		r.RetryAfter = again
	}
	return r
}
