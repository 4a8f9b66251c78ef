package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/kernel"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the kernel knows membership.
const ServiceName = "membership"

// Config is what a Service needs.
type Config struct {
	Self    Member   // Name, Zone, Region, the addresses and Incarnation are used
	Seeds   []string // host:port of some peer listeners
	Options Options
	Network peer.Network
	Store   platform.Store // for the list of VMs; may be nil
	Logger  *telemetry.Logger
	Metrics *metrics.Set // may be nil
}

// Service runs a Machine over a peer network.
type Service struct {
	cfg  Config
	wake chan struct{} // signals a new view

	mu      sync.Mutex
	machine *Machine
	hints   []Candidate

	loggedFaults map[string]platform.Version // invalid records by name; used by pollHints
	badRecords   *metrics.Counter

	view    atomic.Pointer[View]
	ready   atomic.Bool
	beat    atomic.Int64 // of the last event, as time since start
	start   time.Time
	subs    subscribers[*View]
	awakes  subscribers[time.Duration]
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	started bool
}

var (
	_ Source         = (*Service)(nil)
	_ kernel.Service = (*Service)(nil)
)

// NewService returns a service that is not started. Its view holds this daemon
// only.
func NewService(cfg Config) *Service {
	cfg.Options.setDefaults()
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = NewIncarnation(time.Now())
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	s := &Service{cfg: cfg, wake: make(chan struct{}, 1), start: time.Now()}
	s.machine = NewMachine(cfg.record(), cfg.Options, newRandom(), s.start)
	s.view.Store(s.machine.View())
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.register()
	return s
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (c *Config) record() Record {
	return Record{
		Name: c.Self.Name, Zone: c.Self.Zone, Region: c.Self.Region,
		PeerAddress: c.Self.PeerAddress, CallerAddress: c.Self.CallerAddress,
		Cores:       c.Self.Cores,
		Incarnation: c.Self.Incarnation,
	}
}

// register puts the handlers and gauges in place.
func (s *Service) register() {
	s.cfg.Network.Handle(peer.KindHeartbeat, s.handleHeartbeat)
	s.cfg.Network.Handle(peer.KindJoin, s.handleJoin)
	s.badRecords = s.cfg.Metrics.GetOrCreateCounter(`masticturn_objects_unreadable_total{kind="` + string(platform.KindVM) + `"}`)
	for _, state := range []State{Alive, Suspect, Leaving} {
		s.cfg.Metrics.NewGauge(`masticturn_members{state="`+state.String()+`"}`, func() float64 {
			return float64(s.View().Count(state))
		})
	}
}

// Provision does nothing: the dependencies are given to NewService.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start begins to join. It does not wait for other daemons; see Ready.
func (s *Service) Start(context.Context) error {
	s.started = true
	s.setCandidates()
	s.wg.Go(s.tick)
	s.wg.Go(s.publish)
	if s.cfg.Store != nil {
		s.wg.Go(s.pollHints)
	}
	return nil
}

// Drain calls Leave, which is idempotent.
func (s *Service) Drain(ctx context.Context) error { return s.Leave(ctx) }

// Stop announces that this daemon is gone and ends.
func (s *Service) Stop(context.Context) error {
	s.handle(func(now time.Time) []Action { return s.machine.Depart(now) })
	s.cancel()
	s.wg.Wait()
	return nil
}

// View returns the current view.
func (s *Service) View() *View { return s.view.Load() }

// Subscribe calls f after each change, in order, from one goroutine.
func (s *Service) Subscribe(f func(*View)) (cancel func()) { return s.subs.add(f) }

// OnAwake calls f after a pause of this process, with its length, before any state is used. f must
// not block, and may call only View.
func (s *Service) OnAwake(f func(away time.Duration)) (cancel func()) { return s.awakes.add(f) }

// Fresh reports whether this process runs without a pause. A hot path checks it before it uses grants
// of others, as it may run before OnAwake is called. It is one atomic load.
func (s *Service) Fresh() bool {
	return time.Since(s.start)-time.Duration(s.beat.Load()) < s.cfg.Options.PauseAfter
}

// Ready reports whether the daemon has the fleet's table, or started alone.
func (s *Service) Ready() bool { return s.ready.Load() }

// Phase returns the phase of this daemon's own membership.
func (s *Service) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Phase()
}

// SetGeneration sets the generation of the document in force here, which heartbeats carry.
func (s *Service) SetGeneration(generation, hash uint64) {
	s.handle(func(now time.Time) []Action { return s.machine.SetGeneration(now, generation, hash) })
}

// SetRefusesKeys announces whether this daemon refuses requests with keys.
func (s *Service) SetRefusesKeys(refuses bool) {
	s.handle(func(now time.Time) []Action { return s.machine.SetRefusesKeys(now, refuses) })
}

// SetTerm announces this daemon's term as granter of rate limits; 0: it is not the granter.
func (s *Service) SetTerm(term uint64) {
	s.handle(func(now time.Time) []Action { return s.machine.SetTerm(now, term) })
}

// leavePoll is the interval of checks for the acknowledgments of Leave.
const leavePoll = 10 * time.Millisecond

// Leave announces that this daemon drains. It returns once its neighbors have acknowledged it, or
// with the error of the context.
func (s *Service) Leave(ctx context.Context) error {
	if !s.started {
		return nil
	}
	s.handle(func(now time.Time) []Action { return s.machine.Leave(now) })
	for !s.leaveKnown() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.ctx.Done():
			return nil
		case <-time.After(leavePoll):
		}
	}
	return nil
}

// Partners returns the VMs that this one exchanges heartbeats with. They connect the whole fleet.
func (s *Service) Partners() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Partners()
}

func (s *Service) leaveKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.LeaveKnown()
}

func (s *Service) tick() {
	ticker := time.NewTicker(s.cfg.Options.TickInterval)
	defer ticker.Stop()
	s.handle(s.machine.Tick) // joins at once
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.handle(s.machine.Tick)
		}
	}
}

func (s *Service) handleHeartbeat(_ context.Context, from string, payload []byte) (any, error) {
	var hb Heartbeat
	if err := peer.Decode(payload, &hb); err != nil {
		return nil, err
	}
	s.handle(func(now time.Time) []Action { return s.machine.Receive(now, from, &hb) })
	return nil, nil
}

func (s *Service) handleJoin(_ context.Context, _ string, payload []byte) (any, error) {
	var request JoinRequest
	if err := peer.Decode(payload, &request); err != nil {
		return nil, err
	}
	var answer *JoinAnswer
	s.handle(func(now time.Time) []Action {
		var actions []Action
		answer, actions = s.machine.AnswerJoin(now, &request)
		return actions
	})
	return answer, nil
}

// handle passes an event to the machine, publishes its view and runs its actions. A pause is
// reported under the lock, before any later event.
func (s *Service) handle(event func(time.Time) []Action) {
	s.mu.Lock()
	now := time.Now()
	actions := event(now)
	view := s.machine.View()
	changed := view != s.view.Load()
	s.view.Store(view)
	for _, a := range actions {
		if awake, ok := a.(ReportAwake); ok {
			s.awakes.call(awake.Away)
		}
	}
	s.beat.Store(int64(now.Sub(s.start)))
	s.mu.Unlock()
	for _, a := range actions {
		s.do(a)
	}
	if changed {
		s.signal()
	}
}

func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// publish calls the subscribers with the newest view.
func (s *Service) publish() {
	var last *View
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		if v := s.View(); v != last {
			last = v
			s.subs.call(v)
		}
	}
}

func (s *Service) do(a Action) {
	log := s.cfg.Logger
	switch a := a.(type) {
	case SendHeartbeat:
		_ = s.cfg.Network.Send(a.To, peer.KindHeartbeat, a.Heartbeat)
	case CallJoin:
		go s.join(a)
	case LearnAddress:
		s.cfg.Network.SetAddress(a.VM, a.Address)
	case ReportAwake:
		log.Log(eventAwake, telemetry.Value("away", a.Away.String()))
	case ReportState:
		log.Log(eventMemberState, telemetry.Peer(a.Name), telemetry.Value("state", a.State.String()))
	case ReportOneWay:
		log.Log(eventOneWay, telemetry.Peer(a.Peer), telemetry.Value("over", a.Over))
	case ReportRenewed:
		log.Log(eventRenewed, telemetry.Value("incarnation", a.Incarnation))
	case ReportJoined:
		s.ready.Store(true)
		log.Log(eventJoined, telemetry.Value("alone", a.Alone))
	}
}

// join calls a candidate. An unknown name is replaced by the address.
func (s *Service) join(a CallJoin) {
	name := a.Candidate.Name
	if name == "" {
		name = a.Candidate.Address
	}
	if a.Candidate.Address != "" {
		s.cfg.Network.SetAddress(name, a.Candidate.Address)
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.Options.JoinPatience)
	defer cancel()
	var answer JoinAnswer
	if err := s.cfg.Network.Call(ctx, name, peer.KindJoin, &a.Request, &answer); err != nil {
		s.cfg.Logger.Log(eventJoinFailed, telemetry.Peer(name), telemetry.Err(err))
		return
	}
	s.handle(func(now time.Time) []Action { return s.machine.Joined(now, &answer) })
	if a.Candidate.Name == "" {
		s.cfg.Network.SetAddress(name, "")
	}
}
