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

// simStep is the step of the simulated time; it divides the tick interval.
const simStep = 20 * time.Millisecond

// parcel is a message in flight.
type parcel struct {
	due      time.Time
	from, to string
	hb       *Heartbeat
	join     *JoinRequest
	answer   *JoinAnswer
}

// sim runs machines under a simulated time and network.
type sim struct {
	t        testing.TB
	now      time.Time
	start    time.Time
	random   *rand.Rand
	opts     Options
	nodes    map[string]*Machine
	order    []string
	paused   map[string]bool
	parcels  []parcel
	latency  func(from, to string) time.Duration
	lose     func(from, to string) bool // nil: nothing is lost
	double   float64                    // probability that a message comes twice
	awake    map[string]int
	renewed  map[string]int
	oneWay   map[string]int // "observer/peer" → reports
	highest  map[string]uint64
	bytesOut map[string]int
	bytesIn  map[string]int
	messages int // received
	keep     bool
	kept     []parcel                     // to be sent again later
	gone     map[string]map[string]uint64 // by observer: incarnations seen gone
	measure  bool
}

func newSim(t testing.TB, seed uint64) *sim {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &sim{
		t: t, now: start, start: start, random: rand.New(rand.NewPCG(seed, seed)),
		nodes: make(map[string]*Machine), paused: make(map[string]bool),
		awake: make(map[string]int), renewed: make(map[string]int), oneWay: make(map[string]int),
		highest: make(map[string]uint64), bytesOut: make(map[string]int), bytesIn: make(map[string]int), gone: make(map[string]map[string]uint64),
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

// add starts a machine that joins by the seeds.
func (s *sim) add(r Record, seeds ...string) *Machine {
	m := NewMachine(r, s.opts, rand.New(rand.NewPCG(s.random.Uint64(), 1)), s.now)
	var candidates []Candidate
	for _, name := range seeds {
		candidates = append(candidates, Candidate{Name: name, Address: name + ":7000"})
	}
	m.SetCandidates(candidates)
	s.nodes[r.Name] = m
	s.order = slices.Sorted(maps.Keys(s.nodes))
	return m
}

// fleet starts vms members per zone in regions × zones and runs until they know each other.
func (s *sim) fleet(regions, zones, vms int) {
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
	s.wantAll(Alive)
}

func (s *sim) crash(name string) {
	delete(s.nodes, name)
	s.order = slices.Sorted(maps.Keys(s.nodes))
}

// run lets the time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.deliver()
		if s.now.Sub(s.start)%s.opts.TickInterval == 0 {
			for _, name := range s.order {
				if !s.paused[name] {
					s.do(name, s.nodes[name].Tick(s.now))
				}
			}
		}
	}
}

func (s *sim) deliver() {
	var later []parcel
	batch := s.parcels
	s.parcels = nil
	for _, p := range batch {
		m := s.nodes[p.to]
		switch {
		case p.due.After(s.now) || s.paused[p.to]:
			later = append(later, p)
		case m != nil:
			s.hand(m, p)
		}
	}
	s.parcels = append(later, s.parcels...)
}

func (s *sim) hand(m *Machine, p parcel) {
	switch {
	case p.hb != nil:
		s.do(p.to, m.Receive(s.now, p.from, p.hb))
	case p.join != nil:
		answer, actions := m.AnswerJoin(s.now, p.join)
		s.do(p.to, actions)
		s.post(parcel{from: p.to, to: p.from, answer: answer})
	case p.answer != nil:
		s.do(p.to, m.Joined(s.now, p.answer))
	}
}

func (s *sim) post(p parcel) {
	if s.lose != nil && s.lose(p.from, p.to) {
		return
	}
	p.due = s.now.Add(s.latency(p.from, p.to))
	if s.keep {
		s.kept = append(s.kept, p)
	}
	s.parcels = append(s.parcels, p)
	if s.random.Float64() < s.double {
		s.parcels = append(s.parcels, p)
	}
}

// do runs actions and checks the invariants.
func (s *sim) do(name string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendHeartbeat:
			s.count(name, a.To, a.Heartbeat)
			s.post(parcel{from: name, to: a.To, hb: a.Heartbeat})
		case CallJoin:
			to := a.Candidate.Name
			s.post(parcel{from: name, to: to, join: &a.Request})
		case ReportAwake:
			s.awake[name]++
		case ReportRenewed:
			s.renewed[name]++
		case ReportOneWay:
			s.oneWay[name+"/"+a.Peer]++
		}
	}
	if m := s.nodes[name]; m != nil {
		if m.Incarnation() < s.highest[name] {
			s.t.Errorf("%s: incarnation %d after %d", name, m.Incarnation(), s.highest[name])
		}
		s.highest[name] = m.Incarnation()
		m.View() // as the service does
		if !s.measure {
			s.checkGone(name, m)
		}
	}
}

// checkGone checks that no incarnation returns from gone.
func (s *sim) checkGone(name string, m *Machine) {
	seen := s.gone[name]
	if seen == nil {
		seen = make(map[string]uint64)
		s.gone[name] = seen
	}
	for _, e := range m.table {
		switch {
		case e.Gone:
			seen[e.Name] = e.Incarnation
		case seen[e.Name] >= e.Incarnation:
			s.t.Errorf("%s: %s came back in incarnation %d", name, e.Name, e.Incarnation)
		}
	}
}

// frameOverhead is what the peer network adds to a payload, in bytes.
const frameOverhead = 14

func (s *sim) count(from, to string, hb *Heartbeat) {
	if !s.measure {
		return
	}
	raw, err := peer.Encode(hb)
	if err != nil {
		s.t.Fatal(err)
	}
	var back Heartbeat
	if err := peer.Decode(raw, &back); err != nil {
		s.t.Fatal(err)
	}
	s.bytesOut[from] += len(raw) + frameOverhead
	s.bytesIn[to] += len(raw) + frameOverhead
	s.messages++
}

// state returns a member's state at an observer; Gone if it is not in the view.
func (s *sim) state(observer, name string) State {
	member, ok := s.nodes[observer].View().Member(name)
	if !ok {
		return Gone
	}
	return member.State
}

// wantAll checks that each machine sees each machine in the state.
func (s *sim) wantAll(want State) {
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

// wantSeen checks what all other machines see of one.
func (s *sim) wantSeen(name string, want State) {
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

// wantGenerations checks which generation all see at each member.
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

// lossy loses messages of some pairs.
func lossy(pairs ...[2]string) func(from, to string) bool {
	return func(from, to string) bool { return slices.Contains(pairs, [2]string{from, to}) }
}
