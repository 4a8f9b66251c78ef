package measure

import (
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
)

const (
	testStale = 2 * time.Second
	testCold  = 10 * time.Second
)

func testConfig(t *testing.T, leaving bool) *config.Snapshot {
	t.Helper()
	snap, err := config.NewSnapshot(1, &config.Document{
		Regions:  []config.Region{{Name: "r", Zones: []string{"r-a"}}},
		Services: []config.Service{{Name: "s", Targets: []config.Target{{Name: "t", Zone: "r-a", Leaving: leaving}}}},
		Steering: config.Steering{StaleMS: config.Millis(testStale.Milliseconds()), ColdMS: config.Millis(testCold.Milliseconds())},
	})
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

// bookTest drives a book along a time line.
type bookTest struct {
	t    *testing.T
	book *Book
	now  time.Time
}

func newBookTest(t *testing.T) *bookTest {
	b := &bookTest{t: t, book: NewBook(), now: time.Unix(1000, 0)}
	b.book.Configure(testConfig(t, false))
	return b
}

func (b *bookTest) after(d time.Duration) { b.now = b.now.Add(d); b.book.Tick(b.now) }

func (b *bookTest) probe(reporter string, ok bool, status edge.TargetStatus) {
	b.now = b.now.Add(500 * time.Millisecond)
	b.book.Probed(Probe{Target: "t", Reporter: reporter, OK: ok, Status: status, InFlight: 1, Slots: 3, At: b.now}, b.now)
}

func (b *bookTest) want(h Health) {
	b.t.Helper()
	if v := b.book.Snapshot(); v != nil {
		if got := v.Target("t").Health; got != h {
			b.t.Errorf("health is %v, want %v", got, h)
		}
		b.book.dirty = true
		return
	}
	b.t.Error("nothing was published")
}

func TestEachSignOfLeavingAloneSuffices(t *testing.T) {
	signs := []struct {
		name string
		give func(*bookTest)
	}{
		{"document", func(b *bookTest) { b.book.Configure(testConfig(b.t, true)) }},
		{"platform list", func(b *bookTest) { b.book.Reported(SignPlatform, []string{"t"}, b.now) }},
		{"health endpoint", func(b *bookTest) { b.probe("vm-1", true, edge.TargetDraining) }},
		{"answer", func(b *bookTest) { b.book.Observed(Observation{Target: "t", Draining: true, InFlight: -1}, b.now) }},
	}
	for _, s := range signs {
		t.Run(s.name, func(t *testing.T) {
			b := newBookTest(t)
			b.probe("vm-1", true, edge.TargetOK)
			b.want(Healthy)
			s.give(b)
			b.want(Draining)
			b.probe("vm-2", true, edge.TargetOK) // a health endpoint that lies or lags
			b.want(Draining)
		})
	}
}

func TestLeavingIsTakenBack(t *testing.T) {
	t.Run("health endpoint, after several probes", func(t *testing.T) {
		b := newBookTest(t)
		b.probe("vm-1", true, edge.TargetDraining)
		for range clearAfter - 1 {
			b.probe("vm-1", true, edge.TargetOK)
			b.want(Draining)
		}
		b.probe("vm-1", true, edge.TargetOK)
		b.want(Healthy)
	})
	t.Run("answer, when it is not renewed", func(t *testing.T) {
		b := newBookTest(t)
		b.book.Observed(Observation{Target: "t", Draining: true, InFlight: -1}, b.now)
		b.after(answerHold - time.Millisecond)
		b.want(Draining)
		b.after(time.Millisecond)
		b.probe("vm-1", true, edge.TargetOK)
		b.want(Healthy)
	})
	t.Run("platform list, when it is not renewed", func(t *testing.T) {
		b := newBookTest(t)
		b.book.Reported(SignPlatform, []string{"t"}, b.now)
		b.after(reportedHold)
		b.probe("vm-1", true, edge.TargetOK)
		b.want(Healthy)
	})
}

// TestSignsReachWhoStartsLater covers a daemon that starts after a target's
// word on an answer went round, while the health endpoint lies.
func TestSignsReachWhoStartsLater(t *testing.T) {
	witness, late := newBookTest(t), newBookTest(t)
	witness.book.Observed(Observation{Target: "t", Draining: true, InFlight: -1}, witness.now)
	late.probe("vm-1", true, edge.TargetOK)
	late.want(Healthy)
	for at := time.Duration(0); at < answerHold; at += time.Second {
		witness.after(time.Second)
		late.after(time.Second)
		late.book.Reported(SignAnswer, witness.book.Seen(witness.now), late.now)
		if at < answerHold-time.Second {
			late.want(Draining)
		}
	}
	late.after(reportedHold)
	late.probe("vm-1", true, edge.TargetOK)
	late.want(Healthy)
	if seen := late.book.Seen(late.now); len(seen) != 0 {
		t.Errorf("%v was only heard of, and would be renewed for ever", seen)
	}
}

func TestDownNeedsAllReportersToFail(t *testing.T) {
	b := newBookTest(t)
	b.probe("vm-1", true, edge.TargetOK)
	b.probe("vm-2", false, "")
	b.probe("vm-2", false, "")
	b.want(Healthy) // vm-2 is cut off, the target is not down
	b.probe("vm-1", false, "")
	b.probe("vm-2", false, "")
	b.want(Down)
}

func TestBackFromDownIsColdForAWhile(t *testing.T) {
	b := newBookTest(t)
	b.probe("vm-1", false, "")
	b.probe("vm-1", false, "")
	b.want(Down)
	b.probe("vm-1", true, edge.TargetOK)
	b.want(Cold)
	b.after(testCold)
	b.probe("vm-1", true, edge.TargetOK)
	b.want(Healthy)
}

func TestWithoutProbesTheLastBeliefStandsAndAges(t *testing.T) {
	b := newBookTest(t)
	b.probe("vm-1", true, edge.TargetOK)
	measured := b.now
	b.after(10 * testStale)
	b.want(Healthy)
	if age := b.book.Snapshot().Target("t").Age(b.now); age != b.now.Sub(measured) {
		t.Errorf("age is %v", age)
	}
}

func TestOldAndDoubledReportsAreIgnored(t *testing.T) {
	b := newBookTest(t)
	b.probe("vm-1", true, edge.TargetOK)
	stale := Probe{Target: "t", Reporter: "vm-1", OK: false, At: b.now}
	for range downAfter {
		b.book.Probed(stale, b.now)
	}
	b.want(Healthy)
	b.book.Probed(Probe{Target: "unknown", Reporter: "vm-1", OK: true, At: b.now}, b.now)
	if len(b.book.entries) != 1 {
		t.Error("a target outside the document was taken over")
	}
}
