package discovery

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "discovery"

// expireEvery is how often targets that did not come back are looked for.
const expireEvery = 200 * time.Millisecond

// Deps is what a Service needs.
type Deps struct {
	Store   platform.Store
	Decoder Decoder
	Places  map[string]string // availability zone to region
	Retry   config.Retry      // budget of this VM, which the document does not set
	Clock   kernel.Clock
	Logger  *telemetry.Logger
}

// Service mirrors the store and hands out views.
type Service struct {
	deps   Deps
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex // guards all below and orders publication
	belief  *belief
	mirrors map[platform.Kind]*Mirror
	subs    map[int]func(*View)
	nextSub int

	view atomic.Pointer[View]
}

var (
	_ kernel.Service = (*Service)(nil)
	_ config.Source  = (*Service)(nil)
)

// NewService returns a service without a view.
func NewService(d Deps) *Service {
	kinds := d.Decoder.Kinds()
	return &Service{
		deps:   d,
		belief: newBelief(d.Decoder, d.Places, d.Retry),
		mirrors: map[platform.Kind]*Mirror{
			kinds.Document:    NewMirror(),
			kinds.Evacuations: NewMirror(),
			kinds.Targets:     NewMirror(),
		},
		subs: make(map[int]func(*View)),
	}
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service. It does not wait for the store.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	for kind := range s.mirrors {
		w := &watcher{kind: kind, source: s.deps.Store, logger: s.deps.Logger, publish: s.take}
		s.wg.Go(func() { w.run(ctx) })
	}
	s.wg.Go(func() { s.expire(ctx) })
	return nil
}

// Drain implements kernel.Service. Requests in flight still need views.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// View returns what is believed now; nil until there is a document.
func (s *Service) View() *View { return s.view.Load() }

// Current implements config.Source.
func (s *Service) Current() *config.Snapshot {
	if v := s.view.Load(); v != nil {
		return v.Snapshot
	}
	return nil
}

// Subscribe implements config.Source.
func (s *Service) Subscribe(f func(*config.Snapshot)) (cancel func()) {
	return s.SubscribeView(func(v *View) { f(v.Snapshot) })
}

// SubscribeView calls f with each new view, in order. f must not block.
func (s *Service) SubscribeView(f func(*View)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextSub
	s.nextSub++
	s.subs[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subs, id)
	}
}

// take takes in what a watcher read.
func (s *Service) take(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	if c.regained && c.kind == s.deps.Decoder.Kinds().Targets {
		s.belief.regained = now
	}
	mirror := s.mirrors[c.kind]
	changed := false
	if c.listed {
		changed = mirror.Replace(c.list, c.asOf)
	} else {
		changed = mirror.Apply(c.events, c.asOf)
	}
	if changed || c.listed {
		s.believe(c.kind, mirror, now)
		s.publish()
	}
}

// believe takes in a mirror that changed.
func (s *Service) believe(kind platform.Kind, m *Mirror, now time.Time) {
	version := telemetry.Value("version", uint64(m.AsOf()))
	switch kinds := s.deps.Decoder.Kinds(); kind {
	case kinds.Document:
		adopted, err := s.belief.setDocument(m)
		if err != nil {
			s.deps.Logger.Log(eventDocumentBad, version, telemetry.Err(err))
		}
		if adopted {
			s.deps.Logger.Log(eventDocument, version, telemetry.GenerationOf(uint64(s.belief.gen)))
		}
	case kinds.Evacuations:
		s.belief.setZones(m, now)
		s.deps.Logger.Log(eventZones, version, telemetry.Value("zones", strings.Join(slices.Sorted(maps.Keys(s.belief.zones)), ",")))
	case kinds.Targets:
		before := s.belief.states()
		for _, err := range s.belief.setTargets(m, now) {
			s.deps.Logger.Log(eventTargetBad, version, telemetry.Err(err))
		}
		s.logTargets(before, version)
	}
}

// logTargets writes what changed of targets.
func (s *Service) logTargets(before map[string]string, version telemetry.Field) {
	after := s.belief.states()
	for name, state := range after {
		if before[name] != state {
			s.deps.Logger.Log(eventTarget, version, telemetry.Peer(name), telemetry.Value("state", state))
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			s.deps.Logger.Log(eventTarget, version, telemetry.Peer(name), telemetry.Value("state", "gone"))
		}
	}
}

// publish makes a view of the belief and hands it out.
func (s *Service) publish() {
	v := s.belief.view()
	if v == nil {
		return
	}
	s.view.Store(v)
	for _, f := range s.subs {
		f(v)
	}
}

// expire drops targets whose entries did not come back after an outage.
func (s *Service) expire(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, expireEvery)
		s.mu.Lock()
		before := s.belief.states()
		if s.belief.expire(s.deps.Clock.Now()) {
			s.logTargets(before, telemetry.Value("cause", "did not come back after the outage"))
			s.publish()
		}
		s.mu.Unlock()
	}
}
