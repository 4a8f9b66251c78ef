package membership

import (
	"testing"
	"time"
)

// faultCase is one kind of fault. strike injects it and lets its time pass; want is the final state
// at the others.
type faultCase struct {
	name   string
	strike func(s *sim, victim string)
	want   func(step Step) State
}

// stays is the final state of a victim whose process survives.
func stays(step Step) State {
	if step == StepLeave {
		return Leaving
	}
	return Alive
}

func always(state State) func(Step) State { return func(Step) State { return state } }

// during applies a change for a while.
func during(s *sim, d time.Duration, lose func(from, to string) bool) {
	s.lose = lose
	s.run(d)
	s.lose = nil
}

func restart(s *sim, victim string, clock time.Duration) {
	old := s.nodes[victim].self.Record
	s.crash(victim)
	s.run(200 * time.Millisecond)
	s.highest[victim] = 0
	delete(s.gone, victim)
	r := Record{Name: old.Name, Zone: old.Zone, Region: old.Region, PeerAddress: old.PeerAddress}
	r.Incarnation = uint64(s.now.Add(clock).UnixMilli()) * incarnationStep
	s.add(r, "r1-z0-0", "r0-z1-0")
}

func pause(s *sim, victim string, d time.Duration) {
	s.paused[victim] = true
	s.run(d)
	s.paused[victim] = false
}

// partner is a heartbeat partner of each victim.
const partner = "r0-z1-1"

func faultCases() []faultCase {
	return []faultCase{
		{"crash", func(s *sim, v string) { s.crash(v) }, always(Gone)},
		{"pause", func(s *sim, v string) { pause(s, v, 2*time.Second) }, stays},
		{"long pause", func(s *sim, v string) { pause(s, v, 20*time.Second) }, stays},
		{"lost request", func(s *sim, v string) {
			during(s, 600*time.Millisecond, func(from, _ string) bool { return from == v })
		}, stays},
		{"lost answer", func(s *sim, v string) {
			during(s, 600*time.Millisecond, func(_, to string) bool { return to == v })
		}, stays},
		{"delay", func(s *sim, v string) {
			s.latency = func(string, string) time.Duration { return 500 * time.Millisecond }
			s.run(2 * time.Second)
			s.latency = func(string, string) time.Duration { return simStep }
		}, stays},
		{"duplicate", func(s *sim, v string) {
			s.double = 1
			s.run(2 * time.Second)
			s.double = 0
		}, stays},
		{"stale", func(s *sim, v string) {
			s.keep = true
			s.run(time.Second)
			s.keep = false
			s.run(5 * time.Second)
			for _, p := range s.kept {
				p.due = s.now
				s.parcels = append(s.parcels, p)
			}
		}, stays},
		{"silent connection", func(s *sim, v string) {
			during(s, 5*time.Second, lossy([2]string{v, partner}, [2]string{partner, v}))
		}, stays},
		{"one way lost", func(s *sim, v string) { during(s, 5*time.Second, lossy([2]string{v, partner})) }, stays},
		{"clock off", func(s *sim, v string) { restart(s, v, -time.Hour) }, always(Alive)},
		{"region cut and pause", func(s *sim, v string) {
			s.lose = func(from, to string) bool { return from[:2] != to[:2] }
			pause(s, v, 5*time.Second)
			s.lose = nil
		}, stays},
		{"crash and silent connection", func(s *sim, v string) {
			s.crash(v)
			during(s, 5*time.Second, lossy([2]string{"r0-z1-0", partner}, [2]string{partner, "r0-z1-0"}))
		}, always(Gone)},
	}
}

// arrive brings a fleet to a step and returns the victim.
func arrive(s *sim, step Step) (victim string) {
	s.fleet(3, 2, 2)
	victim = "r0-z0-0"
	switch step {
	case StepJoin:
		r := s.record("r0", "z0", 9)
		victim = r.Name
		s.add(r, "r1-z0-0", "r0-z1-0")
		s.run(s.opts.TickInterval + simStep) // its first call is on the way
	case StepRelay:
		victim = relaysOf("r0", s.nodes[victim].byRegion()["r0"])[0]
	case StepSuspect:
		s.lose = func(from, _ string) bool { return from == victim }
		s.run(s.opts.SuspectAfter + 300*time.Millisecond)
		s.wantSeen(victim, Suspect)
		s.lose = nil
	case StepLeave:
		s.do(victim, s.nodes[victim].Leave(s.now))
	}
	return victim
}

// TestFaults injects each fault at each step. Afterwards all members see each other and the victim
// correctly.
func TestFaults(t *testing.T) {
	for _, step := range Steps() {
		for _, f := range faultCases() {
			t.Run(step.String()+"/"+f.name, func(t *testing.T) {
				s := newSim(t, 42)
				victim := arrive(s, step)
				f.strike(s, victim)
				s.run(10 * time.Second)
				s.wantSeen(victim, f.want(step))
				for _, a := range s.order {
					if a != victim {
						s.wantSeen(a, Alive)
					}
				}
			})
		}
	}
}
