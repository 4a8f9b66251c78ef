package placement

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/admission"
)

// without returns a site's view without some targets.
func (s site) without(t *testing.T, p *Pool, names ...string) {
	t.Helper()
	v, svc := s.view(t)
	rest := *svc
	rest.AllTargets = nil
	for _, target := range svc.AllTargets {
		keep := true
		for _, name := range names {
			keep = keep && target.Name != name
		}
		if keep {
			rest.AllTargets = append(rest.AllTargets, target)
		}
	}
	p.SetTargets(&rest, v)
}

// chosen returns the targets that get requests about many objects.
func chosen(p *Pool, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for n := range 200 {
		if at := p.Choose(ask(fmt.Sprint(n)), now); at != nil {
			out[at.index.Name] = true
		}
	}
	return out
}

func TestTargetThatSaysItLeavesIsNotChosenAgain(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	if !chosen(p, start)["ros-0"] {
		t.Fatal("the target is not chosen before")
	}
	if !p.NoteWord("ros-0", admission.Word{Leaving: true}, start) || p.NoteWord("ros-0", admission.Word{Leaving: true}, start) {
		t.Error("the word is no news, or twice")
	}
	steps := map[string]func(){
		"at once":                            func() {},
		"with the same view again":           func() { estiba.without(t, p) },
		"after its entry was away":           func() { estiba.without(t, p, "ros-0"); estiba.without(t, p) },
		"after others left and came back":    func() { estiba.without(t, p, "ros-1", "bb-0"); estiba.without(t, p) },
		"after words of many others' starts": func() { sayMany(p, wordsMost/2) },
	}
	for name, step := range steps {
		step()
		now := start.Add(time.Hour)
		if got := chosen(p, now); got["ros-0"] || !got["ros-1"] {
			t.Errorf("%s: chosen are %v", name, got)
		}
		if p.Wanted("ros-0", now) || !p.Wanted("ros-1", now) {
			t.Errorf("%s: requests on their way: ros-0 %v, ros-1 %v", name, p.Wanted("ros-0", now), p.Wanted("ros-1", now))
		}
		if len(chosen(p, now)) < 5 {
			t.Errorf("%s: others are not chosen either", name)
		}
	}
	for _, target := range p.Expected(start) {
		if target.Name == "ros-0" {
			t.Error("connections are opened ahead to a target that leaves")
		}
	}
}

// sayMany lets many starts that are gone say that they leave.
func sayMany(p *Pool, n int) {
	for i := range n {
		p.NoteWord(fmt.Sprint("gone ", i), admission.Word{Leaving: true}, start.Add(time.Duration(i)))
	}
}

func TestWordsOfTargetsThatAreGoneAreBounded(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	p.NoteWord("ros-0", admission.Word{Leaving: true}, start.Add(-time.Hour))
	sayMany(p, 2*wordsMost)
	estiba.without(t, p)
	if most := wordsMost + len(p.targets); len(p.words) > most {
		t.Errorf("%d words, at most %d are allowed", len(p.words), most)
	}
	if p.Wanted("ros-0", start) || p.Wanted(fmt.Sprint("gone ", 2*wordsMost-1), start) || !p.Wanted("gone 0", start) {
		t.Error("the wrong words were forgotten")
	}
}

func TestTargetThatWantsNothingIsUsedAgainInTime(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	p.NoteWord("ros-0", admission.Word{Pause: 3 * time.Second}, start)
	p.NoteWord("ros-0", admission.Word{Pause: time.Second}, start) // the longer one counts
	for _, s := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {3*time.Second - 1, false}, {3 * time.Second, true}} {
		now := start.Add(s.after)
		if got := chosen(p, now)["ros-0"]; got != s.want || p.Wanted("ros-0", now) != s.want {
			t.Errorf("after %v: chosen %v, want %v", s.after, got, s.want)
		}
	}
	estiba.without(t, p, "ros-0")
	estiba.without(t, p)
	if chosen(p, start.Add(time.Second))["ros-0"] {
		t.Error("its word is forgotten while its entry is away")
	}
}

func TestRefusalNamesTheSoonestTimeWhereAllWantNothing(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 3}, slots: 1})
	waiting := admit(p, timedAsk("running", 1, start), start)
	for i := range 3 {
		p.NoteWord(fmt.Sprintf("ros-%d", i), admission.Word{Pause: time.Duration(4-i) * time.Second}, start)
	}
	if waiting.Placed == nil {
		t.Fatal("not placed")
	}
	w := admit(p, timedAsk("x", 1, start), start.Add(500*time.Millisecond))
	if w.Refused == nil || w.Refused.Reason != reasonPaused || w.Refused.RetryAfter != 1500*time.Millisecond {
		t.Errorf("%+v, want it refused for 1.5 s", w.Refused)
	}
	p.NoteWord("ros-2", admission.Word{Leaving: true}, start)
	if w := admit(p, timedAsk("y", 1, start), start); w.Refused == nil || w.Refused.RetryAfter != 3*time.Second {
		t.Errorf("%+v, want it refused for 3 s", w.Refused)
	}
	for i := range 2 {
		p.NoteWord(fmt.Sprintf("ros-%d", i), admission.Word{Leaving: true}, start)
	}
	if w := admit(p, timedAsk("z", 1, start), start); w.Refused == nil || w.Refused.Reason != reasonNoTarget {
		t.Errorf("%+v, want that no target may take it", w.Refused)
	}
}

// Requests that wait when all targets say that they want nothing are refused then.
func TestWaitingRequestsAreRefusedWhenAllWantNothing(t *testing.T) {
	p, _ := fullPool(t)
	w := admit(p, timedAsk("waits", 1, start), start)
	if w.decided() {
		t.Fatal("it does not wait")
	}
	p.NoteWord("ros-0", admission.Word{Pause: 3 * time.Second}, start.Add(time.Millisecond))
	done := p.Serve(start.Add(time.Millisecond))
	if len(done) != 1 || w.Refused == nil || w.Refused.RetryAfter != 3*time.Second {
		t.Errorf("%+v, want it refused at once", w.Refused)
	}
}

// A target that fails for a moment does not end the wait for it.
func TestRequestsWaitForBarredTargets(t *testing.T) {
	p, running := fullPool(t)
	w := admit(p, timedAsk("waits", 1, start), start)
	p.Give(running[0], Result{Shed: true}, start) // bars it for a tenth of a second
	if done := p.Serve(start); len(done) != 0 {
		t.Errorf("%+v, want it to wait", w.Refused)
	}
	if done := p.Serve(start.Add(shedBar)); len(done) != 1 || w.Placed == nil {
		t.Errorf("%+v, want it placed", w.Refused)
	}
}
