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

// ServiceName is the name under which the service is registered in the kernel.
const ServiceName = "membership"

// Config holds the configuration and dependencies of a Service.
type Config struct {
	Self    Member   // only Name, Zone, Region, the addresses, Cores, Incarnation, Carries and GrantsTokens are used
	Seeds   []string // host:port of some peer listeners
	Options Options
	Network peer.Network
	Store   platform.Store // contains the list of VMs; may be nil
	Logger  *telemetry.Logger
	Metrics *metrics.Set // may be nil
}

// Service runs the membership protocol over a peer network.
type Service struct {
	cfg         Config
	viewChanged chan struct{} // signals a new view

	mu        sync.Mutex
	machine   *StateMachine
	listedVMs []Candidate

	loggedInvalid  map[string]platform.Version // logged versions of invalid records by name; used only by pollVMList
	invalidRecords *metrics.Counter

	view       atomic.Pointer[View]
	ready      atomic.Bool
	lastEvent  atomic.Int64 // time of the last event, as a duration since start
	start      time.Time
	viewSubs   subscribers[*View]
	resumeSubs subscribers[time.Duration]
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	started    bool
}

var (
	_ Source         = (*Service)(nil)
	_ kernel.Service = (*Service)(nil)
)

// NewService returns a service that is not started yet. Its view contains only this daemon.
func NewService(cfg Config) *Service {
	cfg.Options.setDefaults()
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = NewIncarnation(time.Now())
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	s := &Service{cfg: cfg, viewChanged: make(chan struct{}, 1), start: time.Now()}
	s.machine = NewStateMachine(cfg.record(), cfg.Options, newRandom(), s.start)
	s.view.Store(s.machine.View())
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.registerHandlers()
	return s
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (c *Config) record() Record {
	return Record{
		Name: c.Self.Name, Zone: c.Self.Zone, Region: c.Self.Region,
		PeerAddress: c.Self.PeerAddress, CallerAddress: c.Self.CallerAddress,
		Cores:       c.Self.Cores,
		Incarnation: c.Self.Incarnation,
		Carries:     c.Self.Carries,

		GrantsTokens: c.Self.GrantsTokens,
	}
}

// registerHandlers registers message handlers and metrics.
func (s *Service) registerHandlers() {
	s.cfg.Network.Handle(peer.KindHeartbeat, s.handleHeartbeat)
	s.cfg.Network.Handle(peer.KindJoin, s.handleJoin)
	s.invalidRecords = s.cfg.Metrics.GetOrCreateCounter(`masticturn_objects_unreadable_total{kind="` + string(platform.KindVM) + `"}`)
	for _, state := range []State{Alive, Suspect, Leaving} {
		s.cfg.Metrics.NewGauge(`masticturn_members{state="`+state.String()+`"}`, func() float64 {
			return float64(s.View().Count(state))
		})
	}
}

// Provision does nothing: NewService receives all dependencies.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start begins joining. It does not wait for other daemons; see Ready.
func (s *Service) Start(context.Context) error {
	s.started = true
	s.setCandidates()
	s.wg.Go(s.tick)
	s.wg.Go(s.publish)
	if s.cfg.Store != nil {
		s.wg.Go(s.pollVMList)
	}
	return nil
}

// Drain calls Leave, which is idempotent.
func (s *Service) Drain(ctx context.Context) error { return s.Leave(ctx) }

// Stop announces that this daemon is gone and stops the service.
func (s *Service) Stop(context.Context) error {
	s.handle(func(now time.Time) []Action { return s.machine.AnnounceGone(now) })
	s.cancel()
	s.wg.Wait()
	return nil
}

// View returns the current view.
func (s *Service) View() *View { return s.view.Load() }

// Subscribe implements Source.
func (s *Service) Subscribe(f func(*View)) (cancel func()) { return s.viewSubs.add(f) }

// OnResume registers f to be called after a pause of this process with the length of the pause, before
// any later event is handled. f must not block and may call no other method than View.
func (s *Service) OnResume(f func(paused time.Duration)) (cancel func()) { return s.resumeSubs.add(f) }

// Responsive reports whether this process has handled an event within the last PauseThreshold. Code on
// hot paths checks it before using grants from other daemons, because after a pause it may run before
// the OnResume callbacks. It costs one atomic load.
func (s *Service) Responsive() bool {
	return time.Since(s.start)-time.Duration(s.lastEvent.Load()) < s.cfg.Options.PauseThreshold
}

// Ready reports whether this daemon has received the fleet's table or has started alone.
func (s *Service) Ready() bool { return s.ready.Load() }

// Phase returns the phase of this daemon's membership.
func (s *Service) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Phase()
}

// SetGeneration sets the generation and hash of the configuration document in force here. They are
// sent in heartbeats.
func (s *Service) SetGeneration(generation, hash uint64) {
	s.handle(func(now time.Time) []Action { return s.machine.SetGeneration(now, generation, hash) })
}

// SetRefusesKeys announces whether this daemon refuses requests with keys.
func (s *Service) SetRefusesKeys(refuses bool) {
	s.handle(func(now time.Time) []Action { return s.machine.SetRefusesKeys(now, refuses) })
}

// SetPartitioned announces whether this daemon can't reach targets itself, while other VMs can.
func (s *Service) SetPartitioned(partitioned bool) {
	s.handle(func(now time.Time) []Action { return s.machine.SetPartitioned(now, partitioned) })
}

// SetTerm announces this daemon's term as granter of rate limits; 0: not the granter.
func (s *Service) SetTerm(term uint64) {
	s.handle(func(now time.Time) []Action { return s.machine.SetTerm(now, term) })
}

// leavePollInterval is the interval at which Leave checks for acknowledgments.
const leavePollInterval = 10 * time.Millisecond

// Leave announces that this daemon drains. It returns when its partners have acknowledged that, or
// with the context's error.
func (s *Service) Leave(ctx context.Context) error {
	if !s.started {
		return nil
	}
	s.handle(func(now time.Time) []Action { return s.machine.Leave(now) })
	for !s.leaveAcknowledged() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.ctx.Done():
			return nil
		case <-time.After(leavePollInterval):
		}
	}
	return nil
}

// Partners returns the VMs to which this one sends heartbeats at regular intervals. The graph of
// partners connects the whole fleet.
func (s *Service) Partners() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Partners()
}

func (s *Service) leaveAcknowledged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.LeaveAcknowledged()
}

func (s *Service) tick() {
	ticker := time.NewTicker(s.cfg.Options.TickInterval)
	defer ticker.Stop()
	s.handle(s.machine.Tick) // starts joining without waiting for the first tick
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
	var response *JoinResponse
	s.handle(func(now time.Time) []Action {
		var actions []Action
		response, actions = s.machine.HandleJoin(now, &request)
		return actions
	})
	if request.AcceptsPacked {
		return response, response.pack()
	}
	return response, nil
}

// handle passes an event to the state machine, stores the new view and executes the actions. A pause
// is reported while the lock is held, and thus before any later event.
func (s *Service) handle(event func(time.Time) []Action) {
	s.mu.Lock()
	now := time.Now()
	actions := event(now)
	view := s.machine.View()
	changed := view != s.view.Load()
	s.view.Store(view)
	for _, a := range actions {
		if pause, ok := a.(ReportPause); ok {
			s.resumeSubs.call(pause.Duration)
		}
	}
	s.lastEvent.Store(int64(now.Sub(s.start)))
	s.mu.Unlock()
	for _, a := range actions {
		s.execute(a)
	}
	if changed {
		s.signalViewChanged()
	}
}

func (s *Service) signalViewChanged() {
	select {
	case s.viewChanged <- struct{}{}:
	default:
	}
}

// publishInterval is the minimum time between two views that subscribers get. They derive state from the whole
// view, and many changes often come at once.
const publishInterval = 100 * time.Millisecond

// publish calls the subscribers with the latest view after changes.
func (s *Service) publish() {
	var last *View
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.viewChanged:
		}
		if v := s.View(); v != last {
			last = v
			s.viewSubs.call(v)
			if !s.sleep(publishInterval) {
				return
			}
		}
	}
}

func (s *Service) execute(a Action) {
	log := s.cfg.Logger
	switch a := a.(type) {
	case SendHeartbeat:
		_ = s.cfg.Network.Send(a.To, peer.KindHeartbeat, a.Heartbeat)
	case CallJoin:
		go s.join(a)
	case SetPeerAddress:
		s.cfg.Network.SetAddress(a.VM, a.Address)
	case ReportPause:
		log.Log(eventPaused, telemetry.Value("away", a.Duration.String()))
	case ReportState:
		log.Log(eventMemberState, telemetry.Peer(a.Name), telemetry.Value("state", a.State.String()))
	case ReportOneWay:
		log.Log(eventOneWay, telemetry.Peer(a.Peer), telemetry.Value("over", a.Recovered))
	case ReportNewIncarnation:
		log.Log(eventNewIncarnation, telemetry.Value("incarnation", a.Incarnation))
	case ReportJoined:
		s.ready.Store(true)
		log.Log(eventJoined, telemetry.Peer(a.Peer), telemetry.Value("alone", a.Alone), telemetry.Value("members", a.Members))
	}
}

// join sends a join request to a candidate. If its name is unknown, the address is used as its name.
func (s *Service) join(a CallJoin) {
	name := a.Candidate.Name
	if name == "" {
		name = a.Candidate.Address
	}
	if a.Candidate.Address != "" {
		s.cfg.Network.SetAddress(name, a.Candidate.Address)
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.Options.JoinTimeout)
	defer cancel()
	var response JoinResponse
	a.Request.AcceptsPacked = true
	err := s.cfg.Network.Call(ctx, name, peer.KindJoin, &a.Request, &response)
	if err == nil {
		err = response.unpack()
	}
	if err != nil {
		s.cfg.Logger.Log(eventJoinFailed, telemetry.Peer(name), telemetry.Err(err))
		s.handle(s.machine.HandleJoinFailed)
		return
	}
	s.handle(func(now time.Time) []Action { return s.machine.HandleJoinResponse(now, &response) })
	if a.Candidate.Name == "" {
		s.cfg.Network.SetAddress(name, "")
	}
}
