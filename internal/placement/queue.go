package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of Retry-After.
const (
	// minRetryAfter keeps refused callers from retrying before anything can have changed.
	minRetryAfter = 50 * time.Millisecond
	// retryShare bounds Retry-After as a share of the caller's remaining time. Callers
	// wait no longer, whatever it says.
	retryShare = 1.0 / 3
	// unknownRetryAfter applies if no run time is known or no target is eligible. A new
	// target is discovered within a second or two.
	unknownRetryAfter = 600 * time.Millisecond
)

// Refusal is why a request got no target, and when to retry.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	Queued     int    // waiting requests
	Targets    string // of the object, with the slots in use; for logs
}

// The reasons of refusals.
const (
	reasonNoTarget = "no target may take the request"
	reasonBackoff  = "all targets have asked for backoff"
	reasonNoTime   = "no target has room in time"
	reasonCanceled = "the caller left or its time was over"
)

// Waiting is a request in the queue.
type Waiting struct {
	Request  *Request
	until    time.Time // the request is refused after it
	Selected *Selection
	Refused  *Refusal
}

// decided reports whether the request was placed or refused.
func (w *Waiting) decided() bool { return w.Selected != nil || w.Refused != nil }

// Enqueue queues a request by priority and arrival; Serve decides on it. A request
// without an eligible target, or whose wait would exceed its time, is refused at once.
func (p *Pool) Enqueue(a *Request, now time.Time) *Waiting {
	p.recordObjective(a)
	w := &Waiting{Request: a, until: p.waitUntil(a)}
	if !p.possible(a, now) {
		w.Refused = p.refuseNoTarget(a, now)
		return w
	}
	at, _ := slices.BinarySearchFunc(p.queue, a, func(x *Waiting, a *Request) int {
		if before(a, x.Request) {
			return 1
		}
		return -1
	})
	if now.Add(p.queueTime(at)).After(w.until) {
		w.Refused = p.refuseNoTime(a, now)
		return w
	}
	p.queue = slices.Insert(p.queue, at, w)
	return w
}

// queueTime estimates the time until the given number of requests have a slot.
func (p *Pool) queueTime(ahead int) time.Duration {
	slots := 0
	for _, t := range p.order {
		slots += t.Slots
	}
	if ahead == 0 || slots == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(slots) * float64(p.runs.expect(true, 0)))
}

// before reports whether a request is served before another one.
func before(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// minWaitShare is the share of its time that a request may always wait. Targets without
// cached objects answer late, and fill their caches only by running requests.
const minWaitShare = 0.25

// turnRuns is the time from placement to the answer in runs: its own, and those queued
// before it at the target.
const turnRuns = 1 + maxQueuedPerSlot

// waitUntil returns until when a request may wait: as long as the answer can meet its
// objective, or its deadline if it has none.
func (p *Pool) waitUntil(a *Request) time.Time {
	total := a.Deadline.Sub(a.Arrived)
	if a.Rule != nil && a.Rule.ObjectiveMS > 0 {
		total = min(total, a.Rule.ObjectiveMS.Duration())
	}
	minWait := time.Duration(minWaitShare * float64(total))
	return a.Arrived.Add(max(minWait, total-time.Duration(turnRuns*float64(p.runs.expect(true, 0)))))
}

// refuseNoTarget refuses a request without an eligible target. If all targets have asked
// for backoff, the caller may retry at the earliest end.
func (p *Pool) refuseNoTarget(a *Request, now time.Time) *Refusal {
	r := p.refusal(a, reasonNoTarget, unknownRetryAfter, now)
	if at, ok := p.backoffEnd(a, now); ok {
		r.Reason, r.RetryAfter = reasonBackoff, max(at.Sub(now), minRetryAfter)
	}
	return r
}

// unavailableUntil reports whether no target will take the request before a time.
func (p *Pool) unavailableUntil(a *Request, until, now time.Time) bool {
	at, ok := p.availableAt(a, now)
	return !ok || at.After(until)
}

// refuseNoTime refuses a request that can't be answered in time. The caller may retry
// when the queue is served.
func (p *Pool) refuseNoTime(a *Request, now time.Time) *Refusal {
	after := p.runs.expect(true, 0) + p.queueTime(len(p.queue))
	return p.refusal(a, reasonNoTime, after, now)
}

// clampRetryAfter bounds Retry-After by the caller's remaining time.
func clampRetryAfter(after time.Duration, a *Request, now time.Time) time.Duration {
	limit := time.Duration(retryShare * float64(a.Deadline.Sub(now)))
	return max(min(after, limit), minRetryAfter)
}

func (p *Pool) refusal(a *Request, reason string, retryAfter time.Duration, now time.Time) *Refusal {
	var targets []string
	for _, t := range p.candidates(a, now) {
		targets = append(targets, fmt.Sprintf("%s %d/%d", t.Name, t.busy(now), t.Slots))
	}
	return &Refusal{Reason: reason, RetryAfter: clampRetryAfter(retryAfter, a, now), Queued: len(p.queue), Targets: strings.Join(targets, ", ")}
}

// Serve places or refuses waiting requests in order and returns the decided ones.
func (p *Pool) Serve(now time.Time) []*Waiting {
	var done []*Waiting
	for _, w := range p.queue {
		if at := p.Choose(w.Request, now); at != nil {
			p.Acquire(at, now)
			w.Selected = at
		} else if !now.Before(w.until) {
			w.Refused = p.refuseNoTime(w.Request, now)
		} else if p.unavailableUntil(w.Request, w.until, now) {
			w.Refused = p.refuseNoTarget(w.Request, now)
		}
		if w.decided() {
			done = append(done, w)
		}
	}
	if done != nil {
		p.queue = slices.DeleteFunc(p.queue, (*Waiting).decided)
	}
	return done
}

// Cancel removes a request from the queue; false if it was decided before.
func (p *Pool) Cancel(w *Waiting) bool {
	if w.decided() {
		return false
	}
	w.Refused = &Refusal{Reason: reasonCanceled}
	p.queue = slices.DeleteFunc(p.queue, (*Waiting).decided)
	return true
}

// Queued returns the length of the queue.
func (p *Pool) Queued() int { return len(p.queue) }
