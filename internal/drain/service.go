package drain

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "drain.vm"

// Durations of a stop that the document does not set.
const (
	leaveTimeout = 5 * time.Second        // for the acknowledgments of neighbors
	spreadTime   = 4 * time.Second        // some heartbeats, also between regions
	tickTime     = 100 * time.Millisecond // interval of checks of requests in flight
	pauseLimit   = 5 * tickTime           // longest tick without a pause of the process
	settleTime   = time.Second            // after a pause, for waiting requests to begin

	// lingerShare is the share of a bounded stop in which requests are accepted. The
	// rest is for requests in flight.
	lingerShare = 0.48
	// leaveShare bounds the wait for acknowledgments as a share of a bounded stop.
	leaveShare = 0.1
)

// Members announces that this VM leaves.
type Members interface {
	// Leave returns once the neighbors have acknowledged.
	Leave(ctx context.Context) error
}

// Callers is the listener that is drained.
type Callers interface {
	InFlight() int
	CloseConnections()
	// Refuse makes the listener refuse further requests as not run.
	Refuse()
}

// Deps is what a Service needs.
type Deps struct {
	Members Members
	Callers Callers
	Config  config.Source
	Grace   time.Duration // from the request to stop until the process is killed; 0: unbounded
	Clock   kernel.Clock
	Logger  *telemetry.Logger
}

// Service drains this VM. It must be registered so that it is drained before
// the services it uses.
type Service struct{ deps Deps }

var _ kernel.Service = (*Service)(nil)

// NewService returns a service.
func NewService(d Deps) *Service { return &Service{deps: d} }

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Drain implements kernel.Service. It returns nil when nothing is in flight
// and no caller may still be sent here, or the context's error.
func (s *Service) Drain(ctx context.Context) error {
	m := newMachine(s.times())
	s.perform(ctx, m, event{kind: eventBegin})
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	for m.step != StepEnded {
		select {
		case <-ticker.C:
			s.perform(ctx, m, event{kind: eventTick, inFlight: s.deps.Callers.InFlight()})
		case <-ctx.Done():
			at := m.step
			s.perform(ctx, m, event{kind: eventForce, inFlight: s.deps.Callers.InFlight()})
			return trace.Wrap(ctx.Err(), "the planned stop was ended at step %s", at)
		}
	}
	return nil
}

func (s *Service) times() times {
	t := times{spread: spreadTime}
	if snap := s.deps.Config.Current(); snap != nil {
		t.maxAge = snap.Document.Lookup.MaxAgeMS.Duration()
		t.grace = snap.Document.Drain.GraceMS.Duration()
	}
	if s.deps.Grace > 0 {
		t.spread = time.Duration(lingerShare * float64(s.deps.Grace))
		t.maxAge = 0
		t.refuse = true
	}
	return t
}

// perform runs the machine's actions.
func (s *Service) perform(ctx context.Context, m *machine, e event) {
	for _, a := range m.next(e, s.deps.Clock.Now()) {
		switch a {
		case actionAnnounce:
			s.announceLeave(ctx)
			s.perform(ctx, m, event{kind: eventAnnounced})
		case actionCloseConnections:
			s.deps.Callers.CloseConnections()
		case actionRefuse:
			s.deps.Callers.Refuse()
		case actionReport:
			s.deps.Logger.Log(eventInFlight,
				telemetry.Step(string(m.step)), telemetry.Value("requests", e.inFlight))
		}
	}
}

// leaveLimit bounds the wait for acknowledgments.
func (s *Service) leaveLimit() time.Duration {
	if s.deps.Grace == 0 {
		return leaveTimeout
	}
	return min(leaveTimeout, time.Duration(leaveShare*float64(s.deps.Grace)))
}

func (s *Service) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.leaveLimit())
	defer cancel()
	if err := s.deps.Members.Leave(ctx); err != nil {
		s.deps.Logger.Log(eventLeaveUnacknowledged, telemetry.Err(trace.Wrap(err, "announce the stop")))
	}
}
