package placement

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/admission"
)

// without returns a site's view without the named targets.
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

// chosen returns the targets picked for many objects.
func chosen(p *Pool, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for n := range 200 {
		if at := p.Choose(ask(fmt.Sprint(n)), now); at != nil {
			out[at.index.Name] = true
		}
	}
	return out
}

func TestLeavingTargetIsNotChosenAgain(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	if !chosen(p, start)["ros-0"] {
		t.Fatal("the target is not chosen before")
	}
	if !p.RecordNotice("ros-0", admission.Notice{Leaving: true}, start) || p.RecordNotice("ros-0", admission.Notice{Leaving: true}, start) {
		t.Error("the word is no news, or twice")
	}
	steps := map[string]func(){
		"at once":                            func() {},
		"with the same view again":           func() { estiba.without(t, p) },
		"after its entry was away":           func() { estiba.without(t, p, "ros-0"); estiba.without(t, p) },
		"after others left and came back":    func() { estiba.without(t, p, "ros-1", "bb-0"); estiba.without(t, p) },
		"after words of many others' starts": func() { announceMany(p, maxNotices/2) },
	}
	for name, step := range steps {
		step()
		now := start.Add(time.Hour)
		if got := chosen(p, now); got["ros-0"] || !got["ros-1"] {
			t.Errorf("%s: chosen are %v", name, got)
		}
		if p.Accepting("ros-0", now) || !p.Accepting("ros-1", now) {
			t.Errorf("%s: requests on their way: ros-0 %v, ros-1 %v", name, p.Accepting("ros-0", now), p.Accepting("ros-1", now))
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

// announceMany lets many instances without an entry announce that they leave.
func announceMany(p *Pool, n int) {
	for i := range n {
		p.RecordNotice(fmt.Sprint("gone ", i), admission.Notice{Leaving: true}, start.Add(time.Duration(i)))
	}
}

func TestNoticesOfAbsentTargetsAreBounded(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	p.RecordNotice("ros-0", admission.Notice{Leaving: true}, start.Add(-time.Hour))
	announceMany(p, 2*maxNotices)
	estiba.without(t, p)
	if most := maxNotices + len(p.targets); len(p.notices) > most {
		t.Errorf("%d words, at most %d are allowed", len(p.notices), most)
	}
	if p.Accepting("ros-0", start) || p.Accepting(fmt.Sprint("gone ", 2*maxNotices-1), start) || !p.Accepting("gone 0", start) {
		t.Error("the wrong words were forgotten")
	}
}

func TestBackoffEndsInTime(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	p.RecordNotice("ros-0", admission.Notice{Backoff: 3 * time.Second}, start)
	p.RecordNotice("ros-0", admission.Notice{Backoff: time.Second}, start) // the longer one counts
	for _, s := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {3*time.Second - 1, false}, {3 * time.Second, true}} {
		now := start.Add(s.after)
		if got := chosen(p, now)["ros-0"]; got != s.want || p.Accepting("ros-0", now) != s.want {
			t.Errorf("after %v: chosen %v, want %v", s.after, got, s.want)
		}
	}
	estiba.without(t, p, "ros-0")
	estiba.without(t, p)
	if chosen(p, start.Add(time.Second))["ros-0"] {
		t.Error("its word is forgotten while its entry is away")
	}
}

func TestRefusalNamesTheEarliestEndOfBackoff(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 3}, slots: 1})
	waiting := admit(p, timedAsk("running", 1, start), start)
	for i := range 3 {
		p.RecordNotice(fmt.Sprintf("ros-%d", i), admission.Notice{Backoff: time.Duration(4-i) * time.Second}, start)
	}
	if waiting.Selected == nil {
		t.Fatal("not placed")
	}
	w := admit(p, timedAsk("x", 1, start), start.Add(500*time.Millisecond))
	if w.Refused == nil || w.Refused.Reason != reasonBackoff || w.Refused.RetryAfter != 1500*time.Millisecond {
		t.Errorf("%+v, want it refused for 1.5 s", w.Refused)
	}
	p.RecordNotice("ros-2", admission.Notice{Leaving: true}, start)
	if w := admit(p, timedAsk("y", 1, start), start); w.Refused == nil || w.Refused.RetryAfter != 3*time.Second {
		t.Errorf("%+v, want it refused for 3 s", w.Refused)
	}
	for i := range 2 {
		p.RecordNotice(fmt.Sprintf("ros-%d", i), admission.Notice{Leaving: true}, start)
	}
	if w := admit(p, timedAsk("z", 1, start), start); w.Refused == nil || w.Refused.Reason != reasonNoTarget {
		t.Errorf("%+v, want that no target may take it", w.Refused)
	}
}

// Waiting requests are refused when all targets ask for backoff.
func TestWaitingRequestsAreRefusedWhenAllTargetsBackOff(t *testing.T) {
	p, _ := fullPool(t)
	w := admit(p, timedAsk("waits", 1, start), start)
	if w.decided() {
		t.Fatal("it does not wait")
	}
	p.RecordNotice("ros-0", admission.Notice{Backoff: 3 * time.Second}, start.Add(time.Millisecond))
	done := p.Serve(start.Add(time.Millisecond))
	if len(done) != 1 || w.Refused == nil || w.Refused.RetryAfter != 3*time.Second {
		t.Errorf("%+v, want it refused at once", w.Refused)
	}
}

// A target that fails for a moment does not end the wait for it.
func TestRequestsWaitForBarredTargets(t *testing.T) {
	p, running := fullPool(t)
	w := admit(p, timedAsk("waits", 1, start), start)
	p.Release(running[0], Result{Shed: true}, start) // bars it for a tenth of a second
	if done := p.Serve(start); len(done) != 0 {
		t.Errorf("%+v, want it to wait", w.Refused)
	}
	if done := p.Serve(start.Add(minShedBar)); len(done) != 1 || w.Selected == nil {
		t.Errorf("%+v, want it placed", w.Refused)
	}
}
