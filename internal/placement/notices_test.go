package placement

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/admission"
)

// setTargetsWithout sets a pool's targets to those of the layout without the named ones.
func (s targetLayout) setTargetsWithout(t *testing.T, p *Pool, names ...string) {
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

// chosenTargets returns the names of the targets chosen for 200 objects.
func chosenTargets(p *Pool, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for n := range 200 {
		if sel := p.Choose(newRequest(fmt.Sprint(n)), now); sel != nil {
			out[sel.index.Name] = true
		}
	}
	return out
}

func TestLeavingTargetIsNotChosenAgain(t *testing.T) {
	p, _ := newTestPool(t, "ros", threeRegions)
	if !chosenTargets(p, start)["ros-0"] {
		t.Fatal("the target is not chosen before its notice")
	}
	if !p.RecordNotice("ros-0", admission.Notice{Leaving: true}, start) || p.RecordNotice("ros-0", admission.Notice{Leaving: true}, start) {
		t.Error("RecordNotice: want true for the first notice and false for its repetition")
	}
	steps := map[string]func(){
		"at once":                  func() {},
		"with the same view again": func() { threeRegions.setTargetsWithout(t, p) },
		"after its entry disappeared and came back":         func() { threeRegions.setTargetsWithout(t, p, "ros-0"); threeRegions.setTargetsWithout(t, p) },
		"after entries of others disappeared and came back": func() { threeRegions.setTargetsWithout(t, p, "ros-1", "bb-0"); threeRegions.setTargetsWithout(t, p) },
		"after notices of many other instances":             func() { announceLeavingOfMany(p, maxNotices/2) },
	}
	for name, step := range steps {
		step()
		now := start.Add(time.Hour)
		if got := chosenTargets(p, now); got["ros-0"] || !got["ros-1"] {
			t.Errorf("%s: chosen targets are %v, want ros-1 and not ros-0", name, got)
		}
		if p.Accepting("ros-0", now) || !p.Accepting("ros-1", now) {
			t.Errorf("%s: accepting: ros-0 %v, ros-1 %v, want false and true", name, p.Accepting("ros-0", now), p.Accepting("ros-1", now))
		}
		if len(chosenTargets(p, now)) < 5 {
			t.Errorf("%s: fewer than 5 other targets are chosen", name)
		}
	}
	for _, target := range p.PreconnectCandidates(start) {
		if target.Name == "ros-0" {
			t.Error("a leaving target is expected to get requests")
		}
	}
}

// announceLeavingOfMany records notices of n leaving instances without an entry.
func announceLeavingOfMany(p *Pool, n int) {
	for i := range n {
		p.RecordNotice(fmt.Sprint("gone ", i), admission.Notice{Leaving: true}, start.Add(time.Duration(i)))
	}
}

func TestNoticesOfAbsentTargetsAreBounded(t *testing.T) {
	p, _ := newTestPool(t, "ros", threeRegions)
	p.RecordNotice("ros-0", admission.Notice{Leaving: true}, start.Add(-time.Hour))
	announceLeavingOfMany(p, 2*maxNotices)
	threeRegions.setTargetsWithout(t, p)
	if most := maxNotices + len(p.targets); len(p.notices) > most {
		t.Errorf("%d notices are kept, want %d at most", len(p.notices), most)
	}
	if p.Accepting("ros-0", start) || p.Accepting(fmt.Sprint("gone ", 2*maxNotices-1), start) || !p.Accepting("gone 0", start) {
		t.Error("a recent notice, or one of a target with an entry, was dropped")
	}
}

func TestBackoffExpires(t *testing.T) {
	p, _ := newTestPool(t, "ros", threeRegions)
	p.RecordNotice("ros-0", admission.Notice{Backoff: 3 * time.Second}, start)
	p.RecordNotice("ros-0", admission.Notice{Backoff: time.Second}, start) // shorter, so ignored
	for _, s := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {3*time.Second - 1, false}, {3 * time.Second, true}} {
		now := start.Add(s.after)
		if got := chosenTargets(p, now)["ros-0"]; got != s.want || p.Accepting("ros-0", now) != s.want {
			t.Errorf("after %v: chosen %v, want %v", s.after, got, s.want)
		}
	}
	threeRegions.setTargetsWithout(t, p, "ros-0")
	threeRegions.setTargetsWithout(t, p)
	if chosenTargets(p, start.Add(time.Second))["ros-0"] {
		t.Error("the notice was dropped while the target had no entry")
	}
}

func TestRetryAfterIsEarliestEndOfBackoff(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 3}, slots: 1})
	first := enqueueAndServe(p, newTimedRequest("running", 1, start), start)
	for i := range 3 {
		p.RecordNotice(fmt.Sprintf("ros-%d", i), admission.Notice{Backoff: time.Duration(4-i) * time.Second}, start)
	}
	if first.Selected == nil {
		t.Fatal("the first request was not placed")
	}
	w := enqueueAndServe(p, newTimedRequest("x", 1, start), start.Add(500*time.Millisecond))
	if w.Refused == nil || w.Refused.Reason != reasonBackoff || w.Refused.RetryAfter != 1500*time.Millisecond {
		t.Errorf("%+v, want a refusal with a Retry-After of 1.5 s", w.Refused)
	}
	p.RecordNotice("ros-2", admission.Notice{Leaving: true}, start)
	if w := enqueueAndServe(p, newTimedRequest("y", 1, start), start); w.Refused == nil || w.Refused.RetryAfter != 3*time.Second {
		t.Errorf("%+v, want a refusal with a Retry-After of 3 s", w.Refused)
	}
	for i := range 2 {
		p.RecordNotice(fmt.Sprintf("ros-%d", i), admission.Notice{Leaving: true}, start)
	}
	if w := enqueueAndServe(p, newTimedRequest("z", 1, start), start); w.Refused == nil || w.Refused.Reason != reasonNoTarget {
		t.Errorf("%+v, want a refusal because no target may take it", w.Refused)
	}
}

// Waiting requests are refused when all targets ask for backoff.
func TestWaitingRequestsAreRefusedWhenAllTargetsBackOff(t *testing.T) {
	p, _ := fullPool(t)
	w := enqueueAndServe(p, newTimedRequest("waits", 1, start), start)
	if w.decided() {
		t.Fatal("the request does not wait")
	}
	p.RecordNotice("ros-0", admission.Notice{Backoff: 3 * time.Second}, start.Add(time.Millisecond))
	done := p.Serve(start.Add(time.Millisecond))
	if len(done) != 1 || w.Refused == nil || w.Refused.RetryAfter != 3*time.Second {
		t.Errorf("%+v, want a refusal with a Retry-After of 3 s", w.Refused)
	}
}

// Requests go on waiting while their only target is ejected, as an ejection ends soon.
func TestRequestsWaitForEjectedTargets(t *testing.T) {
	p, running := fullPool(t)
	w := enqueueAndServe(p, newTimedRequest("waits", 1, start), start)
	p.Release(running[0], Result{Shed: true}, start) // ejects the target for minShedEjection
	if done := p.Serve(start); len(done) != 0 {
		t.Errorf("%+v, want the request to wait", w.Refused)
	}
	if done := p.Serve(start.Add(minShedEjection)); len(done) != 1 || w.Selected == nil {
		t.Errorf("%+v, want the request to be placed", w.Refused)
	}
}

// What a VM has taken for failures of targets while it was partitioned must not outlive that.
func TestFailuresOfThisVMAreForgotten(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 2}, slots: 4, coldRate: 1})
	fail := func(at time.Time) {
		for range failuresToEject {
			for _, target := range p.sortedTargets {
				sel := p.newSelection(target, newRequest(""), 0, true, at)
				p.Acquire(sel, at)
				p.Release(sel, Result{Failed: true, ConnectionRefused: true}, at)
			}
		}
	}
	now := start.Add(time.Second)
	fail(now)
	if p.Choose(newRequest("x"), now) != nil {
		t.Fatal("a target is chosen although all are ejected")
	}
	p.ForgetFailures(now.Add(time.Millisecond))
	if p.Choose(newRequest("x"), now) != nil {
		t.Error("failures from before the partition are forgotten")
	}
	p.ForgetFailures(now)
	sel := mustChoose(t, p, newRequest("x"), now)
	if sel.target.cold(now) {
		t.Error("the target still counts as restarting")
	}
}

func TestNoticeTellsWhatIsLeftOfIt(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 2}, slots: 4})
	p.RecordNotice("ros-0", admission.Notice{Leaving: true, Backoff: 3 * time.Second}, start)
	if leaving, backoff := p.Notice("ros-0", start.Add(time.Second)); !leaving || backoff != 2*time.Second {
		t.Errorf("leaving %v, backoff %v", leaving, backoff)
	}
	if leaving, backoff := p.Notice("ros-0", start.Add(time.Minute)); !leaving || backoff != 0 {
		t.Errorf("after its end: leaving %v, backoff %v", leaving, backoff)
	}
	if leaving, backoff := p.Notice("ros-1", start); leaving || backoff != 0 {
		t.Errorf("without a notice: leaving %v, backoff %v", leaving, backoff)
	}
}
