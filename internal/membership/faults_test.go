package membership

import (
	"testing"
	"time"
)

// faultCase is a kind of fault. inject injects it and runs the simulation while it lasts; want is
// the state in which all others finally see the victim.
type faultCase struct {
	name   string
	inject func(s *sim, victim string)
	want   func(step Step) State
}

// stateOfSurvivor returns the final state of a victim whose process survives.
func stateOfSurvivor(step Step) State {
	if step == StepLeave {
		return Leaving
	}
	return Alive
}

func always(state State) func(Step) State { return func(Step) State { return state } }

// runDropping runs the simulation for d while drop selects the messages that are lost.
func runDropping(s *sim, d time.Duration, drop func(from, to string) bool) {
	s.drop = drop
	s.run(d)
	s.drop = nil
}

func restart(s *sim, victim string, clock time.Duration) {
	old := s.nodes[victim].self.Record
	s.crash(victim)
	s.run(200 * time.Millisecond)
	s.highestIncarnation[victim] = 0
	delete(s.goneIncarnations, victim)
	r := Record{Name: old.Name, Zone: old.Zone, Region: old.Region, PeerAddress: old.PeerAddress}
	r.Incarnation = uint64(s.now.Add(clock).UnixMilli()) * incarnationStep
	s.add(r, "r1-z0-0", "r0-z1-0")
}

func pause(s *sim, victim string, d time.Duration) {
	s.paused[victim] = true
	s.run(d)
	s.paused[victim] = false
}

// partner is a heartbeat partner of all victims.
const partner = "r0-z1-1"

func faultCases() []faultCase {
	return []faultCase{
		{"crash", func(s *sim, v string) { s.crash(v) }, always(Gone)},
		{"pause", func(s *sim, v string) { pause(s, v, 2*time.Second) }, stateOfSurvivor},
		{"long pause", func(s *sim, v string) { pause(s, v, 20*time.Second) }, stateOfSurvivor},
		{"lost request", func(s *sim, v string) {
			runDropping(s, 600*time.Millisecond, func(from, _ string) bool { return from == v })
		}, stateOfSurvivor},
		{"lost answer", func(s *sim, v string) {
			runDropping(s, 600*time.Millisecond, func(_, to string) bool { return to == v })
		}, stateOfSurvivor},
		{"delay", func(s *sim, v string) {
			s.latency = func(string, string) time.Duration { return 500 * time.Millisecond }
			s.run(2 * time.Second)
			s.latency = func(string, string) time.Duration { return simStep }
		}, stateOfSurvivor},
		{"duplicate", func(s *sim, v string) {
			s.duplicateRate = 1
			s.run(2 * time.Second)
			s.duplicateRate = 0
		}, stateOfSurvivor},
		{"stale", func(s *sim, v string) {
			s.recording = true
			s.run(time.Second)
			s.recording = false
			s.run(5 * time.Second)
			for _, e := range s.recorded {
				e.deliverAt = s.now
				s.inFlight = append(s.inFlight, e)
			}
		}, stateOfSurvivor},
		{"silent connection", func(s *sim, v string) {
			runDropping(s, 5*time.Second, dropBetween([2]string{v, partner}, [2]string{partner, v}))
		}, stateOfSurvivor},
		{"one way lost", func(s *sim, v string) { runDropping(s, 5*time.Second, dropBetween([2]string{v, partner})) }, stateOfSurvivor},
		{"clock off", func(s *sim, v string) { restart(s, v, -time.Hour) }, always(Alive)},
		{"region cut and pause", func(s *sim, v string) {
			s.drop = func(from, to string) bool { return from[:2] != to[:2] }
			pause(s, v, 5*time.Second)
			s.drop = nil
		}, stateOfSurvivor},
		{"crash and silent connection", func(s *sim, v string) {
			s.crash(v)
			runDropping(s, 5*time.Second, dropBetween([2]string{"r0-z1-0", partner}, [2]string{partner, "r0-z1-0"}))
		}, always(Gone)},
	}
}

// startAtStep starts a fleet, brings it to a protocol step and returns the victim.
func startAtStep(s *sim, step Step) (victim string) {
	s.startFleet(3, 2, 2)
	victim = "r0-z0-0"
	switch step {
	case StepJoin:
		r := s.record("r0", "z0", 9)
		victim = r.Name
		s.add(r, "r1-z0-0", "r0-z1-0")
		s.run(s.opts.TickInterval + simStep) // its first join request is in flight
	case StepRelay:
		victim = relaysOf("r0", s.nodes[victim].membersByRegion()["r0"])[0]
	case StepSuspect:
		s.drop = func(from, _ string) bool { return from == victim }
		s.run(s.opts.SuspectAfter + 300*time.Millisecond)
		s.wantStateOf(victim, Suspect)
		s.drop = nil
	case StepLeave:
		s.execute(victim, s.nodes[victim].Leave(s.now))
	}
	return victim
}

// TestFaults injects each fault at each protocol step and checks that afterwards all members see each
// other and the victim in the correct state.
func TestFaults(t *testing.T) {
	for _, step := range Steps() {
		for _, f := range faultCases() {
			t.Run(step.String()+"/"+f.name, func(t *testing.T) {
				s := newSim(t, 42)
				victim := startAtStep(s, step)
				f.inject(s, victim)
				s.run(10 * time.Second)
				s.wantStateOf(victim, f.want(step))
				for _, a := range s.order {
					if a != victim {
						s.wantStateOf(a, Alive)
					}
				}
			})
		}
	}
}
