package cluster

import (
	"net"
	"strings"
	"testing"
	"time"

	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/promise"
	"masticturn/internal/standin/target"
)

func TestSpansOfEvents(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	s := spansOf([]Event{
		{At: at(1), What: VMDrains, VM: "a"},
		{At: at(2), What: VMKilled, VM: "b"},
		{At: at(3), What: VMDrained, VM: "a"},
		{At: at(4), What: TargetLeaves, Target: "t"},
		{At: at(5), What: VMStarted, VM: "b"},
		{At: at(6), What: TargetKilled, Target: "u"},
		{At: at(7), What: ConnsCut, VM: "a", Target: "t"},
	})
	if len(s.drains) != 1 || s.drains[0] != (promise.Interval{Name: "a", From: at(1), To: at(3)}) {
		t.Errorf("drains = %+v", s.drains)
	}
	if len(s.leaving) != 1 || s.leaving[0] != (promise.Interval{Name: "t", From: at(4)}) {
		t.Errorf("leaving = %+v", s.leaving)
	}
	want := []promise.Fault{
		{VM: "b", From: at(2), To: at(5)},
		{Target: "u", From: at(6)},
		{VM: "a", Target: "t", From: at(7), To: at(7).Add(brokenFor)},
	}
	if len(s.faults) != len(want) {
		t.Fatalf("faults = %+v", s.faults)
	}
	for i := range want {
		if s.faults[i] != want[i] {
			t.Errorf("fault %d = %+v, want %+v", i, s.faults[i], want[i])
		}
	}
}

func TestTraceFollowsTheKey(t *testing.T) {
	start := time.Now()
	tries := []caller.Note{
		{RequestID: "1", Key: "k", VM: "a", Started: start, Ended: start.Add(time.Second)},
		{RequestID: "2", Key: "k", VM: "b", Started: start.Add(2 * time.Second), Ended: start.Add(3 * time.Second)},
		{RequestID: "3", Key: "other", VM: "c", Started: start, Ended: start},
	}
	tr := &tracer{ids: map[string]bool{"2": true}, involved: make(map[string]bool)}
	tr.followKeys("2", tries)
	for i := range tries {
		tr.addTry(&tries[i])
	}
	tr.addRecord(&target.Record{RequestID: "1", Target: "t", Arrived: start.Add(time.Millisecond)})
	tr.addEvents([]Event{
		{At: start.Add(time.Second), What: VMKilled, VM: "a"},
		{At: start.Add(time.Second), What: VMKilled, VM: "c"},
		{At: start.Add(time.Hour), What: VMKilled, VM: "a"},
	})
	var text []string
	for _, line := range tr.sorted() {
		text = append(text, line.Who+": "+line.Text)
	}
	got := strings.Join(text, "\n")
	if len(text) != 6 || strings.Contains(got, "3: ") || strings.Contains(got, "killed c") {
		t.Fatalf("trace:\n%s", got)
	}
}

func TestOverConnectedTargetsAreNamed(t *testing.T) {
	started, err := target.Start(target.Options{Name: "t", Slots: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer started.Kill()
	c := &Cluster{Targets: []*Target{{Target: started, Limit: 1}}}
	for range 2 {
		if names := c.OverConnected(); len(names) != 0 {
			t.Fatalf("%v have too many connections", names)
		}
		conn, err := net.Dial("tcp", started.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		for before := time.Now(); started.HighConnections() == 0 && time.Since(before) < time.Minute; {
			time.Sleep(time.Millisecond)
		}
	}
	for before := time.Now(); len(c.OverConnected()) == 0; time.Sleep(time.Millisecond) {
		if time.Since(before) > time.Minute {
			t.Fatal("two connections to a target that takes one were not noticed")
		}
	}
}
