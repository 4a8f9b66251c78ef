package measure

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/rendezvous"
	"masticturn/internal/telemetry"
	"masticturn/internal/wait"
)

// ServiceName is the name under which the kernel knows the service.
const ServiceName = "measure.service"

// Periods of the service. Probes follow the document.
const (
	publishEvery    = 50 * time.Millisecond
	tickEvery       = 250 * time.Millisecond
	defaultProbe    = 500 * time.Millisecond
	listRetry       = time.Second
	listersPerFleet = 2 // members that read the platform's list of targets, in each region
)

// Deps are what the service needs.
type Deps struct {
	Config  config.Source
	Members membership.Source
	Network peer.Network
	Store   platform.Store // may be nil: the platform's list of targets is not read
	Dial    DialFunc
	VM      string
	Region  string
	Clock   kernel.Clock
	Logger  *telemetry.Logger
	Metrics *metrics.Set
}

// Service probes the targets assigned to this VM, tells the other daemons,
// and publishes what is believed of all targets.
type Service struct {
	deps   Deps
	prober *prober
	view   atomic.Pointer[View]

	mu   sync.Mutex // guards book, subscribers
	book *Book
	// listed holds the targets that the platform's list last named as leaving,
	// if this VM reads the list.
	listed []string
	subs   map[int]func(*View)
	next   int

	wake   chan struct{} // asks the publisher to publish at once
	cancel context.CancelFunc
	done   sync.WaitGroup

	probes   *metrics.Counter
	failures *metrics.Counter
	signals  *metrics.Counter
}

var (
	_ kernel.Service = (*Service)(nil)
	_ Source         = (*Service)(nil)
)

// NewService returns a service; it registers its peer messages at once.
func NewService(deps Deps) *Service {
	s := &Service{
		deps:     deps,
		prober:   newProber(deps.Dial, deps.VM, deps.Clock.Now),
		book:     NewBook(),
		subs:     make(map[int]func(*View)),
		wake:     make(chan struct{}, 1),
		probes:   deps.Metrics.NewCounter("masticturn_probes_total"),
		failures: deps.Metrics.NewCounter("masticturn_probe_failures_total"),
		signals:  deps.Metrics.NewCounter("masticturn_target_signals_total"),
	}
	s.view.Store(&View{})
	deps.Network.Handle(peer.KindTargetReport, s.handleReport)
	deps.Network.Handle(peer.KindTargetSignal, s.handleSignal)
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	unsubscribe := s.deps.Config.Subscribe(s.configure)
	context.AfterFunc(ctx, unsubscribe)
	if snap := s.deps.Config.Current(); snap != nil {
		s.configure(snap)
	}
	s.done.Go(func() { s.probeLoop(ctx) })
	s.done.Go(func() { s.publishLoop(ctx) })
	if s.deps.Store != nil {
		s.done.Go(func() { s.listLoop(ctx) })
	}
	return nil
}

// Drain implements kernel.Service: measuring goes on until Stop, for the
// requests still in flight.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
	return nil
}

// View implements Source.
func (s *Service) View() *View { return s.view.Load() }

// Subscribe implements Source. f is called from the publishing goroutine.
func (s *Service) Subscribe(f func(*View)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.next
	s.next++
	s.subs[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subs, id)
	}
}

// Observe implements Source. Only a first word of draining goes to the other
// daemons at once; loads stay here.
func (s *Service) Observe(o Observation) {
	s.mu.Lock()
	known := s.book.Leaving(o.Target)
	s.book.Observed(o, s.deps.Clock.Now())
	s.mu.Unlock()
	if !o.Draining || known {
		return
	}
	s.wakePublisher()
	s.deps.Logger.Log(eventTargetLeaving, telemetry.Peer(o.Target), telemetry.Step("answer"))
	s.spreadSignal(o.Target)
}

// spreadSignal tells the members that use a target that it leaves.
func (s *Service) spreadSignal(target string) {
	snap := s.deps.Config.Current()
	if snap == nil {
		return
	}
	t := snap.Target(target)
	if t == nil {
		return
	}
	s.signals.Inc()
	msg := signal{Target: target}
	for _, m := range recipients(s.deps.Members.View(), t.Service, t.Region) {
		_ = s.deps.Network.Send(m.Name, peer.KindTargetSignal, msg) // lost signals are made good by probes
	}
}

func (s *Service) configure(snap *config.Snapshot) {
	s.mu.Lock()
	s.book.Configure(snap)
	s.mu.Unlock()
	s.wakePublisher()
}

// probeLoop probes the assigned targets once in each period of the document.
func (s *Service) probeLoop(ctx context.Context) {
	var work assignment
	for {
		period := defaultProbe
		if snap := s.deps.Config.Current(); snap != nil {
			if p := snap.Document.Steering.ProbeMS.Duration(); p > 0 {
				period = p
			}
			s.probeRound(ctx, snap, work.of(snap, s.deps.Members.View(), s.deps.VM), period)
		}
		if !wait.For(ctx, period) {
			return
		}
	}
}

func (s *Service) probeRound(ctx context.Context, snap *config.Snapshot, targets []*config.TargetIndex, timeout time.Duration) {
	results := s.prober.probeAll(ctx, targets, timeout)
	if ctx.Err() != nil {
		return
	}
	s.takeProbes(results)
	s.sendReports(snap, results)
}

func (s *Service) takeProbes(results []Probe) {
	now := s.deps.Clock.Now()
	s.mu.Lock()
	for _, p := range results {
		s.probes.Inc()
		if !p.OK {
			s.failures.Inc()
		}
		s.book.Probed(p, now)
	}
	s.mu.Unlock()
	s.wakePublisher()
}

// sendReports sends each recipient one message with the targets it shall hear of.
func (s *Service) sendReports(snap *config.Snapshot, results []Probe) {
	now := s.deps.Clock.Now()
	reports := reportSet{snap: snap, view: s.deps.Members.View(), byMember: make(map[string]*report)}
	for _, p := range results {
		probe := toReported(p, now)
		reports.each(p.Target, func(r *report) { r.Probes = append(r.Probes, probe) })
	}
	listed, seen := s.renewSigns(now)
	for _, name := range listed {
		reports.each(name, func(r *report) { r.Listed = append(r.Listed, name) })
	}
	for _, name := range seen {
		reports.each(name, func(r *report) { r.Seen = append(r.Seen, name) })
	}
	for name, r := range reports.byMember {
		_ = s.deps.Network.Send(name, peer.KindTargetReport, r) // the next round makes a lost one good
	}
}

// renewSigns returns the signs of leaving that this daemon has at first hand,
// for the other daemons: what the platform's list last said, if this VM reads
// it, and what targets said on answers.
func (s *Service) renewSigns(now time.Time) (listed, seen []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Reported(SignPlatform, s.listed, now)
	return s.listed, s.book.Seen(now)
}

func (s *Service) handleReport(_ context.Context, from string, payload []byte) (any, error) {
	var r report
	if err := peer.Decode(payload, &r); err != nil {
		return nil, trace.Wrap(err, "target report from %s", from)
	}
	now := s.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range r.Probes {
		s.book.Probed(fromReported(p, from, now), now)
	}
	s.book.Reported(SignPlatform, r.Listed, now)
	s.book.Reported(SignAnswer, r.Seen, now)
	return nil, nil
}

func (s *Service) handleSignal(_ context.Context, from string, payload []byte) (any, error) {
	var msg signal
	if err := peer.Decode(payload, &msg); err != nil {
		return nil, trace.Wrap(err, "target signal from %s", from)
	}
	s.mu.Lock()
	s.book.Reported(SignAnswer, []string{msg.Target}, s.deps.Clock.Now())
	s.mu.Unlock()
	s.wakePublisher()
	return nil, nil
}

// publishLoop publishes the view when asked to and from time to time.
func (s *Service) publishLoop(ctx context.Context) {
	publish := time.NewTicker(publishEvery)
	defer publish.Stop()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.mu.Lock()
			s.book.Tick(s.deps.Clock.Now())
			s.mu.Unlock()
		case <-s.wake:
		case <-publish.C:
		}
		s.publish()
	}
}

func (s *Service) publish() {
	s.mu.Lock()
	v := s.book.Snapshot()
	subs := make([]func(*View), 0, len(s.subs))
	for _, f := range s.subs {
		subs = append(subs, f)
	}
	s.mu.Unlock()
	if v == nil {
		return
	}
	s.view.Store(v)
	for _, f := range subs {
		f(v)
	}
}

func (s *Service) wakePublisher() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// listLoop follows the platform's list of targets while this VM is one of the
// few of its region that do.
func (s *Service) listLoop(ctx context.Context) {
	for {
		if !s.isLister() {
			s.takeList(nil)
		} else if err := s.readList(ctx); err == nil {
			continue
		}
		if !wait.For(ctx, listRetry) {
			return
		}
	}
}

func (s *Service) isLister() bool {
	members := s.deps.Members.View().InRegion(s.deps.Region)
	for _, m := range rendezvous.Top("target-list", members, listersPerFleet, memberName) {
		if m.Name == s.deps.VM {
			return true
		}
	}
	return false
}

// readList reads the list, takes it over, and waits for it to change.
func (s *Service) readList(ctx context.Context) error {
	objects, version, err := s.deps.Store.List(ctx, platform.KindTargets)
	if err != nil {
		return trace.Wrap(err)
	}
	s.takeList(objects)
	_, _, err = s.deps.Store.Watch(ctx, platform.KindTargets, version)
	return trace.Wrap(err)
}

// takeList takes over the platform's list. It goes to the other daemons with
// the next round of reports.
func (s *Service) takeList(objects []platform.Object) {
	var leaving []string
	for _, o := range objects {
		var rec edge.TargetRecord
		if json.Unmarshal(o.Value, &rec) == nil && rec.Leaving {
			leaving = append(leaving, rec.Name)
		}
	}
	s.mu.Lock()
	s.listed = leaving
	s.book.Reported(SignPlatform, leaving, s.deps.Clock.Now())
	s.mu.Unlock()
	s.wakePublisher()
}
