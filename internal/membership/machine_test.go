package membership

import (
	"testing"
	"time"
)

func TestJoinSpreads(t *testing.T) {
	s := newSim(t, 1)
	s.startFleet(3, 2, 2)
	late := s.record("r1", "z1", 9)
	s.add(late, "r0-z0-0")
	s.run(2 * time.Second)
	s.wantAllStates(Alive)
}

func TestCrashIsSuspectThenGone(t *testing.T) {
	s := newSim(t, 2)
	s.startFleet(3, 2, 2)
	s.crash("r0-z0-1")
	s.run(s.opts.SuspectAfter + 500*time.Millisecond)
	s.wantStateOf("r0-z0-1", Suspect)
	s.run(s.opts.GoneAfter - s.opts.SuspectAfter + 500*time.Millisecond)
	s.wantStateOf("r0-z0-1", Gone)
}

func TestRestartTakesTheNameOver(t *testing.T) {
	for name, clock := range map[string]time.Duration{"clock right": 0, "clock an hour behind": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3)
			s.startFleet(2, 2, 2)
			before := s.nodes["r0-z0-1"].Incarnation()
			s.crash("r0-z0-1")
			s.run(300 * time.Millisecond)
			s.highestIncarnation["r0-z0-1"] = 0
			r := s.record("r0", "z0", 1)
			r.Incarnation = uint64(s.now.Add(clock).UnixMilli()) * incarnationStep
			s.add(r, "r1-z0-0")
			s.run(2 * time.Second)
			s.wantAllStates(Alive)
			if after := s.nodes["r0-z0-1"].Incarnation(); after <= before {
				t.Errorf("incarnation %d after %d", after, before)
			}
		})
	}
}

func TestLeave(t *testing.T) {
	s := newSim(t, 4)
	s.startFleet(3, 2, 2)
	s.execute("r0-z0-0", s.nodes["r0-z0-0"].Leave(s.now))
	s.run(time.Second)
	s.wantStateOf("r0-z0-0", Leaving)
	if !s.nodes["r0-z0-0"].LeaveAcknowledged() {
		t.Error("the partners have not acknowledged the leave")
	}
	s.run(time.Minute)
	s.wantStateOf("r0-z0-0", Leaving) // unchanged while it drains
	s.execute("r0-z0-0", s.nodes["r0-z0-0"].AnnounceGone(s.now))
	s.run(time.Second)
	s.wantStateOf("r0-z0-0", Gone)
}

func TestOneWayLossIsFoundAndHarmsNobody(t *testing.T) {
	s := newSim(t, 5)
	s.startFleet(2, 2, 2)
	s.drop = dropBetween([2]string{"r0-z0-0", "r0-z1-0"})
	for range 100 {
		s.run(s.opts.TickInterval)
		s.wantAllStates(Alive)
	}
	if s.oneWay["r0-z0-0/r0-z1-0"] != 1 {
		t.Error("the sender did not detect that its heartbeats are lost")
	}
	s.drop = nil
	s.run(2 * time.Second)
	if s.oneWay["r0-z0-0/r0-z1-0"] != 2 {
		t.Error("the sender did not detect that the link recovered")
	}
	if len(s.renewals) != 0 {
		t.Error("a daemon renewed its incarnation")
	}
}

func TestDaemonCutOffJudgesNobody(t *testing.T) {
	s := newSim(t, 6)
	s.startFleet(2, 2, 2)
	isolated := "r0-z0-0"
	s.drop = func(from, to string) bool { return from == isolated || to == isolated }
	s.run(20 * time.Second)
	s.wantStateOf(isolated, Gone)
	for _, name := range s.order {
		if name != isolated && s.state(isolated, name) != Suspect {
			t.Errorf("the isolated daemon sees %s %v, want suspect", name, s.state(isolated, name))
		}
	}
	s.drop = nil
	s.run(15 * time.Second)
	s.wantAllStates(Alive)
	if len(s.renewals) != 1 || s.renewals[isolated] != 1 {
		t.Errorf("renewals: %v, want one by the daemon that was gone", s.renewals)
	}
}

func TestPausedDaemonFindsOutFirst(t *testing.T) {
	for _, c := range []struct {
		pause    time.Duration
		pauses   int
		renewals int
	}{{500 * time.Millisecond, 0, 0}, {2 * time.Second, 1, 0}, {time.Minute, 1, 1}} {
		t.Run(c.pause.String(), func(t *testing.T) {
			s := newSim(t, 7)
			s.startFleet(2, 2, 2)
			s.paused["r0-z0-0"] = true
			s.run(c.pause)
			s.paused["r0-z0-0"] = false
			s.run(3 * time.Second)
			s.wantAllStates(Alive)
			if s.pauses["r0-z0-0"] != c.pauses || s.renewals["r0-z0-0"] != c.renewals {
				t.Errorf("%d pauses and %d renewals", s.pauses["r0-z0-0"], s.renewals["r0-z0-0"])
			}
			if len(s.pauses) > 1 || len(s.renewals) > 1 {
				t.Errorf("other daemons were affected: pauses %v, renewals %v", s.pauses, s.renewals)
			}
		})
	}
}

func TestPauseIsReportedBeforeOtherActions(t *testing.T) {
	s := newSim(t, 8)
	s.startFleet(1, 1, 3)
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
		if _, ok := actions[0].(ReportPause); !ok {
			t.Errorf("event %d: first action is %T", i, actions[0])
		}
	}
}

func TestRegionCutOffIsSuspectNotGone(t *testing.T) {
	s := newSim(t, 9)
	s.startFleet(3, 2, 2)
	far := func(name string) bool { return name[:2] == "r2" }
	s.drop = func(from, to string) bool { return far(from) != far(to) }
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
	s.drop = nil
	s.run(3 * time.Second)
	s.wantAllStates(Alive)
	if len(s.renewals) != 0 {
		t.Errorf("renewals: %v, want none", s.renewals)
	}
}

func TestForgottenRegionRejoins(t *testing.T) {
	s := newSim(t, 10)
	s.startFleet(2, 1, 2)
	far := func(name string) bool { return name[:2] == "r1" }
	s.drop = func(from, to string) bool { return far(from) != far(to) }
	for _, m := range s.nodes {
		m.SetCandidates(nil) // neither seeds nor the list help to rejoin
	}
	s.run(s.opts.ForgetAfter + time.Minute)
	if n := len(s.nodes["r0-z0-0"].View().Members); n != 2 {
		t.Errorf("the view has %d members, want 2, those of the region", n)
	}
	s.drop = nil
	s.run(2 * s.opts.MergeInterval)
	s.wantAllStates(Alive)
}

func TestGenerationsPropagate(t *testing.T) {
	s := newSim(t, 11)
	s.startFleet(3, 2, 2)
	straggler := "r1-z0-0"
	for _, name := range s.order {
		if name != straggler {
			s.execute(name, s.nodes[name].SetGeneration(s.now, 7, 77))
		}
	}
	s.run(1500 * time.Millisecond)
	s.wantGenerations(func(name string) uint64 {
		if name == straggler {
			return 0
		}
		return 7
	})
	s.execute(straggler, s.nodes[straggler].SetGeneration(s.now, 7, 77))
	s.run(1500 * time.Millisecond)
	s.wantGenerations(func(string) uint64 { return 7 })
}

func TestRelayCrash(t *testing.T) {
	s := newSim(t, 12)
	s.startFleet(3, 2, 3)
	for _, name := range append([]string(nil), s.order...) {
		if name[:2] == "r0" && s.nodes[name].currentTopology().relay {
			s.crash(name)
		}
	}
	s.run(8 * time.Second)
	s.wantAllStates(Alive)
	late := s.record("r0", "z0", 9)
	s.add(late, s.order[0])
	s.run(3 * time.Second)
	s.wantAllStates(Alive)
}

func TestDelayedMessagesOfADeadProcessCountForNothing(t *testing.T) {
	s := newSim(t, 13)
	s.startFleet(1, 2, 2)
	m := s.nodes["r0-z0-0"]
	old, _ := m.View().Member("r0-z0-1")
	s.crash("r0-z0-1")
	s.run(10 * time.Second)
	s.execute("r0-z0-0", m.Receive(s.now, "r0-z0-1", &Heartbeat{
		Epoch:   old.Incarnation,
		Records: []Record{{Name: "r0-z0-1", Region: "r0", Incarnation: old.Incarnation, Seq: 99}},
	}))
	if got := s.state("r0-z0-0", "r0-z0-1"); got != Gone {
		t.Errorf("a gone member became %v in the same incarnation", got)
	}
}

func TestTwoProcessesWithOneNameRenewRarely(t *testing.T) {
	s := newSim(t, 14)
	s.startFleet(1, 2, 2)
	m := s.nodes["r0-z0-0"]
	other := s.nodes["r0-z0-1"].Incarnation()
	for range 100 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.execute("r0-z0-0", m.Receive(s.now, "r0-z0-1", &Heartbeat{
			Epoch:   other,
			Records: []Record{{Name: "r0-z0-0", Incarnation: m.Incarnation() + 1}},
		}))
	}
	if n := s.renewals["r0-z0-0"]; n == 0 || n > 2 {
		t.Errorf("%d renewals in one second, want 1 or 2", n)
	}
}

func TestStaleAcksAreIgnored(t *testing.T) {
	s := newSim(t, 15)
	s.startFleet(1, 2, 2)
	m, peer := s.nodes["r0-z0-0"], s.nodes["r0-z0-1"]
	l := m.links["r0-z0-1"]
	m.SetGeneration(s.now, 1, 1)
	acked, merged := l.ackedVersion, l.mergedVersion
	m.Receive(s.now, "r0-z0-1", &Heartbeat{Epoch: peer.epoch, AckEpoch: uint32(m.epoch) + 1, Ack: m.version})
	if l.ackedVersion != acked {
		t.Error("an acknowledgment for another process was accepted")
	}
	m.Receive(s.now, "r0-z0-1", &Heartbeat{Epoch: peer.epoch, Base: merged + 5, Version: merged + 9})
	if l.mergedVersion != merged {
		t.Error("changes after a gap were acknowledged")
	}
	m.Receive(s.now, "r0-z0-1", &Heartbeat{Epoch: peer.epoch - 1})
	if m.links["r0-z0-1"].epoch != peer.epoch {
		t.Error("a message from an earlier process was accepted")
	}
}

func TestLongPauseRenewsIncarnationImmediately(t *testing.T) {
	s := newSim(t, 16)
	s.startFleet(1, 1, 3)
	m := s.nodes["r0-z0-0"]
	before := m.Incarnation()
	m.Tick(s.now.Add(s.opts.GoneAfter))
	if m.Incarnation() <= before {
		t.Error("the daemon kept an incarnation that the others consider gone")
	}
}

func TestUnknownSenderIsAskedForItsTable(t *testing.T) {
	s := newSim(t, 17)
	s.startFleet(1, 1, 2)
	requests := func() (n int) {
		for _, a := range s.nodes["r0-z0-0"].Receive(s.now, "stranger", &Heartbeat{Epoch: 1}) {
			if c, ok := a.(CallJoin); ok && c.Candidate.Name == "stranger" {
				n++
			}
		}
		return n
	}
	early := requests()
	s.run(unknownSenderGrace)
	if n := requests(); early != 0 || n != 1 {
		t.Errorf("the unknown sender's table was requested %d times at its first heartbeat and %d times after %v; want 0 and 1", early, n, unknownSenderGrace)
	}
	if n := requests(); n != 0 {
		t.Errorf("the table was requested %d times more at once", n)
	}
}

func TestNewNeighborsGetFullTimeout(t *testing.T) {
	s := newSim(t, 18)
	s.startFleet(1, 2, 15)
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
					t.Fatalf("%s sees %s %v, want alive", a, b, s.state(a, b))
				}
			}
		}
	}
}

// If the only two members of a region cannot reach each other, suspicions and refutations travel
// through other regions, and neither member becomes gone.
func TestTwoCutFromEachOtherOnly(t *testing.T) {
	s := newSim(t, 19)
	s.startFleet(3, 2, 1)
	s.drop = dropBetween([2]string{"r0-z0-0", "r0-z1-0"}, [2]string{"r0-z1-0", "r0-z0-0"})
	for range 300 {
		s.run(s.opts.TickInterval)
		for _, name := range s.order {
			if s.state(name, "r0-z0-0") == Gone || s.state(name, "r0-z1-0") == Gone {
				t.Fatalf("%v: %s sees an alive member as gone", s.now.Sub(s.start), name)
			}
		}
	}
	if len(s.renewals) != 0 {
		t.Errorf("renewals: %v, want none", s.renewals)
	}
}

// In an unreachable region of two members, the surviving one keeps the crashed one suspect, because
// with a single partner it cannot distinguish a crash from its own isolation.
func TestCrashInATinyRegionCutOff(t *testing.T) {
	s := newSim(t, 20)
	s.startFleet(3, 2, 1)
	s.drop = func(from, to string) bool { return (from[:2] == "r0") != (to[:2] == "r0") }
	s.crash("r0-z1-0")
	s.run(time.Minute)
	if got := s.state("r0-z0-0", "r0-z1-0"); got != Suspect {
		t.Errorf("got %v, want suspect", got)
	}
	s.drop = nil
	s.run(10 * time.Second)
	s.wantStateOf("r0-z1-0", Gone)
}

// Members that are no longer neighbors stop exchanging heartbeats, rather than each replying to the
// other's.
func TestFormerNeighborsStopExchangingHeartbeats(t *testing.T) {
	s := newSim(t, 21)
	s.startFleet(1, 2, 15)
	for _, name := range []string{"r0-z0-3", "r0-z0-7", "r0-z1-4"} {
		s.crash(name)
	}
	s.run(15 * time.Second)
	s.measuring = true
	s.run(10 * time.Second)
	maxHeartbeats := 0.0
	for _, name := range s.order {
		perPartner := 10 * time.Second.Seconds() / s.opts.HeartbeatInterval.Seconds() / (1 - jitterFraction)
		maxHeartbeats += perPartner * float64(len(s.nodes[name].currentTopology().partners))
	}
	if float64(s.messages) > 1.1*maxHeartbeats {
		t.Errorf("%d heartbeats, want at most %.0f", s.messages, maxHeartbeats)
	}
}
