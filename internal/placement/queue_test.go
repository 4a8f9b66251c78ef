package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"masticturn/internal/config"
)

// newTimedRequest returns a request with a deadline of 2 s and an objective of 400 ms.
func newTimedRequest(key string, priority int, arrived time.Time) *Request {
	return &Request{
		ID: key, Key: key, Priority: priority, Arrived: arrived, Deadline: arrived.Add(2 * time.Second),
		Rule: &config.Rule{ObjectiveMS: 400},
	}
}

// enqueueAndServe enqueues a request and serves the queue.
func enqueueAndServe(p *Pool, req *Request, now time.Time) *WaitingRequest {
	w := p.Enqueue(req, now)
	p.Serve(now)
	return w
}

// fullPool returns a pool whose only target is full, and the requests there.
func fullPool(t *testing.T) (*Pool, []*Selection) {
	t.Helper()
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: 1})
	var running []*Selection
	for i := range 2 { // one running, one queued at the target
		w := enqueueAndServe(p, newTimedRequest(fmt.Sprint("running ", i), 1, start), start)
		if w.Selected == nil {
			t.Fatal("a target with free slots is not chosen")
		}
		running = append(running, w.Selected)
	}
	return p, running
}

func TestRequestsWaitInOrder(t *testing.T) {
	p, running := fullPool(t)
	late := enqueueAndServe(p, newTimedRequest("late", 2, start), start)
	second := enqueueAndServe(p, newTimedRequest("second", 1, start.Add(2*time.Millisecond)), start.Add(2*time.Millisecond))
	first := enqueueAndServe(p, newTimedRequest("first", 1, start.Add(time.Millisecond)), start.Add(2*time.Millisecond))
	now := start.Add(10 * time.Millisecond)
	for i, want := range []*WaitingRequest{first, second, late} {
		complete(p, running[i], 10*time.Millisecond, now)
		done := p.Serve(now)
		if len(done) != 1 || done[0] != want {
			t.Fatalf("position %d: %d requests decided, want only %q", i, len(done), want.Request.ID)
		}
		running = append(running, want.Selected)
	}
	if p.QueueLen() != 0 {
		t.Errorf("%d requests are still waiting", p.QueueLen())
	}
}

// A request is placed even if its run is expected to exceed the objective, as only runs fill
// the caches of targets.
func TestRequestIsPlacedThoughLate(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: 1})
	p.runTimes = runTimes{cached: movingAverage(time.Second), uncached: movingAverage(time.Second)}
	if w := enqueueAndServe(p, newTimedRequest("a", 1, start), start); w.Selected == nil {
		t.Errorf("the request was refused: %+v", w.Refused)
	}
}

func TestRequestIsRefusedWhenItCannotMeetItsObjective(t *testing.T) {
	p, _ := fullPool(t)
	p.runTimes = runTimes{cached: movingAverage(100 * time.Millisecond)}
	w := enqueueAndServe(p, newTimedRequest("a", 1, start), start)
	waitUntil := start.Add(200 * time.Millisecond) // the objective less a run queued before it and its own
	if done := p.Serve(waitUntil.Add(-time.Millisecond)); len(done) != 0 {
		t.Fatal("decided while the answer could still meet the objective")
	}
	if done := p.Serve(waitUntil); len(done) != 1 || w.Refused == nil {
		t.Fatal("still waiting though the answer would miss the objective")
	}
	if after := w.Refused.RetryAfter; after < minRetryAfter || after > w.Request.Deadline.Sub(waitUntil)/3 {
		t.Errorf("Retry-After is %v", after)
	}
}

// Retry-After is about a run time, limited to a third of the time until the deadline.
func TestRetryAfterFollowsRunTime(t *testing.T) {
	for _, tt := range []struct{ run, left, least, most time.Duration }{
		{10 * time.Millisecond, 300 * time.Millisecond, minRetryAfter, 100 * time.Millisecond},
		{100 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond, 600 * time.Millisecond},
		{500 * time.Millisecond, 6 * time.Second, 500 * time.Millisecond, 2 * time.Second},
		{1900 * time.Millisecond, 25 * time.Second, 1900 * time.Millisecond, 25 * time.Second / 3},
		{10 * time.Second, 20 * time.Second, 20 * time.Second / 3, 20 * time.Second / 3},
	} {
		p, _ := fullPool(t)
		p.runTimes = runTimes{cached: movingAverage(tt.run)}
		req := newTimedRequest("a", 1, start)
		req.Deadline = start.Add(tt.left)
		if after := p.refuseNoCapacity(req, start).RetryAfter; after < tt.least || after > tt.most {
			t.Errorf("runs of %v, %v left: Retry-After is %v, want %v to %v", tt.run, tt.left, after, tt.least, tt.most)
		}
	}
}

// A full target is ejected for about the time until a slot is free.
func TestFullTargetIsEjectedUntilASlotIsFree(t *testing.T) {
	for _, tt := range []struct {
		run   time.Duration
		slots int
		want  time.Duration
	}{{100 * time.Millisecond, 5, minShedEjection}, {1900 * time.Millisecond, 5, 380 * time.Millisecond}, {10 * time.Second, 4, 2500 * time.Millisecond}} {
		p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: tt.slots})
		p.runTimes = runTimes{cached: movingAverage(tt.run)}
		sel := mustChoose(t, p, newRequest("a"), start)
		p.Acquire(sel, start)
		p.Release(sel, Result{Shed: true}, start)
		if got := sel.target.ejectedUntil.Sub(start); got != tt.want {
			t.Errorf("runs of %v at %d slots: ejected for %v, want %v", tt.run, tt.slots, got, tt.want)
		}
	}
}

func TestRequestWithoutEligibleTargetIsRefusedAtOnce(t *testing.T) {
	p, _ := newTestPool(t, "ros", threeRegions)
	req := newTimedRequest("a", 1, start)
	req.Rule.AllowedRegions = []string{"nowhere"}
	if w := enqueueAndServe(p, req, start); w.Refused == nil || w.Refused.Reason != reasonNoTarget {
		t.Errorf("got %+v, want a refusal with reasonNoTarget", w)
	}
}

func TestRetryAfterGrowsWithTheQueue(t *testing.T) {
	p, _ := fullPool(t)
	p.runTimes = runTimes{cached: movingAverage(100 * time.Millisecond)}
	short := p.refuseNoCapacity(newTimedRequest("a", 1, start), start).RetryAfter
	for i := range 3 {
		enqueueAndServe(p, newTimedRequest(fmt.Sprint(i), 1, start), start)
	}
	if long := p.refuseNoCapacity(newTimedRequest("a", 1, start), start).RetryAfter; long <= short {
		t.Errorf("Retry-After is %v with three waiting requests, %v with none", long, short)
	}
}

func TestCanceledRequestGetsNoTarget(t *testing.T) {
	p, running := fullPool(t)
	w := enqueueAndServe(p, newTimedRequest("a", 1, start), start)
	if !p.Cancel(w) || p.Cancel(w) {
		t.Error("Cancel: want true for a waiting request and false the second time")
	}
	complete(p, running[0], time.Millisecond, start)
	if done := p.Serve(start); len(done) != 0 {
		t.Error("a canceled request got a target")
	}
}

// In a burst of three times the capacity, most answers meet the objective, and the class of
// higher priority loses less.
func TestBurstServesInTimeAndByPriority(t *testing.T) {
	const run = 100 * time.Millisecond
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 4}, slots: 2})
	p.runTimes = runTimes{cached: movingAverage(run), uncached: movingAverage(run)}
	type runningRequest struct {
		endsAt time.Time
		w      *WaitingRequest
	}
	var running []runningRequest
	inTime, requested := map[int]int{}, map[int]int{}
	lateAnswers := 0
	slotFreeAt := map[string][]time.Time{} // time at which each slot of a target is free
	addRunning := func(w *WaitingRequest, now time.Time) {
		name := w.Selected.index.Name
		if slotFreeAt[name] == nil {
			slotFreeAt[name] = []time.Time{now, now}
		}
		slots := slotFreeAt[name]
		slices.SortFunc(slots, time.Time.Compare)
		if slots[0].Before(now) {
			slots[0] = now
		}
		slots[0] = slots[0].Add(run)
		running = append(running, runningRequest{slots[0], w})
	}
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		var unfinished []runningRequest
		for _, e := range running {
			if e.endsAt.After(now) {
				unfinished = append(unfinished, e)
				continue
			}
			complete(p, e.w.Selected, run, now)
			if now.Sub(e.w.Request.Arrived) <= 400*time.Millisecond {
				inTime[e.w.Request.Priority]++
			} else {
				lateAnswers++
			}
		}
		running = unfinished
		if ms < 3000 && ms%4 == 0 { // 250 requests/s, capacity for 80
			priority := 1 + ms/4%2
			requested[priority]++
			p.Enqueue(newTimedRequest(fmt.Sprint(ms%40), priority, now), now)
		}
		for _, w := range p.Serve(now) {
			if w.Selected != nil {
				addRunning(w, now)
			}
		}
	}
	served := inTime[1] + inTime[2]
	if served < 180 {
		t.Errorf("%d requests met the objective, want 180 of the 240 within the capacity", served)
	}
	if lateAnswers > served/4 {
		t.Errorf("%d answers missed the objective, %d met it", lateAnswers, served)
	}
	if inTime[1]*requested[2] < inTime[2]*requested[1] {
		t.Errorf("met the objective: %d of %d at the higher priority, %d of %d at the lower", inTime[1], requested[1], inTime[2], requested[2])
	}
}
