package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"masticturn/internal/peer"
)

// simStep is the step of the simulated time. The tick interval must be a multiple of it.
const simStep = 20 * time.Millisecond

// envelope is a message in transit.
type envelope struct {
	deliverAt time.Time
	from, to  string
	hb        *Heartbeat
	join      *JoinRequest
	response  *JoinResponse
}

// sim runs state machines with a simulated clock and network.
type sim struct {
	t                  testing.TB
	now                time.Time
	start              time.Time
	random             *rand.Rand
	opts               Options
	nodes              map[string]*StateMachine
	order              []string
	paused             map[string]bool
	inFlight           []envelope
	latency            func(from, to string) time.Duration
	drop               func(from, to string) bool // nil: no messages are lost
	duplicateRate      float64                    // probability that a message is delivered twice
	pauses             map[string]int
	renewals           map[string]int
	oneWay             map[string]int // "observer/peer" → reports
	highestIncarnation map[string]uint64
	bytesOut           map[string]int
	bytesIn            map[string]int
	messages           int // received
	joinBytes          int // of answers to join requests
	records            int // sent, in all messages
	recording          bool
	recorded           []envelope                   // messages to be sent again later
	goneIncarnations   map[string]map[string]uint64 // by observer and name: incarnation last seen as gone
	measuring          bool
}

func newSim(t testing.TB, seed uint64) *sim {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &sim{
		t: t, now: start, start: start, random: rand.New(rand.NewPCG(seed, seed)),
		nodes: make(map[string]*StateMachine), paused: make(map[string]bool),
		pauses: make(map[string]int), renewals: make(map[string]int), oneWay: make(map[string]int),
		highestIncarnation: make(map[string]uint64), bytesOut: make(map[string]int), bytesIn: make(map[string]int), goneIncarnations: make(map[string]map[string]uint64),
	}
	s.latency = func(string, string) time.Duration { return simStep }
	s.opts.setDefaults()
	return s
}

// record returns the record of a VM named region-zone-number.
func (s *sim) record(region, zone string, n int) Record {
	name := fmt.Sprintf("%s-%s-%d", region, zone, n)
	return Record{
		Name: name, Region: region, Zone: region + "-" + zone,
		PeerAddress: name + ":7000", CallerAddress: name + ":80",
		Incarnation: uint64(s.now.UnixMilli()) * incarnationStep,
	}
}

// add starts a daemon that joins through the seeds.
func (s *sim) add(r Record, seeds ...string) *StateMachine {
	m := NewStateMachine(r, s.opts, rand.New(rand.NewPCG(s.random.Uint64(), 1)), s.now)
	var candidates []Candidate
	for _, name := range seeds {
		candidates = append(candidates, Candidate{Name: name, Address: name + ":7000"})
	}
	m.SetCandidates(candidates)
	s.nodes[r.Name] = m
	s.order = slices.Sorted(maps.Keys(s.nodes))
	return m
}

// startFleet starts the given number of VMs in each zone of each region, and runs the simulation
// until they know each other.
func (s *sim) startFleet(regions, zones, vms int) {
	var seeds []string
	for r := range regions {
		for z := range zones {
			for n := range vms {
				rec := s.record(fmt.Sprintf("r%d", r), fmt.Sprintf("z%d", z), n)
				s.add(rec, seeds...)
				if len(seeds) < 2 {
					seeds = append(seeds, rec.Name)
				}
			}
		}
	}
	s.run(5 * time.Second)
	s.wantAllStates(Alive)
}

func (s *sim) crash(name string) {
	delete(s.nodes, name)
	s.order = slices.Sorted(maps.Keys(s.nodes))
}

// run advances the simulated time by d.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.deliver()
		if s.now.Sub(s.start)%s.opts.TickInterval == 0 {
			for _, name := range s.order {
				if !s.paused[name] {
					s.execute(name, s.nodes[name].Tick(s.now))
				}
			}
		}
	}
}

func (s *sim) deliver() {
	var later []envelope
	batch := s.inFlight
	s.inFlight = nil
	for _, e := range batch {
		m := s.nodes[e.to]
		switch {
		case e.deliverAt.After(s.now) || s.paused[e.to]:
			later = append(later, e)
		case m != nil:
			s.dispatch(m, e)
		}
	}
	s.inFlight = append(later, s.inFlight...)
}

func (s *sim) dispatch(m *StateMachine, e envelope) {
	switch {
	case e.hb != nil:
		s.execute(e.to, m.Receive(s.now, e.from, e.hb))
	case e.join != nil:
		response, actions := m.HandleJoin(s.now, e.join)
		s.execute(e.to, actions)
		s.records += len(response.Records)
		if s.measuring {
			s.joinBytes += s.countPacked(e.to, e.from, response)
		}
		s.send(envelope{from: e.to, to: e.from, response: response})
	case e.response != nil:
		s.execute(e.to, m.HandleJoinResponse(s.now, e.response))
	}
}

func (s *sim) send(e envelope) {
	if s.drop != nil && s.drop(e.from, e.to) {
		return
	}
	e.deliverAt = s.now.Add(s.latency(e.from, e.to))
	if s.recording {
		s.recorded = append(s.recorded, e)
	}
	s.inFlight = append(s.inFlight, e)
	if s.random.Float64() < s.duplicateRate {
		s.inFlight = append(s.inFlight, e)
	}
}

// execute runs the actions of a daemon and checks invariants.
func (s *sim) execute(name string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendHeartbeat:
			s.records += len(a.Heartbeat.Records)
			s.countBytes(name, a.To, a.Heartbeat, &Heartbeat{})
			s.send(envelope{from: name, to: a.To, hb: a.Heartbeat})
		case CallJoin:
			to := a.Candidate.Name
			s.countBytes(name, to, &a.Request, &JoinRequest{})
			s.send(envelope{from: name, to: to, join: &a.Request})
		case ReportPause:
			s.pauses[name]++
		case ReportNewIncarnation:
			s.renewals[name]++
		case ReportOneWay:
			s.oneWay[name+"/"+a.Peer]++
		}
	}
	if m := s.nodes[name]; m != nil {
		if m.Incarnation() < s.highestIncarnation[name] {
			s.t.Errorf("%s: incarnation %d after %d", name, m.Incarnation(), s.highestIncarnation[name])
		}
		s.highestIncarnation[name] = m.Incarnation()
		m.View() // as the service does
		if !s.measuring {
			s.checkGone(name, m)
		}
	}
}

// checkGone checks that no incarnation that was gone returns.
func (s *sim) checkGone(name string, m *StateMachine) {
	seen := s.goneIncarnations[name]
	if seen == nil {
		seen = make(map[string]uint64)
		s.goneIncarnations[name] = seen
	}
	for _, e := range m.table {
		switch {
		case e.Gone:
			seen[e.Name] = e.Incarnation
		case seen[e.Name] >= e.Incarnation:
			s.t.Errorf("%s: %s returned from gone in incarnation %d", name, e.Name, e.Incarnation)
		}
	}
}

// frameOverhead is the size in bytes of the framing that the peer network adds to a payload.
const frameOverhead = 14

// countBytes counts a message and decodes it into the given value, as its receiver does. It returns the size.
func (s *sim) countBytes(from, to string, message, decoded any) int {
	if !s.measuring {
		return 0
	}
	raw, err := peer.Encode(message)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := peer.Decode(raw, decoded); err != nil {
		s.t.Fatal(err)
	}
	size := len(raw) + frameOverhead
	s.bytesOut[from] += size
	s.bytesIn[to] += size
	s.messages++
	return size
}

// countPacked is like countBytes for an answer to a join request, which the service packs.
func (s *sim) countPacked(from, to string, response *JoinResponse) int {
	packed := *response
	if err := packed.pack(); err != nil {
		s.t.Fatal(err)
	}
	size := s.countBytes(from, to, &packed, &JoinResponse{})
	if err := packed.unpack(); err != nil || len(packed.Records) != len(response.Records) {
		s.t.Fatalf("%d of %d records after unpacking, %v", len(packed.Records), len(response.Records), err)
	}
	return size
}

// state returns the state in which an observer sees a member; Gone if it is not in the view.
func (s *sim) state(observer, name string) State {
	member, ok := s.nodes[observer].View().Member(name)
	if !ok {
		return Gone
	}
	return member.State
}

// wantAllStates checks that all daemons see all daemons in the given state.
func (s *sim) wantAllStates(want State) {
	s.t.Helper()
	for _, a := range s.order {
		for _, b := range s.order {
			if got := s.state(a, b); got != want {
				s.t.Errorf("%v: %s sees %s %v, want %v", s.now.Sub(s.start), a, b, got, want)
				return
			}
		}
	}
}

// wantStateOf checks that all other daemons see a daemon in the given state.
func (s *sim) wantStateOf(name string, want State) {
	s.t.Helper()
	for _, a := range s.order {
		if a == name {
			continue
		}
		if got := s.state(a, name); got != want {
			s.t.Errorf("%v: %s sees %s %v, want %v", s.now.Sub(s.start), a, name, got, want)
			return
		}
	}
}

// wantGenerations checks which generation all daemons see for each member.
func (s *sim) wantGenerations(want func(name string) uint64) {
	s.t.Helper()
	for _, a := range s.order {
		for _, member := range s.nodes[a].View().Members {
			if member.Generation != want(member.Name) {
				s.t.Errorf("%s sees generation %d at %s, want %d", a, member.Generation, member.Name, want(member.Name))
				return
			}
		}
	}
}

// dropBetween selects the messages from the first to the second daemon of each pair.
func dropBetween(pairs ...[2]string) func(from, to string) bool {
	return func(from, to string) bool { return slices.Contains(pairs, [2]string{from, to}) }
}
