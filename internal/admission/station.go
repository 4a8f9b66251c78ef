package admission

import (
	"context"
	"sync"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/membership"
)

// station is what a daemon has of one service: the client of its region's
// broker, and the broker itself while the daemon is that. One lock guards
// both.
type station struct {
	deps    Deps
	meter   *meter
	settled time.Time

	mu       sync.Mutex
	scope    scope
	snapshot *config.Snapshot
	members  *membership.View
	client   *client
	broker   *broker // nil while another VM is broker
	terms    uint64
	last     time.Time // of the last event
	pauses   uint64    // times that nothing ran for pauseLimit
}

func newStation(deps Deps, m *meter, service string, settled time.Time) *station {
	s := scope{Service: service, Region: deps.VM.Region}
	v := deps.Members.View()
	st := &station{
		deps:    deps,
		meter:   m,
		settled: settled,
		scope:   s,
		client:  newClient(s, process{deps.VM.Name, incarnationOf(v, deps.VM.Name)}),
	}
	return st
}

// follow takes in the document and the view of the members.
func (s *station) follow(now time.Time) {
	if snapshot := s.deps.Config.Current(); snapshot != s.snapshot && snapshot.Service(s.scope.Service) != nil {
		s.snapshot = snapshot
		if s.broker != nil {
			s.broker.reconfigure(snapshot, now)
		}
	}
	if v := s.deps.Members.View(); v != s.members {
		s.setMembers(v, now)
	}
}

func (s *station) setMembers(v *membership.View, now time.Time) {
	s.members = v
	self := process{s.deps.VM.Name, incarnationOf(v, s.deps.VM.Name)}
	s.client.self = self
	vm := brokerOf(v, s.scope)
	if vm == "" {
		vm = self.VM
	}
	switch {
	case vm != self.VM:
		s.broker = nil
	case s.broker == nil:
		s.terms++
		s.broker = newBroker(brokerParams{
			scope: s.scope, id: brokerID{self, s.terms}, snapshot: s.snapshot,
			members: v, targets: s.deps.Targets.View(), settled: s.settled, now: now,
		})
	default:
		s.broker.setMembers(v, now)
	}
	s.client.setBroker(vm, now)
}

// route sends the messages of client and broker; those between the two go
// directly.
func (s *station) route(now time.Time) {
	for {
		out := s.client.takeOut()
		if s.broker != nil {
			out = append(out, s.broker.takeOut()...)
		}
		if len(out) == 0 {
			return
		}
		for _, m := range out {
			if m.To == s.deps.VM.Name {
				s.handle(m.Body, now)
				continue
			}
			// A lost message is sent again by the state machines.
			_ = s.deps.Network.Send(m.To, m.Kind, m.Body)
		}
	}
}

// handle takes a message in, from this process or another one.
func (s *station) handle(body any, now time.Time) {
	switch m := body.(type) {
	case *decision:
		s.client.decided(m, now)
		return
	case *passList:
		s.client.allowed(m)
		return
	}
	if s.broker == nil {
		return
	}
	switch m := body.(type) {
	case *ask:
		s.broker.ask(m, now)
	case *release:
		s.broker.release(m, now)
	case *inventory:
		s.broker.inventory(m, now)
	case *demandMessage:
		s.broker.demanded(m, now)
	case *grantMessage:
		s.broker.grant(m, now)
	}
}

// do runs f under the lock, with document and members up to date, and sends
// what comes of it.
func (s *station) do(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	s.noticePause(now)
	s.follow(now)
	f(now)
	s.route(now)
	if s.broker != nil {
		for _, n := range s.broker.core.takeNotes() {
			n.log(s.deps.Logger, s.scope.Service)
		}
	}
}

// noticePause counts the times that this process did not run; it is ticked far
// more often than pauseLimit.
func (s *station) noticePause(now time.Time) {
	if !s.last.IsZero() && now.Sub(s.last) > pauseLimit {
		s.pauses++
	}
	s.last = now
}

func (s *station) tick() {
	s.do(func(now time.Time) {
		s.client.tick(now)
		if s.broker != nil {
			s.broker.tick(s.deps.Targets.View(), now)
		}
	})
}

func (s *station) receive(body any) {
	s.do(func(now time.Time) { s.handle(body, now) })
}

// acquire waits for a slot.
func (s *station) acquire(ctx context.Context, r *Request) (Permit, error) {
	start := s.deps.Clock.Now()
	k := newCall(r, s.deps.VM.Zone, start)
	s.do(func(now time.Time) {
		k.pauses = s.pauses
		s.client.acquire(k, now)
	})
	select {
	case <-k.done:
	case <-ctx.Done():
		if s.cancel(k) {
			s.meter.shed(r, outcomeLeft)
			return nil, notRun(outcomeLeft, 0)
		}
	}
	if k.step == AskEnded {
		s.meter.shed(r, string(k.refused.Reason))
		return nil, notRun(string(k.refused.Reason), k.refused.RetryAfter)
	}
	now := s.deps.Clock.Now()
	s.meter.waited(r, now.Sub(start))
	return s.permit(r, k, now)
}

func (s *station) cancel(k *call) bool {
	var canceled bool
	s.do(func(time.Time) { canceled = s.client.cancel(k) })
	return canceled
}

// permit makes a permit of a held slot; the target may have left the document
// meanwhile.
func (s *station) permit(r *Request, k *call, now time.Time) (Permit, error) {
	t := s.deps.Config.Current().Target(k.target)
	if t == nil {
		s.do(func(now time.Time) { s.client.release(k, unusedResult, now) })
		return nil, notRun(string(reasonTargetGone), silentRetryAfter)
	}
	return &brokeredPermit{station: s, request: r, call: k, target: t, since: now}, nil
}

// pausesSoFar counts the pauses, the one that may be ending included.
func (s *station) pausesSoFar() (n uint64) {
	s.do(func(time.Time) { n = s.pauses })
	return n
}

// reasonTargetGone is the reason when the document in force has lost the
// target that was given.
const reasonTargetGone = "the target has left the document"

// brokeredPermit is a slot given out by a broker.
type brokeredPermit struct {
	station *station
	request *Request
	since   time.Time
	call    *call
	target  *config.TargetIndex
	once    sync.Once
}

var (
	_ Permit  = (*brokeredPermit)(nil)
	_ Checked = (*brokeredPermit)(nil)
)

// Valid implements Checked.
func (p *brokeredPermit) Valid() bool { return p.station.pausesSoFar() == p.call.pauses }

// Target implements Permit.
func (p *brokeredPermit) Target() *config.TargetIndex { return p.target }

// Shifted implements Permit.
func (p *brokeredPermit) Shifted() bool { return p.call.shifted }

// Release implements Permit. A second call does nothing.
func (p *brokeredPermit) Release(r Result) {
	p.once.Do(func() {
		observe(p.station.deps.Targets, p.target.Name, r)
		p.station.do(func(now time.Time) {
			p.station.meter.released(p.request, now.Sub(p.since))
			p.station.client.release(p.call, r, now)
		})
	})
}
