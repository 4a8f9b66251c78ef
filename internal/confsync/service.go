// Package confsync distributes the accepted configuration document to all daemons of a fleet. In
// each region a few daemons watch the platform's store and relay the document to the others. A
// daemon adopts only higher generations, except that the store may replace the document of the
// generation in force.
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

// ServiceName is the name under which the service is registered in the kernel.
const ServiceName = "config.sync"

// Timeouts of calls to the store and to peers.
const (
	readTimeout  = 3 * time.Second
	watchTimeout = 30 * time.Second
	fetchTimeout = 500 * time.Millisecond // for one piece
)

// Deps holds the dependencies of the service.
type Deps struct {
	Self    membership.Member // name, zone, region and incarnation of this daemon
	Store   platform.Store
	Network peer.Network
	Members membership.Source
	Clock   kernel.Clock
	Log     *telemetry.Logger // may be nil
	Metrics *metrics.Set      // may be nil
	// Advertise passes generation and hash of the document in force to the membership service,
	// which sends them with heartbeats. It may be nil.
	Advertise func(generation, hash uint64)
}

// Service distributes the document on one daemon. It is the config.Source of all other services.
type Service struct {
	deps Deps
	repo *repository.Repository

	current atomic.Pointer[loadedDocument]
	notify  *notifier
	counts  counters

	mu     sync.Mutex // guards core
	core   *core
	ctx    context.Context // canceled by Stop
	cancel context.CancelFunc

	taskMu  sync.Mutex // guards stopped
	stopped bool
	tasks   sync.WaitGroup
}

var (
	_ kernel.Service = (*Service)(nil)
	_ config.Source  = (*Service)(nil)
)

// NewService returns a service that has no document yet, and registers its handlers on the network.
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

// Start begins to request the document from the store and the peers, without waiting for it; see
// Ready.
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

// Drain implements kernel.Service. The document is relayed until Stop.
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
	if d := s.current.Load(); d != nil {
		return d.snap
	}
	return nil
}

// Subscribe implements config.Source.
func (s *Service) Subscribe(f func(*config.Snapshot)) (cancel func()) {
	return s.notify.subscribe(f)
}

// Ready returns nil once the document in force has been confirmed since the process started or was
// last paused, and otherwise a *NotReadyError with the reason.
func (s *Service) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.readyError()
}

// Repository returns the repository, which gives access to the history.
func (s *Service) Repository() *repository.Repository { return s.repo }

// Written returns the document in force as it was submitted, without defaults, and its generation,
// or repository.ErrNoDocument if there is none.
func (s *Service) Written() (config.Generation, *repository.Packed, error) {
	cur := s.current.Load()
	if cur == nil {
		return 0, nil, repository.ErrNoDocument
	}
	return cur.generation(), cur.packed, nil
}

// Apply stores a document, puts it in force on this daemon immediately and distributes it from
// here. Errors are those of repository.Apply.
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

// load decodes a packed document. Client blocks equal to those in force are shared with them and
// may be left out.
func (s *Service) load(gen config.Generation, packed *repository.Packed) (*loadedDocument, error) {
	p := *packed
	var have *config.Snapshot
	cur := s.current.Load()
	if cur != nil && cur.snap.BlocksHash == p.BlocksHash {
		have = cur.snap
		p.Blocks = nil // need not be unpacked
	}
	encoded, err := p.Unpack()
	if err != nil {
		return nil, s.logUnreadable(gen, err)
	}
	snap, err := config.Load(gen, encoded, have)
	if err != nil {
		return nil, s.logUnreadable(gen, err)
	}
	if have != nil {
		p.Blocks = cur.packed.Blocks
	}
	return &loadedDocument{snap: snap, packed: &p}, nil
}

// step passes an event to the core and performs the resulting actions.
func (s *Service) step(event func(now time.Time)) {
	s.mu.Lock()
	event(s.deps.Clock.Now())
	actions := s.core.takeActions()
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

// publish puts a document in force. The caller holds s.mu, so that documents are published in
// order.
func (s *Service) publish(d *loadedDocument) {
	s.current.Store(d)
	s.notify.add(d.snap)
	s.counts.adopted.Inc()
}

func (s *Service) perform(a action) {
	switch a := a.(type) {
	case readHead:
		s.run(s.readHead)
	case watchHead:
		s.run(func() { s.watchHead(a.since) })
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
