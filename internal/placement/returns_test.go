package placement

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/admission"
	"masticturn/internal/config"
)

// returningRequest is newTimedRequest with less time left than the usual 2 s.
func returningRequest(key string, left time.Duration, arrived time.Time) *Request {
	req := newTimedRequest(key, 1, arrived)
	req.Deadline = arrived.Add(left)
	return req
}

// shortPool is a fullPool that has just refused a request for lack of capacity.
func shortPool(t *testing.T, run time.Duration) (*Pool, []*Selection) {
	t.Helper()
	p, running := fullPool(t)
	p.runTimes = runTimes{cached: movingAverage(run), uncached: movingAverage(run)}
	p.refuseNoCapacity(newTimedRequest("refused", 1, start), start)
	return p, running
}

// A caller that returns must not lose the next free slot to a new one that came to the queue earlier.
func TestReturningCallerIsServedFirst(t *testing.T) {
	p, running := shortPool(t, 10*time.Millisecond)
	fresh := enqueueAndServe(p, newTimedRequest("fresh", 1, start), start)
	now := start.Add(5 * time.Millisecond)
	later := enqueueAndServe(p, returningRequest("later", 1500*time.Millisecond, now), now)
	first := enqueueAndServe(p, returningRequest("first", time.Second, now), now)
	urgent := enqueueAndServe(p, newTimedRequest("urgent", 0, now), now)
	for i, want := range []*WaitingRequest{urgent, first, later, fresh} {
		complete(p, running[i], 10*time.Millisecond, now)
		if done := p.Serve(now); len(done) != 1 || done[0] != want {
			t.Fatalf("position %d: want only %q of %d decided", i, want.Request.ID, len(done))
		}
		running = append(running, want.Selected)
	}
	if fresh.Request.Returning || !first.Request.Returning {
		t.Error("Returning must hold for the returning caller only")
	}
}

// Without a refusal for lack of capacity, and with equal timeouts also after one, the queue's order and
// waits must be those by arrival, and no random number is used for returns.
func TestQueueIsByArrivalWithoutReturns(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		p, _ := fullPool(t)
		p.runTimes = runTimes{cached: movingAverage(20 * time.Millisecond)}
		short := seed%2 == 0
		if short {
			p.returns.refusedAt = start
		}
		var want []*WaitingRequest
		for i := range 8 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			req := newTimedRequest(fmt.Sprint(i), r.IntN(3), now.Add(-time.Duration(r.IntN(4))*time.Millisecond))
			if !short {
				req.Deadline = req.Arrived.Add(time.Duration(500+r.IntN(1500)) * time.Millisecond)
			}
			w := p.Enqueue(req, now)
			if w.Refused != nil {
				continue
			}
			want = append(want, w)
			if !w.waitUntil.Equal(p.waitUntil(req)) || !w.firstAttempt.Equal(req.Arrived) {
				t.Fatalf("seed %d: the wait or the place differs from that by arrival", seed)
			}
		}
		slices.SortStableFunc(want, func(a, b *WaitingRequest) int {
			if a.Request.Priority != b.Request.Priority {
				return a.Request.Priority - b.Request.Priority
			}
			return a.Request.Arrived.Compare(b.Request.Arrived)
		})
		if !slices.Equal(p.queue, want) {
			t.Fatalf("seed %d: the queue is not in the order of arrival", seed)
		}
		if len(p.returns.planned) != 0 {
			t.Fatalf("seed %d: returns are planned without a refusal", seed)
		}
	}
}

// The service must not count as short of capacity for ever.
func TestShortageExpires(t *testing.T) {
	p, _ := shortPool(t, 10*time.Millisecond)
	if !p.returns.short(start.Add(shortageTTL-1)) || p.returns.short(start.Add(shortageTTL)) {
		t.Error("the service counts as short for another time than shortageTTL")
	}
}

// A request that can't be answered after a return must not wait for its refusal, and be told the longest
// Retry-After. If a slot is free, it is placed.
func TestCallerWithoutTimeToReturnIsRefusedAtOnce(t *testing.T) {
	const run, left = 300 * time.Millisecond, 400 * time.Millisecond
	p, running := shortPool(t, run)
	enqueueAndServe(p, newTimedRequest("usual", 1, start), start)
	w := enqueueAndServe(p, returningRequest("a", left, start), start)
	if w.Refused == nil || w.Refused.Reason != reasonNoCapacity || w.Refused.RetryAfter != left/3 {
		t.Errorf("got %+v, want a refusal at once with Retry-After %v", w.Refused, left/3)
	}
	complete(p, running[0], run, start)
	if w := enqueueAndServe(p, returningRequest("b", left, start), start); w.Selected == nil {
		t.Errorf("refused though a slot is free: %+v", w.Refused)
	}
}

// A caller must not wait for an answer that can't come before its deadline.
func TestWaitEndsARunBeforeTheDeadline(t *testing.T) {
	for _, left := range []time.Duration{350 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, run := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 220 * time.Millisecond} {
			p, _ := shortPool(t, run)
			p.Enqueue(newTimedRequest("usual", 1, start), start)
			req := returningRequest("a", left, start)
			if w := p.Enqueue(req, start); w.waitUntil.After(req.Deadline.Add(-run)) {
				t.Errorf("%v left, runs of %v: waits until %v before the deadline", left, run, req.Deadline.Sub(w.waitUntil))
			}
		}
	}
}

// A VM with nothing known must not tell callers the same time either.
func TestReturnsAreSpreadWithNothingKnown(t *testing.T) {
	p, _ := fullPool(t)
	seen := make(map[time.Duration]bool)
	for range 10 {
		after := p.refuseNoCapacity(newTimedRequest("a", 1, start), start).RetryAfter
		if after < minRetryAfter || after > 2*time.Second/3 {
			t.Errorf("Retry-After %v is out of bounds", after)
		}
		seen[after] = true
	}
	if len(seen) < 5 {
		t.Errorf("%d callers got %d times to return", 10, len(seen))
	}
}

// Returns must not come sooner than the VM serves requests as long as the callers have the time.
func TestReturnsKeepTheRateOfCompletions(t *testing.T) {
	p, _ := fullPool(t)
	const gap = 20 * time.Millisecond
	now := start
	for range 2 * maxCompletions {
		now = now.Add(gap)
		p.returns.recordCompletion(now)
	}
	var last time.Duration
	for i := range 25 {
		after := p.refuseNoCapacity(newTimedRequest("a", 1, now), now).RetryAfter
		if i > 0 && after-last < gap-time.Millisecond {
			t.Errorf("return %d is told %v, the one before it %v", i, after, last)
		}
		last = after
	}
}

// Retry-After must keep its bounds, and the plan must stay small and without past returns.
func TestPlanIsBounded(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	p, _ := fullPool(t)
	now := start
	for i := range 5000 {
		now = now.Add(time.Duration(r.IntN(1000)) * time.Microsecond)
		if i%3 == 0 {
			p.returns.recordCompletion(now)
		}
		p.runTimes.cached = movingAverage(r.IntN(int(time.Second)))
		left := time.Duration(1 + r.IntN(int(20*time.Second)))
		after := p.refuseNoCapacity(returningRequest("a", left, now), now).RetryAfter
		if after < minRetryAfter || after > max(left/3, minRetryAfter) {
			t.Fatalf("Retry-After %v with %v left", after, left)
		}
		planned := p.returns.planned
		if len(planned) > maxPlannedReturns || !slices.IsSortedFunc(planned, time.Time.Compare) || len(planned) > 0 && planned[0].Before(now) {
			t.Fatalf("%d returns planned, in order: %v", len(planned), slices.IsSortedFunc(planned, time.Time.Compare))
		}
	}
}

// A caller that returns to another VM must be recognized there by the rule's other requests; a VM that
// knows no other requests takes it for a new one.
func TestReturnToAnotherVM(t *testing.T) {
	refusing, _ := shortPool(t, 300*time.Millisecond)
	after := refusing.refuseNoCapacity(newTimedRequest("a", 1, start), start).RetryAfter
	now := start.Add(after)
	other, _ := fullPool(t)
	req := returningRequest("a", 2*time.Second-after, now)
	if other.Enqueue(req, now); !req.Returning {
		t.Errorf("a caller with %v left of 2 s does not count as returning", 2*time.Second-after)
	}
	unknowing, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: 1})
	if unknowing.Enqueue(req, now); req.Returning {
		t.Error("a caller counts as returning though no other timeout is known")
	}
}

// A shorter timeout must not make all callers of a rule count as returning: at once if the document's rule
// has changed, else after the windows.
func TestTimeoutOfRuleChanges(t *testing.T) {
	p, _ := fullPool(t)
	request := func(timeout time.Duration, limit config.Millis, now time.Time) bool {
		req := returningRequest("a", timeout, now)
		req.Rule = &config.Rule{Name: "r", TimeoutMS: limit}
		p.Enqueue(req, now)
		return req.Returning
	}
	if request(2*time.Second, 2000, start) || !request(time.Second, 2000, start) {
		t.Fatal("want only the second request to return")
	}
	if request(time.Second, 1000, start) {
		t.Error("a caller counts as returning after the rule's timeout has been halved")
	}
	if request(time.Second, 2000, start.Add(2*timeoutWindow)) {
		t.Error("a caller counts as returning though no longer timeout was seen for two windows")
	}
	if n := len(p.returns.timeouts); n > 2 {
		t.Errorf("%d timeouts are kept", n)
	}
}

// Callers of a rule with a short timeout must not count as returning because of another rule or class.
func TestRulesWithDifferentTimeouts(t *testing.T) {
	p, _ := fullPool(t)
	p.returns.refusedAt = start
	for i := range 10 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for class, timeout := range map[string]time.Duration{"long": 25 * time.Second, "short": time.Second} {
			req := returningRequest("a", timeout, now)
			req.Class = class
			w := p.Enqueue(req, now)
			if req.Returning || !w.firstAttempt.Equal(now) {
				t.Fatalf("a new request of class %s counts as returning", class)
			}
		}
	}
}

func TestReturnMetrics(t *testing.T) {
	set := metrics.NewSet()
	m := newDecisionMetrics(set)
	r := &admission.Request{Service: &config.ServiceIndex{Service: &config.Service{Name: "s"}}, Class: &config.Class{Name: "c"}}
	m.countReturn(r, &Request{Returning: true}, &Refusal{Reason: reasonNoTarget})
	m.countReturn(r, &Request{}, &Refusal{Reason: reasonNoCapacity, RetryAfter: time.Second})
	var out bytes.Buffer
	set.WritePrometheus(&out)
	for _, want := range []string{`masticturn_returning_refused_total{service="s",class="c"} 1`, `masticturn_retry_after_seconds_sum{service="s",class="c"} 1`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing in\n%s", want, out.String())
		}
	}
}
