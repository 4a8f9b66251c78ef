// Package confsync puts the accepted document in force on all daemons: a few watch the platform's
// store and spread it to the others. A daemon adopts only higher generations.
package confsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "config.sync"

// Timeouts of the calls that follow the document.
const (
	readTimeout  = 3 * time.Second
	watchTimeout = 30 * time.Second
	fetchTimeout = 500 * time.Millisecond // of one part
)

// Deps are what the service needs.
type Deps struct {
	Self    membership.Member // name, zone, region and incarnation of this daemon
	Store   platform.Store
	Network peer.Network
	Members membership.Source
	Clock   kernel.Clock
	Log     *telemetry.Logger // may be nil
	Metrics *metrics.Set      // may be nil
	// Advertise passes the document in force here to the membership, to go
	// out with heartbeats. It may be nil.
	Advertise func(generation, hash uint64)
}

// Service is the spread of the document at one daemon. It is the
// config.Source of all others.
type Service struct {
	deps Deps
	repo *repository.Repository

	current atomic.Pointer[held]
	notify  *notifier
	counts  counters

	mu     sync.Mutex // guards core
	core   *core
	ctx    context.Context // done when the service has stopped
	cancel context.CancelFunc

	taskMu  sync.Mutex // guards stopped
	stopped bool
	tasks   sync.WaitGroup
}

var (
	_ kernel.Service = (*Service)(nil)
	_ config.Source  = (*Service)(nil)
)

// NewService returns a service that has no document yet. It sets its handlers
// on the network.
func NewService(deps Deps) *Service {
	s := &Service{
		deps:   deps,
		repo:   repository.New(deps.Store, deps.Clock),
		core:   newCore(deps.Self, xxhash.Sum64String(deps.Self.Name)^deps.Self.Incarnation),
		notify: newNotifier(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if deps.Advertise != nil {
		s.notify.subscribe(func(snap *config.Snapshot) { deps.Advertise(uint64(snap.Generation), snap.Hash) })
	}
	s.counts = newCounters(deps.Metrics, s)
	deps.Network.Handle(peer.KindConfigPush, s.handlePush)
	deps.Network.Handle(peer.KindConfigFetch, s.handleFetch)
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start asks the store and the peers for the document. It does not wait for
// it; see Ready.
func (s *Service) Start(ctx context.Context) error {
	context.AfterFunc(ctx, s.cancel)
	unsubscribe := s.deps.Members.Subscribe(func(v *membership.View) {
		s.step(func(now time.Time) { s.core.onView(now, v) })
	})
	s.step(func(now time.Time) {
		s.core.onStart(now)
		s.core.onView(now, s.deps.Members.View())
	})
	s.run(func() {
		defer unsubscribe()
		s.tick()
	})
	s.run(func() { s.notify.run(s.ctx) })
	return nil
}

// Drain implements kernel.Service. The document is passed on until Stop.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.taskMu.Lock()
	s.stopped = true
	s.taskMu.Unlock()
	s.tasks.Wait()
	return nil
}

// Current implements config.Source.
func (s *Service) Current() *config.Snapshot {
	if h := s.current.Load(); h != nil {
		return h.snap
	}
	return nil
}

// Subscribe implements config.Source.
func (s *Service) Subscribe(f func(*config.Snapshot)) (cancel func()) {
	return s.notify.subscribe(f)
}

// Ready returns nil once the document in force has been confirmed since the
// start and since the last pause of the process, or a *NotReadyError that
// says what is missing.
func (s *Service) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.whyNotReady()
}

// Repository returns the repository, to read the history.
func (s *Service) Repository() *repository.Repository { return s.repo }

// Written returns the document in force as it was written, without defaults,
// and its generation; repository.ErrNoDocument when there is none.
func (s *Service) Written() (config.Generation, *repository.Packed, error) {
	cur := s.current.Load()
	if cur == nil {
		return 0, nil, repository.ErrNoDocument
	}
	return cur.generation(), cur.packed, nil
}

// Apply stores a document and puts it in force here at once, from where it
// spreads. Errors are those of repository.Apply.
func (s *Service) Apply(ctx context.Context, p repository.Proposal) (*repository.Accepted, error) {
	p.InForce = s.Current()
	accepted, err := s.repo.Apply(ctx, p)
	if err != nil {
		return nil, err
	}
	d, err := s.load(accepted.Record.Generation, accepted.Packed)
	if err != nil {
		return nil, err
	}
	s.step(func(time.Time) { s.core.onApplied(d) })
	return accepted, nil
}

// load derives what is held of a document. Client blocks equal to those in
// force are shared with them, and may be left out.
func (s *Service) load(gen config.Generation, packed *repository.Packed) (*held, error) {
	p := *packed
	var have *config.Snapshot
	cur := s.current.Load()
	if cur != nil && cur.snap.BlocksHash == p.BlocksHash {
		have = cur.snap
		p.Blocks = nil // need not be opened
	}
	encoded, err := p.Unpack()
	if err != nil {
		return nil, s.unreadable(gen, err)
	}
	snap, err := config.Load(gen, encoded, have)
	if err != nil {
		return nil, s.unreadable(gen, err)
	}
	if have != nil {
		p.Blocks = cur.packed.Blocks
	}
	return &held{snap: snap, packed: &p}, nil
}

// step lets the core take an event and carries out its actions.
func (s *Service) step(event func(now time.Time)) {
	s.mu.Lock()
	event(s.deps.Clock.Now())
	actions := s.core.take()
	for _, a := range actions {
		if p, ok := a.(publish); ok {
			s.publish(p.doc)
		}
	}
	s.mu.Unlock()
	for _, a := range actions {
		s.perform(a)
	}
}

// publish puts a document in force; s.mu is held, which keeps the order.
func (s *Service) publish(d *held) {
	s.current.Store(d)
	s.notify.add(d.snap)
	s.counts.adopted.Inc()
}

func (s *Service) perform(a action) {
	switch a := a.(type) {
	case readHead:
		s.run(s.read)
	case watchHead:
		s.run(func() { s.watch(a.since) })
	case fetchFrom:
		s.run(func() { s.fetch(a.peer) })
	case pushTo:
		s.counts.pushes.Inc()
		_ = s.deps.Network.Send(a.peer, peer.KindConfigPush, &a.message)
	case logEvent:
		s.deps.Log.Log(a.event, a.fields...)
	}
}

// run starts a goroutine that Stop waits for. After Stop it does nothing.
func (s *Service) run(f func()) {
	s.taskMu.Lock()
	defer s.taskMu.Unlock()
	if s.stopped {
		return
	}
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		f()
	}()
}

func (s *Service) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.step(func(now time.Time) { s.core.onTick(now) })
		}
	}
}
