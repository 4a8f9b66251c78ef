package membership

import (
	"testing"
	"time"
)

func TestJoinSpreads(t *testing.T) {
	s := newSim(t, 1)
	s.fleet(3, 2, 2)
	late := s.record("r1", "z1", 9)
	s.add(late, "r0-z0-0")
	s.run(2 * time.Second)
	s.wantAll(Alive)
}

func TestCrashIsSuspectThenGone(t *testing.T) {
	s := newSim(t, 2)
	s.fleet(3, 2, 2)
	s.crash("r0-z0-1")
	s.run(s.opts.SuspectAfter + 500*time.Millisecond)
	s.wantSeen("r0-z0-1", Suspect)
	s.run(s.opts.GoneAfter - s.opts.SuspectAfter + 500*time.Millisecond)
	s.wantSeen("r0-z0-1", Gone)
}

func TestRestartTakesTheNameOver(t *testing.T) {
	for name, clock := range map[string]time.Duration{"clock right": 0, "clock an hour behind": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3)
			s.fleet(2, 2, 2)
			before := s.nodes["r0-z0-1"].Incarnation()
			s.crash("r0-z0-1")
			s.run(300 * time.Millisecond)
			s.highest["r0-z0-1"] = 0
			r := s.record("r0", "z0", 1)
			r.Incarnation = uint64(s.now.Add(clock).UnixMilli()) * incarnationStep
			s.add(r, "r1-z0-0")
			s.run(2 * time.Second)
			s.wantAll(Alive)
			if after := s.nodes["r0-z0-1"].Incarnation(); after <= before {
				t.Errorf("incarnation %d after %d", after, before)
			}
		})
	}
}

func TestLeave(t *testing.T) {
	s := newSim(t, 4)
	s.fleet(3, 2, 2)
	s.do("r0-z0-0", s.nodes["r0-z0-0"].Leave(s.now))
	s.run(time.Second)
	s.wantSeen("r0-z0-0", Leaving)
	if !s.nodes["r0-z0-0"].LeaveKnown() {
		t.Error("the neighbors have not acknowledged")
	}
	s.run(time.Minute)
	s.wantSeen("r0-z0-0", Leaving) // for as long as it drains
	s.do("r0-z0-0", s.nodes["r0-z0-0"].Depart(s.now))
	s.run(time.Second)
	s.wantSeen("r0-z0-0", Gone)
}

func TestOneWayLossIsFoundAndHarmsNobody(t *testing.T) {
	s := newSim(t, 5)
	s.fleet(2, 2, 2)
	s.lose = lossy([2]string{"r0-z0-0", "r0-z1-0"})
	for range 100 {
		s.run(s.opts.TickInterval)
		s.wantAll(Alive)
	}
	if s.oneWay["r0-z0-0/r0-z1-0"] != 1 {
		t.Error("the sender does not know that it is not heard")
	}
	s.lose = nil
	s.run(2 * time.Second)
	if s.oneWay["r0-z0-0/r0-z1-0"] != 2 {
		t.Error("the sender does not know that it is heard again")
	}
	if len(s.renewed) != 0 {
		t.Error("an incarnation was given up")
	}
}

func TestDaemonCutOffJudgesNobody(t *testing.T) {
	s := newSim(t, 6)
	s.fleet(2, 2, 2)
	alone := "r0-z0-0"
	s.lose = func(from, to string) bool { return from == alone || to == alone }
	s.run(20 * time.Second)
	s.wantSeen(alone, Gone)
	for _, name := range s.order {
		if name != alone && s.state(alone, name) != Suspect {
			t.Errorf("the one cut off sees %s %v", name, s.state(alone, name))
		}
	}
	s.lose = nil
	s.run(15 * time.Second)
	s.wantAll(Alive)
	if len(s.renewed) != 1 || s.renewed[alone] != 1 {
		t.Errorf("renewed: %v, want only the one that was gone", s.renewed)
	}
}

func TestPausedDaemonFindsOutFirst(t *testing.T) {
	for _, c := range []struct {
		pause  time.Duration
		awake  int
		renews int
	}{{500 * time.Millisecond, 0, 0}, {2 * time.Second, 1, 0}, {time.Minute, 1, 1}} {
		t.Run(c.pause.String(), func(t *testing.T) {
			s := newSim(t, 7)
			s.fleet(2, 2, 2)
			s.paused["r0-z0-0"] = true
			s.run(c.pause)
			s.paused["r0-z0-0"] = false
			s.run(3 * time.Second)
			s.wantAll(Alive)
			if s.awake["r0-z0-0"] != c.awake || s.renewed["r0-z0-0"] != c.renews {
				t.Errorf("awake %d, renewed %d", s.awake["r0-z0-0"], s.renewed["r0-z0-0"])
			}
			if len(s.awake) > 1 || len(s.renewed) > 1 {
				t.Errorf("others were touched: %v %v", s.awake, s.renewed)
			}
		})
	}
}

func TestAwakeComesBeforeOtherActions(t *testing.T) {
	s := newSim(t, 8)
	s.fleet(1, 1, 3)
	m := s.nodes["r0-z0-0"]
	late := s.now.Add(time.Minute)
	for i, actions := range [][]Action{
		m.Receive(late, "r0-z0-1", &Heartbeat{}),
		m.Tick(late.Add(time.Minute)),
		m.SetGeneration(late.Add(2*time.Minute), 1, 1),
	} {
		if len(actions) == 0 {
			t.Errorf("event %d: no action", i)
			continue
		}
		if _, ok := actions[0].(ReportAwake); !ok {
			t.Errorf("event %d: first action is %T", i, actions[0])
		}
	}
}

func TestRegionCutOffIsSuspectNotGone(t *testing.T) {
	s := newSim(t, 9)
	s.fleet(3, 2, 2)
	far := func(name string) bool { return name[:2] == "r2" }
	s.lose = func(from, to string) bool { return far(from) != far(to) }
	s.run(2 * time.Minute)
	for _, a := range s.order {
		for _, b := range s.order {
			want := Alive
			if far(a) != far(b) {
				want = Suspect
			}
			if got := s.state(a, b); got != want {
				t.Fatalf("%s sees %s %v, want %v", a, b, got, want)
			}
		}
	}
	s.lose = nil
	s.run(3 * time.Second)
	s.wantAll(Alive)
	if len(s.renewed) != 0 {
		t.Errorf("renewed: %v", s.renewed)
	}
}

func TestRegionForgottenIsFoundAgain(t *testing.T) {
	s := newSim(t, 10)
	s.fleet(2, 1, 2)
	far := func(name string) bool { return name[:2] == "r1" }
	s.lose = func(from, to string) bool { return far(from) != far(to) }
	for _, m := range s.nodes {
		m.SetCandidates(nil) // nobody helps: not the seeds, not the list
	}
	s.run(s.opts.ForgetAfter + time.Minute)
	if n := len(s.nodes["r0-z0-0"].View().Members); n != 2 {
		t.Errorf("the view holds %d members, want the own region's", n)
	}
	s.lose = nil
	s.run(2 * s.opts.MergeInterval)
	s.wantAll(Alive)
}

func TestGenerationsSpread(t *testing.T) {
	s := newSim(t, 11)
	s.fleet(3, 2, 2)
	straggler := "r1-z0-0"
	for _, name := range s.order {
		if name != straggler {
			s.do(name, s.nodes[name].SetGeneration(s.now, 7, 77))
		}
	}
	s.run(1500 * time.Millisecond)
	s.wantGenerations(func(name string) uint64 {
		if name == straggler {
			return 0
		}
		return 7
	})
	s.do(straggler, s.nodes[straggler].SetGeneration(s.now, 7, 77))
	s.run(1500 * time.Millisecond)
	s.wantGenerations(func(string) uint64 { return 7 })
}

func TestRelayDies(t *testing.T) {
	s := newSim(t, 12)
	s.fleet(3, 2, 3)
	for _, name := range append([]string(nil), s.order...) {
		if name[:2] == "r0" && s.nodes[name].currentTopology().relay {
			s.crash(name)
		}
	}
	s.run(8 * time.Second)
	s.wantAll(Alive)
	late := s.record("r0", "z0", 9)
	s.add(late, s.order[0])
	s.run(3 * time.Second)
	s.wantAll(Alive)
}

func TestDelayedMessagesOfADeadProcessCountForNothing(t *testing.T) {
	s := newSim(t, 13)
	s.fleet(1, 2, 2)
	m := s.nodes["r0-z0-0"]
	old, _ := m.View().Member("r0-z0-1")
	s.crash("r0-z0-1")
	s.run(10 * time.Second)
	s.do("r0-z0-0", m.Receive(s.now, "r0-z0-1", &Heartbeat{
		Epoch:   old.Incarnation,
		Records: []Record{{Name: "r0-z0-1", Region: "r0", Incarnation: old.Incarnation, Seq: 99}},
	}))
	if got := s.state("r0-z0-0", "r0-z0-1"); got != Gone {
		t.Errorf("a gone member is %v again in the same incarnation", got)
	}
}

func TestTwoProcessesOfOneNameDoNotStorm(t *testing.T) {
	s := newSim(t, 14)
	s.fleet(1, 2, 2)
	m := s.nodes["r0-z0-0"]
	other := s.nodes["r0-z0-1"].Incarnation()
	for range 100 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.do("r0-z0-0", m.Receive(s.now, "r0-z0-1", &Heartbeat{
			Epoch:   other,
			Records: []Record{{Name: "r0-z0-0", Incarnation: m.Incarnation() + 1}},
		}))
	}
	if n := s.renewed["r0-z0-0"]; n == 0 || n > 2 {
		t.Errorf("%d incarnations in a second", n)
	}
}

func TestStaleAcksCountForNothing(t *testing.T) {
	s := newSim(t, 15)
	s.fleet(1, 2, 2)
	m, peer := s.nodes["r0-z0-0"], s.nodes["r0-z0-1"]
	l := m.links["r0-z0-1"]
	m.SetGeneration(s.now, 1, 1)
	acked, merged := l.acked, l.merged
	m.Receive(s.now, "r0-z0-1", &Heartbeat{Epoch: peer.epoch, AckEpoch: uint32(m.epoch) + 1, Ack: m.version})
	if l.acked != acked {
		t.Error("an acknowledgment of another process was taken")
	}
	m.Receive(s.now, "r0-z0-1", &Heartbeat{Epoch: peer.epoch, Base: merged + 5, Version: merged + 9})
	if l.merged != merged {
		t.Error("changes after a gap were acknowledged")
	}
	m.Receive(s.now, "r0-z0-1", &Heartbeat{Epoch: peer.epoch - 1})
	if m.links["r0-z0-1"].epoch != peer.epoch {
		t.Error("a message of an earlier process was taken")
	}
}

func TestLongPauseTakesAHigherIncarnationAtOnce(t *testing.T) {
	s := newSim(t, 16)
	s.fleet(1, 1, 3)
	m := s.nodes["r0-z0-0"]
	before := m.Incarnation()
	m.Tick(s.now.Add(s.opts.GoneAfter))
	if m.Incarnation() <= before {
		t.Error("the incarnation that the others gave up is kept")
	}
}

func TestUnknownSenderIsAskedForItsTable(t *testing.T) {
	s := newSim(t, 17)
	s.fleet(1, 1, 2)
	asked := false
	for _, a := range s.nodes["r0-z0-0"].Receive(s.now, "stranger", &Heartbeat{Epoch: 1}) {
		if c, ok := a.(CallJoin); ok && c.Candidate.Name == "stranger" {
			asked = true
		}
	}
	if !asked {
		t.Error("not asked")
	}
}

func TestNewNeighborsAreGivenTime(t *testing.T) {
	s := newSim(t, 18)
	s.fleet(1, 2, 15)
	s.latency = func(string, string) time.Duration { return s.opts.TickInterval + 2*simStep }
	s.run(5 * time.Second)
	for _, name := range []string{"r0-z0-3", "r0-z0-7", "r0-z1-4"} {
		s.crash(name)
	}
	for range 50 {
		s.run(s.opts.TickInterval)
		for _, a := range s.order {
			for _, b := range s.order {
				if s.state(a, b) != Alive {
					t.Fatalf("%s sees %s %v", a, b, s.state(a, b))
				}
			}
		}
	}
}

// Two members of a region without others spread suspicions and refutations by other regions.
func TestTwoCutFromEachOtherOnly(t *testing.T) {
	s := newSim(t, 19)
	s.fleet(3, 2, 1)
	s.lose = lossy([2]string{"r0-z0-0", "r0-z1-0"}, [2]string{"r0-z1-0", "r0-z0-0"})
	for range 300 {
		s.run(s.opts.TickInterval)
		for _, name := range s.order {
			if s.state(name, "r0-z0-0") == Gone || s.state(name, "r0-z1-0") == Gone {
				t.Fatalf("%v: %s holds a live member for gone", s.now.Sub(s.start), name)
			}
		}
	}
	if len(s.renewed) != 0 {
		t.Errorf("renewed: %v", s.renewed)
	}
}

// An isolated region of two keeps its silent member suspect.
func TestCrashInATinyRegionCutOff(t *testing.T) {
	s := newSim(t, 20)
	s.fleet(3, 2, 1)
	s.lose = func(from, to string) bool { return (from[:2] == "r0") != (to[:2] == "r0") }
	s.crash("r0-z1-0")
	s.run(time.Minute)
	if got := s.state("r0-z0-0", "r0-z1-0"); got != Suspect {
		t.Errorf("got %v", got)
	}
	s.lose = nil
	s.run(10 * time.Second)
	s.wantSeen("r0-z1-0", Gone)
}

// Former neighbors must not keep each other's heartbeats going.
func TestFormerNeighborsFallSilent(t *testing.T) {
	s := newSim(t, 21)
	s.fleet(1, 2, 15)
	for _, name := range []string{"r0-z0-3", "r0-z0-7", "r0-z1-4"} {
		s.crash(name)
	}
	s.run(15 * time.Second)
	s.measure = true
	s.run(10 * time.Second)
	most := 0.0
	for _, name := range s.order {
		perTarget := 10 * time.Second.Seconds() / s.opts.HeartbeatInterval.Seconds() / (1 - jitterFraction)
		most += perTarget * float64(len(s.nodes[name].currentTopology().targets))
	}
	if float64(s.messages) > 1.1*most {
		t.Errorf("%d heartbeats, want at most %.0f", s.messages, most)
	}
}
