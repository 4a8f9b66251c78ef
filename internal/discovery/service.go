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

// expireInterval is the interval of checks for missing targets whose grace period is over.
const expireInterval = 200 * time.Millisecond

// stalePollHold is how long a VM with stale state holds a poll before it answers. Its state may
// become fresh in that time, and the delay limits the rate of polls.
const stalePollHold = 100 * time.Millisecond

// maxEntryBytes is the size limit of entries of targets and evacuated zones.
const maxEntryBytes = 4 << 10

// maxObjectBytes returns the size limit of the objects of each kind.
func maxObjectBytes(kinds Kinds) map[platform.Kind]int {
	return map[platform.Kind]int{
		kinds.Document:    platform.MaxValueBytes,
		kinds.Evacuations: maxEntryBytes,
		kinds.Targets:     maxEntryBytes,
	}
}

// Deps holds the dependencies of a Service.
type Deps struct {
	Store   platform.Store
	Decoder Decoder
	Members membership.Source
	Network peer.Network
	// Joined reports whether this VM has joined the fleet or is its only VM.
	Joined func() bool
	// FirstStart is set if the whole fleet is being started for the first time.
	FirstStart   bool
	RegionByZone map[string]string // region of each availability zone
	Bounds       settings.Bounds
	// Shares returns the fleet's limits and this VM's share of the retry budget. Neither is part
	// of the stored document.
	Shares  func() (config.Fleet, config.Retry)
	Clock   kernel.Clock
	Boot    kernel.BootClock // nil: assume that the machine is never suspended
	Logger  *telemetry.Logger
	Metrics *metrics.Set // may be nil
}

// Service mirrors the store and publishes views.
type Service struct {
	deps          Deps
	timings       map[platform.Kind]Timing
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	stopped       chan struct{} // closed by Stop
	missingSignal chan struct{} // wakes expireMissing; capacity 1
	backoff       outageBackoff // limits store calls during an outage

	mu            sync.Mutex // guards the fields below and serializes publication
	catalog       *catalog
	publishedAt   time.Time // of the last view
	delayed       bool      // a view with new targets is to be published later
	mirrors       map[platform.Kind]*Mirror
	lastContact   map[platform.Kind]time.Time     // time of the last contact with the store
	paths         map[platform.Kind][]string      // VMs through which that contact was made; not modified
	contactSignal map[platform.Kind]chan struct{} // closed and replaced on contact with the store
	packed        map[platform.Kind]packedList    // cached compressed lists
	packedChanges map[platform.Kind]packedChanges // latest compressed changes
	deltas        deltaCache
	subs          map[int]func(*View)
	nextSub       int

	withholdingTimers map[platform.Kind]*withholdingTimer

	view          atomic.Pointer[View]
	confirmed     map[platform.Kind]*confirmationTracker
	cachedSources atomic.Pointer[viewSources]
}

// viewSources caches the sources derived from one member view.
type viewSources struct {
	view *membership.View
	sources
}

var (
	_ kernel.Service = (*Service)(nil)
	_ config.Source  = (*Service)(nil)
)

// NewService returns a service that has no view yet.
func NewService(d Deps) *Service {
	if d.Boot == nil {
		d.Boot = kernel.NewMonotonicBootClock()
	}
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	s := &Service{
		deps:          d,
		timings:       Timings(d.Decoder.Kinds(), d.Bounds),
		catalog:       newCatalog(d.Decoder, d.RegionByZone),
		mirrors:       make(map[platform.Kind]*Mirror),
		lastContact:   make(map[platform.Kind]time.Time),
		paths:         make(map[platform.Kind][]string),
		contactSignal: make(map[platform.Kind]chan struct{}),
		packed:        make(map[platform.Kind]packedList),
		packedChanges: make(map[platform.Kind]packedChanges),
		deltas:        make(deltaCache),
		subs:          make(map[int]func(*View)),
		stopped:       make(chan struct{}),
		missingSignal: make(chan struct{}, 1),
		confirmed:     make(map[platform.Kind]*confirmationTracker),

		withholdingTimers: make(map[platform.Kind]*withholdingTimer),
	}
	policies := copyPolicies(d.Decoder, d.Bounds.ZoneEvacuation)
	for kind, limit := range maxObjectBytes(d.Decoder.Kinds()) {
		s.mirrors[kind] = NewMirror(limit)
		s.mirrors[kind].setCopyPolicy(policies[kind], d.Clock.Now)
		s.contactSignal[kind] = make(chan struct{})
		s.confirmed[kind] = &confirmationTracker{boot: d.Boot}
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
			kind:       kind,
			staleAfter: s.staleAfter(kind),
			store:      s.deps.Store,
			backoff:    &s.backoff,
			joined:     s.deps.Joined,
			sources:    s.currentSources,
			sourceOf: func(vm string) peerSource {
				return peerSource{s.deps.Network, vm, s.staleAfter(kind) + pollTimeoutMargin}
			},
			clock:   s.deps.Clock,
			boot:    s.deps.Boot,
			logger:  s.deps.Logger,
			publish: s.apply,
			confirm: s.confirmed[kind].record,
			prime:   s.prime,
			resolve: s.applyDeltas,

			firstStart: s.deps.FirstStart,
			skipUntil:  make(map[string]time.Time),
			fallback:   fallbackSchedule{firstWithin: s.timings[kind].FallbackWithin},
		}
		s.wg.Go(func() { w.run(ctx) })
	}
	s.wg.Go(func() { s.expireMissing(ctx) })
	return nil
}

// currentSources returns this VM's sources. They are computed once per member view.
func (s *Service) currentSources() sources {
	view := s.deps.Members.View()
	if cached := s.cachedSources.Load(); cached != nil && cached.view == view {
		return cached.sources
	}
	computed := &viewSources{view, sourcesFor(view)}
	s.cachedSources.Store(computed)
	return computed.sources
}

// Drain implements kernel.Service. It does nothing, as requests in flight still need views.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	close(s.stopped)
	s.cancel()
	s.wg.Wait()
	return nil
}

// View returns the current view, or nil before the first one.
func (s *Service) View() *View { return s.view.Load() }

// DocumentAge returns an upper bound on the age of the document that a later call of Current
// returns. The VM knows every document that the store had acknowledged before that time.
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
	s.recordContact(c.kind, now.Add(-c.age), c.path)
	s.deps.Store.LearnEra(c.asOf.Era())
	if c.kind == s.deps.Decoder.Kinds().Targets {
		if c.endsOutage {
			s.catalog.outageEnd = now
		}
		if known := s.mirrors[c.kind].AsOf(); known != 0 && c.asOf.Era() > known.Era() {
			s.catalog.outageEnd, s.catalog.copyRead = now, now
		}
	}
	changed := s.updateMirror(c)
	s.recordWithheld(&c)
	if changed || s.isFirstList(c) {
		if onlyNew := s.applyMirror(&c, s.mirrors[c.kind], now); onlyNew && s.view.Load() != nil {
			s.publishSoon(now)
		} else {
			s.publish()
		}
	}
	s.confirmed[c.kind].record(c.confirmed)
	if s.catalog.hasMissing() {
		select {
		case s.missingSignal <- struct{}{}:
		default: // already signalled
		}
	}
}

// prime records a complete list of a peer, which may be too old to be used, but holds against a copy of the
// store.
func (s *Service) prime(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mirrors[c.kind]
	if m.AsOf() == 0 {
		s.updateMirror(c)
		return
	}
	changed := m.MergeEarlier(c.objects, c.asOf)
	s.recordWithheld(&c)
	if changed {
		s.applyMirror(&c, m, s.deps.Clock.Now())
		s.publish()
	}
}

// updateMirror applies a change to the mirror of its kind. It reports whether the mirror changed.
func (s *Service) updateMirror(c change) bool {
	switch m := s.mirrors[c.kind]; {
	case c.complete:
		return m.ReplaceRelayed(c.objects, c.withheld, c.asOf)
	case len(c.path) > 0:
		return m.ApplyRelayed(c.events, c.withheld, c.asOf)
	default:
		return m.Apply(c.events, c.asOf)
	}
}

// isFirstList reports whether the change is the first complete list of its kind. Views depend on
// it even if it is empty.
func (s *Service) isFirstList(c change) bool { return c.complete && !s.catalog.listed[c.kind] }

// staleAfter returns the age above which the state of a kind is stale.
func (s *Service) staleAfter(kind platform.Kind) time.Duration { return s.timings[kind].StaleAfter }

// recordContact records contact with the store through other VMs, if any, and wakes the waiting polls of peers.
func (s *Service) recordContact(kind platform.Kind, at time.Time, path []string) {
	if at.After(s.lastContact[kind]) {
		s.lastContact[kind], s.paths[kind] = at, path
	}
	close(s.contactSignal[kind])
	s.contactSignal[kind] = make(chan struct{})
}

// applyMirror updates the catalog from the mirror that a change was applied to and logs what changed. onlyNew means
// that nothing has changed but for targets that were added.
func (s *Service) applyMirror(c *change, m *Mirror, now time.Time) (onlyNew bool) {
	kind := c.kind
	version := telemetry.Value("version", m.AsOf().String())
	defer func() { s.catalog.listed[kind] = true }()
	switch kinds := s.deps.Decoder.Kinds(); kind {
	case kinds.Document:
		adopted, err := s.catalog.setDocument(m)
		if err != nil {
			s.unreadableCounter(kind).Inc()
			s.deps.Logger.Log(eventDocumentInvalid, version, telemetry.Err(err))
		}
		if adopted {
			s.deps.Logger.Log(eventDocumentInForce, version, telemetry.GenerationOf(uint64(s.catalog.gen)),
				telemetry.Value("hops", len(c.path)), telemetry.Value("age_ms", c.age.Milliseconds()),
				telemetry.Value("bytes", c.bytes), telemetry.Value("took_ms", s.deps.Clock.Now().Sub(now).Milliseconds()))
		}
	case kinds.Evacuations:
		for _, zone := range s.catalog.setZones(m, now) {
			s.deps.Logger.Log(eventUnknownZone, version, telemetry.Value("zone", zone))
		}
		s.deps.Logger.Log(eventZonesEvacuated, version, telemetry.Value("zones", strings.Join(slices.Sorted(maps.Keys(s.catalog.evacuated)), ",")))
	case kinds.Targets:
		changes := s.catalog.setTargets(m, now)
		for _, entry := range changes.invalid {
			s.unreadableCounter(kind).Inc()
			s.deps.Logger.Log(eventTargetInvalid, version, telemetry.Peer(entry.name), telemetry.Err(entry.err))
		}
		if !s.catalog.listed[kind] {
			s.deps.Logger.Log(eventTargetsListed, version, telemetry.Value("targets", changes.entries))
			return false
		}
		s.logTargets(changes.states, version)
		return changes.onlyNew
	}
	return false
}

// unreadableCounter returns the counter of invalid objects of a kind.
func (s *Service) unreadableCounter(kind platform.Kind) *metrics.Counter {
	return s.deps.Metrics.GetOrCreateCounter(fmt.Sprintf("masticturn_objects_unreadable_total{kind=%q}", string(kind)))
}

// logTargets logs the new states of targets.
func (s *Service) logTargets(states []targetState, cause telemetry.Field) {
	for _, t := range states {
		s.deps.Logger.Log(eventTargetChanged, cause, telemetry.Peer(t.name), telemetry.Value("state", t.state))
	}
}

// Delay of a view whose only news are added targets. A view costs work in proportion to the number of targets,
// and while a fleet starts its targets register for many seconds, some at a time. All other changes are published
// at once.
const (
	delayPerTarget  = 100 * time.Microsecond
	maxPublishDelay = time.Second
)

// publishSoon publishes a view once enough time has passed since the last one. s.mu is held.
func (s *Service) publishSoon(now time.Time) {
	wait := s.publishedAt.Add(min(time.Duration(len(s.catalog.targets))*delayPerTarget, maxPublishDelay)).Sub(now)
	switch {
	case wait <= 0:
		s.publish()
	case !s.delayed:
		s.delayed = true
		time.AfterFunc(wait, s.publishDelayed)
	}
}

// publishDelayed publishes the view that publishSoon has put off, unless another one was published since.
func (s *Service) publishDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayed && !s.isStopped() {
		s.publish()
	}
}

// isStopped reports whether Stop was called.
func (s *Service) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

// publish stores a new view and passes it to the subscribers. s.mu is held.
func (s *Service) publish() {
	v := s.catalog.view(s.deps.Shares, s.view.Load(), s.deps.Clock.Now())
	if v == nil {
		return
	}
	s.view.Store(v)
	s.publishedAt, s.delayed = s.deps.Clock.Now(), false
	for _, f := range s.subs {
		f(v)
	}
}

// expireMissing drops missing targets after rejoinGrace. It checks periodically only while there are
// missing targets.
func (s *Service) expireMissing(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-s.missingSignal:
		case <-ctx.Done():
			return
		}
		for s.expireOnce() {
			sleep(ctx, expireInterval)
		}
	}
}

// expireOnce drops the missing targets whose grace period is over. It reports whether others remain.
func (s *Service) expireOnce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.catalog.hasMissing() {
		return false
	}
	if dropped := s.catalog.expireMissing(s.deps.Clock.Now()); len(dropped) > 0 {
		s.logTargets(dropped, telemetry.Value("cause", "did not register again after the outage"))
		s.publish()
	}
	return s.catalog.hasMissing()
}
