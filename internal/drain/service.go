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

// Parameters of a stop that the document does not set.
const (
	maxLeaveTimeout = 5 * time.Second        // limit of the wait for acknowledgments of neighbors
	propagationTime = 4 * time.Second        // a few heartbeats, including those between regions
	tickInterval    = 100 * time.Millisecond // interval of checks for requests in flight
	maxTickGap      = 5 * tickInterval       // a longer gap between ticks counts as a pause of the process
	settleTime      = time.Second            // time after a pause in which waiting requests may start

	// lingerFraction is the fraction of a bounded stop in which requests are accepted. The
	// rest is left for requests in flight.
	lingerFraction = 0.48
	// sendFraction is the fraction of a bounded stop in which requests are sent to targets. The rest is left for their
	// responses.
	sendFraction = 2.0 / 3
	// leaveFraction is the fraction of a bounded stop that the wait for acknowledgments may
	// take.
	leaveFraction = 0.1
)

// Leaver announces to the other VMs that this VM is leaving.
type Leaver interface {
	// Leave returns once the neighbors have acknowledged.
	Leave(ctx context.Context) error
}

// Listener is the listener for callers, which is drained.
type Listener interface {
	InFlight() int
	CloseConnections()
	// Refuse makes the listener refuse further requests and report them as not run.
	Refuse()
	// StopSending makes the listener do so with requests that were not sent to a target yet.
	StopSending()
}

// Deps holds the dependencies of a Service.
type Deps struct {
	Membership Leaver // announces that this VM is leaving
	Callers    Listener
	Config     config.Source
	StopGrace  time.Duration // time from the request to stop until the process is killed; 0: unbounded
	Clock      kernel.Clock
	Logger     *telemetry.Logger
}

// Service drains this VM. It must be registered such that it is drained before
// the services it uses.
type Service struct{ deps Deps }

var _ kernel.Service = (*Service)(nil)

// NewService returns a service that drains a VM.
func NewService(d Deps) *Service { return &Service{deps: d} }

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Drain implements kernel.Service. It returns nil once no request is in flight
// and no look-up may name this VM, or the context's error.
func (s *Service) Drain(ctx context.Context) error {
	m := newStateMachine(s.stopParams())
	s.process(ctx, m, event{kind: eventStopRequested})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for m.step != StepEnded {
		select {
		case <-ticker.C:
			s.process(ctx, m, event{kind: eventTick, inFlight: s.deps.Callers.InFlight()})
		case <-ctx.Done():
			step := m.step
			s.process(ctx, m, event{kind: eventForce, inFlight: s.deps.Callers.InFlight()})
			return trace.Wrap(ctx.Err(), "planned stop forced to end at step %s", step)
		}
	}
	return nil
}

func (s *Service) stopParams() stopParams {
	p := stopParams{propagation: propagationTime}
	if snap := s.deps.Config.Current(); snap != nil {
		p.lookupMaxAge = snap.Document.Lookup.MaxAgeMS.Duration()
		p.reportInterval = snap.Document.Drain.GraceMS.Duration()
	}
	if s.deps.StopGrace > 0 {
		p.propagation = time.Duration(lingerFraction * float64(s.deps.StopGrace))
		p.lookupMaxAge = 0
		p.sendTime = time.Duration(sendFraction * float64(s.deps.StopGrace))
		p.bounded = true
	}
	return p
}

// process passes an event to the state machine and runs the resulting actions.
func (s *Service) process(ctx context.Context, m *stateMachine, e event) {
	for _, a := range m.handle(e, s.deps.Clock.Now()) {
		switch a {
		case actionAnnounce:
			s.announceLeave(ctx)
			s.process(ctx, m, event{kind: eventAnnounced})
		case actionCloseConnections:
			s.deps.Callers.CloseConnections()
		case actionRefuse:
			s.deps.Callers.Refuse()
		case actionStopSending:
			s.deps.Callers.StopSending()
		case actionLogInFlight:
			s.deps.Logger.Log(eventInFlight,
				telemetry.Step(string(m.step)), telemetry.Value("requests", e.inFlight))
		}
	}
}

// leaveTimeout returns the limit of the wait for acknowledgments.
func (s *Service) leaveTimeout() time.Duration {
	if s.deps.StopGrace == 0 {
		return maxLeaveTimeout
	}
	return min(maxLeaveTimeout, time.Duration(leaveFraction*float64(s.deps.StopGrace)))
}

func (s *Service) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.leaveTimeout())
	defer cancel()
	if err := s.deps.Membership.Leave(ctx); err != nil {
		s.deps.Logger.Log(eventLeaveUnacknowledged, telemetry.Err(trace.Wrap(err, "announce the stop")))
	}
}
