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
	tellTimeout = 5 * time.Second        // neighbors that are cut off are not waited for longer
	spreadTime  = 4 * time.Second        // some heartbeats, within a region and between regions
	tickTime    = 100 * time.Millisecond // between looks at what is in flight
	pauseLimit  = 5 * tickTime           // between two looks; longer, and the process stood still
	settleTime  = time.Second            // after a pause, for requests that waited to begin

	// lingerShare is the part of a bounded stop in which requests are still
	// taken. What is taken at its end has the rest of the time, which is longer
	// than all but the slowest requests last.
	lingerShare = 0.48
	// tellShare is the part of a bounded stop for which neighbors that are cut off
	// are waited for: with 6 s to stop, 5 s of waiting left requests in flight to be
	// cut. Heartbeats between regions take 0.2 s.
	tellShare = 0.1
)

// Members tells the other VMs.
type Members interface {
	// Leave says that this VM leaves; it returns when its neighbors know.
	Leave(ctx context.Context) error
}

// Callers is the listener that is drained.
type Callers interface {
	InFlight() int
	CloseConnections()
	// Refuse makes further requests be told that they were not run.
	Refuse()
}

// Deps is what a Service needs.
type Deps struct {
	Members Members
	Callers Callers
	Config  config.Source
	Grace   time.Duration // the process is killed so long after a stop was asked for; 0: never
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

// perform does what the machine asks for.
func (s *Service) perform(ctx context.Context, m *machine, e event) {
	for _, a := range m.next(e, s.deps.Clock.Now()) {
		switch a {
		case actionTell:
			s.tell(ctx)
			s.perform(ctx, m, event{kind: eventTold})
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

// tellTimeout is how long neighbors are waited for.
func (s *Service) tellTimeout() time.Duration {
	if s.deps.Grace == 0 {
		return tellTimeout
	}
	return min(tellTimeout, time.Duration(tellShare*float64(s.deps.Grace)))
}

func (s *Service) tell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.tellTimeout())
	defer cancel()
	if err := s.deps.Members.Leave(ctx); err != nil {
		s.deps.Logger.Log(eventNotTold, telemetry.Err(trace.Wrap(err, "tell the other VMs")))
	}
}
