package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"masticturn/internal/config"
)

func timedAsk(key string, priority int, arrived time.Time) *Request {
	return &Request{
		ID: key, Key: key, Priority: priority, Arrived: arrived, Deadline: arrived.Add(2 * time.Second),
		Rule: &config.Rule{ObjectiveMS: 400},
	}
}

// admit enqueues a request and serves the queue.
func admit(p *Pool, a *Request, now time.Time) *Waiting {
	w := p.Enqueue(a, now)
	p.Serve(now)
	return w
}

// fullPool is a pool whose only target is full, with its requests.
func fullPool(t *testing.T) (*Pool, []*Selection) {
	t.Helper()
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 1}, slots: 1})
	var running []*Selection
	for i := range 2 { // one runs, one waits at the target
		w := admit(p, timedAsk(fmt.Sprint("running ", i), 1, start), start)
		if w.Selected == nil {
			t.Fatal("a free target takes no request")
		}
		running = append(running, w.Selected)
	}
	return p, running
}

func TestRequestsWaitInOrder(t *testing.T) {
	p, running := fullPool(t)
	late := admit(p, timedAsk("late", 2, start), start)
	second := admit(p, timedAsk("second", 1, start.Add(2*time.Millisecond)), start.Add(2*time.Millisecond))
	first := admit(p, timedAsk("first", 1, start.Add(time.Millisecond)), start.Add(2*time.Millisecond))
	now := start.Add(10 * time.Millisecond)
	for i, want := range []*Waiting{first, second, late} {
		finish(p, running[i], 10*time.Millisecond, now)
		done := p.Serve(now)
		if len(done) != 1 || done[0] != want {
			t.Fatalf("place %d: %d decided, want the one request %q", i, len(done), want.Request.ID)
		}
		running = append(running, want.Selected)
	}
	if p.Queued() != 0 {
		t.Errorf("%d requests still wait", p.Queued())
	}
}

// A request is placed even if a run exceeds its objective, as only runs fill caches.
func TestRoomIsUsedThoughTheAnswerWillBeLate(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 1}, slots: 1})
	p.runs = runTimes{warm: mean(time.Second), fresh: mean(time.Second)}
	if w := admit(p, timedAsk("a", 1, start), start); w.Selected == nil {
		t.Errorf("refused: %+v", w.Refused)
	}
}

func TestRequestThatCannotBeInTimeIsRefused(t *testing.T) {
	p, _ := fullPool(t)
	p.runs = runTimes{warm: mean(100 * time.Millisecond)}
	w := admit(p, timedAsk("a", 1, start), start)
	until := start.Add(200 * time.Millisecond) // the objective less a wait at the target and a run
	if done := p.Serve(until.Add(-time.Millisecond)); len(done) != 0 {
		t.Fatal("decided though an answer could still be in time")
	}
	if done := p.Serve(until); len(done) != 1 || w.Refused == nil {
		t.Fatal("it waits on though an answer would be late")
	}
	if after := w.Refused.RetryAfter; after < minRetryAfter || after > w.Request.Deadline.Sub(until)/3 {
		t.Errorf("it may come back after %v", after)
	}
}

// Retry-After is the end of a run, within the caller's remaining time.
func TestRetryAfterFollowsRuns(t *testing.T) {
	for _, tt := range []struct{ run, left, least, most time.Duration }{
		{10 * time.Millisecond, 300 * time.Millisecond, minRetryAfter, 100 * time.Millisecond},
		{100 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, 600 * time.Millisecond},
		{500 * time.Millisecond, 6 * time.Second, 500 * time.Millisecond, 2 * time.Second},
		{1900 * time.Millisecond, 25 * time.Second, 1900 * time.Millisecond, 25 * time.Second / 3},
		{10 * time.Second, 20 * time.Second, 20 * time.Second / 3, 20 * time.Second / 3},
	} {
		p, _ := fullPool(t)
		p.runs = runTimes{warm: mean(tt.run)}
		a := timedAsk("a", 1, start)
		a.Deadline = start.Add(tt.left)
		if after := p.refuseNoTime(a, start).RetryAfter; after < tt.least || after > tt.most {
			t.Errorf("runs of %v, %v left: come back after %v, want %v to %v", tt.run, tt.left, after, tt.least, tt.most)
		}
	}
}

// A full target is barred for about the time until a slot is free.
func TestFullTargetRestsForASlotsTime(t *testing.T) {
	for _, tt := range []struct {
		run   time.Duration
		slots int
		want  time.Duration
	}{{100 * time.Millisecond, 5, minShedBar}, {1900 * time.Millisecond, 5, 380 * time.Millisecond}, {10 * time.Second, 4, 2500 * time.Millisecond}} {
		p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 1}, slots: tt.slots})
		p.runs = runTimes{warm: mean(tt.run)}
		at := mustChoose(t, p, ask("a"), start)
		p.Acquire(at, start)
		p.Release(at, Result{Shed: true}, start)
		if got := at.target.barredUntil.Sub(start); got != tt.want {
			t.Errorf("runs of %v at %d slots: barred for %v, want %v", tt.run, tt.slots, got, tt.want)
		}
	}
}

func TestRequestThatMayRunNowhereIsRefusedAtOnce(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	a := timedAsk("a", 1, start)
	a.Rule.AllowedRegions = []string{"nowhere"}
	if w := admit(p, a, start); w.Refused == nil || w.Refused.Reason != reasonNoTarget {
		t.Errorf("got %+v", w)
	}
}

// Retry-After grows with the queue.
func TestRetryAfterGrowsWithTheQueue(t *testing.T) {
	p, _ := fullPool(t)
	p.runs = runTimes{warm: mean(100 * time.Millisecond)}
	short := p.refuseNoTime(timedAsk("a", 1, start), start).RetryAfter
	for i := range 3 {
		admit(p, timedAsk(fmt.Sprint(i), 1, start), start)
	}
	if long := p.refuseNoTime(timedAsk("a", 1, start), start).RetryAfter; long <= short {
		t.Errorf("%v with three waiting, %v with none", long, short)
	}
}

func TestCanceledRequestGetsNoTarget(t *testing.T) {
	p, running := fullPool(t)
	w := admit(p, timedAsk("a", 1, start), start)
	if !p.Cancel(w) || p.Cancel(w) {
		t.Error("a waiting request is cancelled once")
	}
	finish(p, running[0], time.Millisecond, start)
	if done := p.Serve(start); len(done) != 0 {
		t.Error("a request whose caller left got a target")
	}
}

// In a burst of three times the capacity, most answers are in time, and the more urgent
// class loses less.
func TestBurstServesInTimeAndByPriority(t *testing.T) {
	const run = 100 * time.Millisecond
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 4}, slots: 2})
	p.runs = runTimes{warm: mean(run), fresh: mean(run)}
	type ending struct {
		at time.Time
		w  *Waiting
	}
	var ends []ending
	inTime, asked := map[int]int{}, map[int]int{}
	lateAnswers := 0
	free := map[string][]time.Time{} // when each slot of a target is free
	end := func(w *Waiting, now time.Time) {
		name := w.Selected.index.Name
		if free[name] == nil {
			free[name] = []time.Time{now, now}
		}
		slots := free[name]
		slices.SortFunc(slots, time.Time.Compare)
		if slots[0].Before(now) {
			slots[0] = now
		}
		slots[0] = slots[0].Add(run)
		ends = append(ends, ending{slots[0], w})
	}
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		var running []ending
		for _, e := range ends {
			if e.at.After(now) {
				running = append(running, e)
				continue
			}
			finish(p, e.w.Selected, run, now)
			if now.Sub(e.w.Request.Arrived) <= 400*time.Millisecond {
				inTime[e.w.Request.Priority]++
			} else {
				lateAnswers++
			}
		}
		ends = running
		if ms < 3000 && ms%4 == 0 { // 250 requests a second, room for 80
			priority := 1 + ms/4%2
			asked[priority]++
			p.Enqueue(timedAsk(fmt.Sprint(ms%40), priority, now), now)
		}
		for _, w := range p.Serve(now) {
			if w.Selected != nil {
				end(w, now)
			}
		}
	}
	served := inTime[1] + inTime[2]
	if served < 180 {
		t.Errorf("%d requests were answered in time, of 240 that there was room for", served)
	}
	if lateAnswers > served/4 {
		t.Errorf("%d answers were late, %d in time", lateAnswers, served)
	}
	if inTime[1]*asked[2] < inTime[2]*asked[1] {
		t.Errorf("in time: %d of %d urgent ones, %d of %d others", inTime[1], asked[1], inTime[2], asked[2])
	}
}
