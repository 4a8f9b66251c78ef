package targetlimit

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "targetlimit"

const (
	// askTimeout bounds a call of the granter.
	askTimeout = time.Second
	// endedTTL is how long the end of a limit is remembered, so that the reports of VMs that do
	// not know of it are not taken for a new limit.
	endedTTL = time.Minute
	// idleTTL is how long a limit is remembered without a request or report about the target.
	idleTTL = 10 * time.Minute
)

// Deps holds the dependencies of a Service.
type Deps struct {
	Self    string // name of this VM
	Network peer.Network
	Members membership.Source
	Joined  func() bool // whether the other VMs are known
	Clock   kernel.Clock
	Boot    kernel.BootClock
	Logger  *telemetry.Logger
	Metrics *metrics.Set
}

// Service keeps to the rate limits of targets. It holds this VM's tokens, and grants those of the
// targets whose granter this VM is.
type Service struct {
	deps        Deps
	meter       *meter
	ctx         context.Context // ends when the service is stopped
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	unsubscribe func()
	limited     atomic.Int32 // number of targets with a limit

	mu      sync.Mutex
	targets map[string]*target // by name of the instance
	office  *office
	notify  func(target string) // called when the granter has responded
	stopped bool
}

var _ kernel.Service = (*Service)(nil)

// target is what is known of one target instance that has named a limit.
type target struct {
	observation
	region string
	holder holder
	bucket *bucket // nil: this VM has not granted any tokens
	usedAt time.Duration
}

// newTarget returns a target of which nothing has been observed.
func newTarget(region string) *target {
	return &target{region: region, observation: observation{since: math.MinInt64, at: math.MinInt64}}
}

// NewService returns a Service and registers its message handler.
func NewService(d Deps) *Service {
	s := &Service{
		deps:    d,
		meter:   newMeter(d.Metrics),
		targets: make(map[string]*target),
		office:  newOffice(d.Self),
		notify:  func(string) {},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	d.Network.Handle(peer.KindTargetTokens, s.handleAsk)
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	s.unsubscribe = s.deps.Members.Subscribe(s.setView)
	s.setView(s.deps.Members.View())
	return nil
}

// Drain implements kernel.Service. It does nothing, as requests in flight still keep to the limits.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.unsubscribe()
	s.wg.Wait()
	return nil
}

// OnResponse sets the function that is called when a granter has responded, after which there may be
// tokens for a target. It must be called before the service is started.
func (s *Service) OnResponse(f func(target string)) { s.notify = f }

func (s *Service) setView(v *membership.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.office.setView(v, s.deps.Boot.SinceBoot())
}

// granterOf returns the VM that grants tokens for a target; empty: none is known. s.mu is held.
func (s *Service) granterOf(target, region string, now time.Duration) string {
	if s.deps.Joined() {
		s.office.setJoined(now)
	}
	return s.office.granter(target, region)
}

// Any reports whether any target has a limit.
func (s *Service) Any() bool { return s.limited.Load() > 0 }

// State is what a target's limit allows this VM.
type State struct {
	Limited   bool
	PerSecond float64       // the limit
	Tokens    int           // requests that may be sent now
	Pending   bool          // more tokens may arrive within a round trip
	Wait      time.Duration // time until there may be a token, if there is none and none is pending
}

// State returns what the limit of a target allows now.
func (s *Service) State(t *config.TargetIndex) State {
	if !s.Any() {
		return State{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.targets[t.Name]
	if known == nil || !known.limit.Named {
		return State{}
	}
	now := s.deps.Boot.SinceBoot()
	h := &known.holder
	return State{
		Limited: true, PerSecond: known.limit.PerSecond,
		Tokens: h.available(now), Pending: h.pending(now), Wait: h.wait(now),
	}
}

// Want records that a number of requests would use the target, and asks for tokens when it is time. With
// n = 0 a request is still waiting.
func (s *Service) Want(t *config.TargetIndex, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.targets[t.Name]
	if known == nil || !known.limit.Named {
		return
	}
	now := s.deps.Boot.SinceBoot()
	known.usedAt = now
	known.holder.wanted = max(known.holder.wanted+n, 1)
	if known.holder.askDue(now) {
		s.ask(t.Name, known, now)
	}
}

// Take uses a token for a request that is about to be sent.
func (s *Service) Take(t *config.TargetIndex) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.targets[t.Name]
	if known == nil || !known.limit.Named {
		return
	}
	known.holder.take(s.deps.Boot.SinceBoot())
	s.meter.countSent(t.Name)
}

// Observe records what a response of a target says of its limit. The request was sent at sentAt.
func (s *Service) Observe(t *config.TargetIndex, l Limit, sentAt time.Time) {
	if !l.Named && !s.Any() {
		return
	}
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	o := observation{limit: l, since: now - s.deps.Clock.Now().Sub(sentAt), at: now}
	known, changed := s.observe(t.Name, t.Region, o, "")
	// The granter is told of an end, as this VM won't ask any more.
	if changed && !known.limit.Named {
		s.ask(t.Name, known, now)
	}
}

// observe merges an observation, which another VM made unless by is empty. It returns the target, or nil if
// nothing is known of it, and whether its limit has changed. s.mu is held.
func (s *Service) observe(name, region string, o observation, by string) (t *target, changed bool) {
	t = s.targets[name]
	if t == nil {
		if !o.limit.Named {
			return nil, false
		}
		s.prune(o.at)
		t = newTarget(region)
		s.targets[name] = t
	}
	previous := t.limit
	t.observation = t.merge(o)
	t.usedAt = max(t.usedAt, o.at)
	if t.limit == previous {
		return t, false
	}
	s.recordChange(name, t, previous, by)
	return t, true
}

// recordChange logs and counts a changed limit. s.mu is held.
func (s *Service) recordChange(name string, t *target, previous Limit, by string) {
	event := eventLimitNamed
	switch {
	case !t.limit.Named:
		event = eventLimitEnded
		t.holder, t.bucket = holder{}, nil
		s.limited.Add(-1)
	case !previous.Named:
		s.limited.Add(1)
	}
	s.meter.setLimit(name, t.limit)
	s.deps.Logger.Log(event, telemetry.Peer(name), telemetry.Value("by", by),
		telemetry.Value("per_second", t.limit.PerSecond), telemetry.Value("previous", previous.PerSecond))
}

// prune forgets targets without a request or report for long. s.mu is held.
func (s *Service) prune(now time.Duration) {
	for name, t := range s.targets {
		switch idle := now - t.usedAt; {
		case t.limit.Named && idle >= idleTTL:
			s.limited.Add(-1)
			s.meter.setLimit(name, Limit{})
			delete(s.targets, name)
		case !t.limit.Named && idle >= endedTTL:
			delete(s.targets, name)
		}
	}
}
