package discovery

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "discovery"

// expireInterval is the interval of checks for missing targets to drop.
const expireInterval = 200 * time.Millisecond

// staleHold is how long a stale VM holds a poll, which may end the staleness and spaces the
// polls.
const staleHold = 100 * time.Millisecond

// maxEntryBytes bounds the entries of targets and evacuated zones.
const maxEntryBytes = 4 << 10

// maxObjectBytes returns the limit of each kind's objects.
func maxObjectBytes(kinds Kinds) map[platform.Kind]int {
	return map[platform.Kind]int{
		kinds.Document:    platform.MaxValueBytes,
		kinds.Evacuations: maxEntryBytes,
		kinds.Targets:     maxEntryBytes,
	}
}

// Deps is what a Service needs.
type Deps struct {
	Store   platform.Store
	Decoder Decoder
	Members membership.Source
	Network peer.Network
	// Joined reports whether this VM has joined the others, or is alone.
	Joined func() bool
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	Places     map[string]string // availability zone to region
	Bounds     settings.Bounds
	// Shares returns the limits of the fleet and this VM's share of the retry budget, which are
	// not part of the stored document.
	Shares  func() (config.Fleet, config.Retry)
	Clock   kernel.Clock
	Boot    kernel.BootClock // nil: the machine is never suspended
	Logger  *telemetry.Logger
	Metrics *metrics.Set
}

// Service mirrors the store and publishes views.
type Service struct {
	deps    Deps
	timings map[platform.Kind]Timing
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	stopped chan struct{} // closed by Stop
	missing chan struct{} // signals missing targets
	backoff outageBackoff // of calls to the store

	mu          sync.Mutex // guards all below and orders publication
	catalog     *catalog
	mirrors     map[platform.Kind]*Mirror
	lastContact map[platform.Kind]time.Time     // with the store, by kind
	news        map[platform.Kind]chan struct{} // closed and replaced on contact with the store
	packed      map[platform.Kind]packedList    // compressed lists
	subs        map[int]func(*View)
	nextSub     int

	view          atomic.Pointer[View]
	confirmed     map[platform.Kind]*confirmations
	cachedSources atomic.Pointer[viewSources]
}

// viewSources are the sources derived from one member view.
type viewSources struct {
	view *membership.View
	sources
}

var (
	_ kernel.Service = (*Service)(nil)
	_ config.Source  = (*Service)(nil)
)

// NewService returns a service without a view.
func NewService(d Deps) *Service {
	if d.Boot == nil {
		d.Boot = kernel.NewMonotonicBootClock()
	}
	s := &Service{
		deps:        d,
		timings:     Timings(d.Decoder.Kinds(), d.Bounds),
		catalog:     newCatalog(d.Decoder, d.Places),
		mirrors:     make(map[platform.Kind]*Mirror),
		lastContact: make(map[platform.Kind]time.Time),
		news:        make(map[platform.Kind]chan struct{}),
		packed:      make(map[platform.Kind]packedList),
		subs:        make(map[int]func(*View)),
		stopped:     make(chan struct{}),
		missing:     make(chan struct{}, 1),
		confirmed:   make(map[platform.Kind]*confirmations),
	}
	for kind, most := range maxObjectBytes(d.Decoder.Kinds()) {
		s.mirrors[kind] = NewMirror(most)
		s.news[kind] = make(chan struct{})
		s.confirmed[kind] = &confirmations{boot: d.Boot}
	}
	d.Network.Handle(peer.KindMirrorPoll, s.answerPoll)
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service. It does not wait for the store.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	for kind := range s.mirrors {
		w := &watcher{
			kind:    kind,
			stale:   s.staleAfter(kind),
			store:   s.deps.Store,
			backoff: &s.backoff,
			joined:  s.deps.Joined,
			sources: s.currentSources,
			relay:   func(vm string) relaySource { return relaySource{s.deps.Network, vm, s.staleAfter(kind) + pollMargin} },
			clock:   s.deps.Clock,
			boot:    s.deps.Boot,
			logger:  s.deps.Logger,
			publish: s.apply,
			confirm: s.confirmed[kind].record,

			firstStart: s.deps.FirstStart,
			skipUntil:  make(map[string]time.Time),
		}
		s.wg.Go(func() { w.run(ctx) })
	}
	s.wg.Go(func() { s.expire(ctx) })
	return nil
}

// currentSources returns this VM's sources, computed once per member view.
func (s *Service) currentSources() sources {
	view := s.deps.Members.View()
	if w := s.cachedSources.Load(); w != nil && w.view == view {
		return w.sources
	}
	w := &viewSources{view, sourcesOf(view)}
	s.cachedSources.Store(w)
	return w.sources
}

// Drain implements kernel.Service. Requests in flight still need views.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	close(s.stopped)
	s.cancel()
	s.wg.Wait()
	return nil
}

// View returns the current view; nil before the first.
func (s *Service) View() *View { return s.view.Load() }

// DocumentAge returns the greatest age that the document of a later call of Current may have: all
// documents that the store had acknowledged by then are known.
func (s *Service) DocumentAge() time.Duration {
	return s.confirmed[s.deps.Decoder.Kinds().Document].age()
}

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

// apply applies a change from a watcher.
func (s *Service) apply(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	s.recordContact(c.kind, now.Add(-c.age))
	if c.regained && c.kind == s.deps.Decoder.Kinds().Targets {
		s.catalog.regained = now
	}
	if s.mirror(c) || s.firstList(c) {
		s.applyMirror(c.kind, s.mirrors[c.kind], now)
		s.publish()
	}
	s.confirmed[c.kind].record(c.confirmed)
	if s.catalog.missing() {
		select {
		case s.missing <- struct{}{}:
		default: // already signalled
		}
	}
}

// mirror updates a kind's mirror. It reports whether it changed.
func (s *Service) mirror(c change) bool {
	if c.listed {
		return s.mirrors[c.kind].Replace(c.list, c.asOf)
	}
	return s.mirrors[c.kind].Apply(c.events, c.asOf)
}

// firstList reports whether the change is the first complete list of its kind, which matters
// even if it is empty.
func (s *Service) firstList(c change) bool { return c.listed && !s.catalog.listed[c.kind] }

// staleAfter returns the age from which state of a kind is stale.
func (s *Service) staleAfter(kind platform.Kind) time.Duration { return s.timings[kind].Stale }

// recordContact records contact with the store and answers waiting polls.
func (s *Service) recordContact(kind platform.Kind, at time.Time) {
	if at.After(s.lastContact[kind]) {
		s.lastContact[kind] = at
	}
	close(s.news[kind])
	s.news[kind] = make(chan struct{})
}

// applyMirror updates the catalog from a changed mirror.
func (s *Service) applyMirror(kind platform.Kind, m *Mirror, now time.Time) {
	version := telemetry.Value("version", uint64(m.AsOf()))
	defer func() { s.catalog.listed[kind] = true }()
	switch kinds := s.deps.Decoder.Kinds(); kind {
	case kinds.Document:
		adopted, err := s.catalog.setDocument(m)
		if err != nil {
			s.unreadable(kind).Inc()
			s.deps.Logger.Log(eventDocumentBad, version, telemetry.Err(err))
		}
		if adopted {
			s.deps.Logger.Log(eventDocument, version, telemetry.GenerationOf(uint64(s.catalog.gen)))
		}
	case kinds.Evacuations:
		for _, zone := range s.catalog.setZones(m, now) {
			s.deps.Logger.Log(eventZoneUnknown, version, telemetry.Value("zone", zone))
		}
		s.deps.Logger.Log(eventZones, version, telemetry.Value("zones", strings.Join(slices.Sorted(maps.Keys(s.catalog.zones)), ",")))
	case kinds.Targets:
		before := s.catalog.states()
		for _, f := range s.catalog.setTargets(m, now) {
			s.unreadable(kind).Inc()
			s.deps.Logger.Log(eventTargetBad, version, telemetry.Peer(f.name), telemetry.Err(f.err))
		}
		s.logTargets(before, version)
	}
}

// unreadable counts invalid objects.
func (s *Service) unreadable(kind platform.Kind) *metrics.Counter {
	return s.deps.Metrics.GetOrCreateCounter(fmt.Sprintf("masticturn_objects_unreadable_total{kind=%q}", string(kind)))
}

// logTargets logs changed targets.
func (s *Service) logTargets(before map[string]string, version telemetry.Field) {
	after := s.catalog.states()
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

// publish hands a new view to the subscribers.
func (s *Service) publish() {
	v := s.catalog.view(s.deps.Shares)
	if v == nil {
		return
	}
	s.view.Store(v)
	for _, f := range s.subs {
		f(v)
	}
}

// expire drops missing targets after rejoinGrace. It runs only while some are missing.
func (s *Service) expire(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-s.missing:
		case <-ctx.Done():
			return
		}
		for s.expireOnce() {
			sleep(ctx, expireInterval)
		}
	}
}

// expireOnce drops missing targets that are due. It reports whether others remain.
func (s *Service) expireOnce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.catalog.missing() {
		return false
	}
	before := s.catalog.states()
	if s.catalog.expire(s.deps.Clock.Now()) {
		s.logTargets(before, telemetry.Value("cause", "did not come back after the outage"))
		s.publish()
	}
	return s.catalog.missing()
}
