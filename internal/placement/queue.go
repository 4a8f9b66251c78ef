package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of what a refused caller is told.
const (
	// retryLeast keeps callers that are refused at once from coming back before
	// anything can have changed.
	retryLeast = 50 * time.Millisecond
	// retryShare is the part of the time left after which a caller is told to come
	// back at most: callers wait no longer than that, whatever they are told.
	retryShare = 1.0 / 3
	// retryUnknown is told where no run was seen yet, or no target may take the
	// request: the news of another one comes within a second or two.
	retryUnknown = 600 * time.Millisecond
)

// Refusal tells why a request was not given a target and when to come back.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	Queued     int    // requests that waited
	Targets    string // of the object, each with what is believed to run there of its slots; for logs
}

// The reasons of refusals.
const (
	reasonNoTarget = "no target may take the request"
	reasonBackoff  = "all targets have asked for backoff"
	reasonNoTime   = "no target has room in time"
	reasonLeft     = "the caller left or its time was over"
)

// Waiting is a request that waits for a target.
type Waiting struct {
	Ask     *Ask
	until   time.Time // after it the request is refused
	Placed  *Placed
	Refused *Refusal
}

// decided reports whether the request waits no more.
func (w *Waiting) decided() bool { return w.Placed != nil || w.Refused != nil }

// Enqueue takes a request that has arrived into the queue, behind those that
// wait with the same priority or a higher one; Serve decides on it. One that may
// run nowhere, or before which more wait than can run in time, is refused at
// once.
func (p *Pool) Enqueue(a *Ask, now time.Time) *Waiting {
	p.noteObjective(a)
	w := &Waiting{Ask: a, until: p.patience(a)}
	if !p.possible(a, now) {
		w.Refused = p.noTarget(a, now)
		return w
	}
	at, _ := slices.BinarySearchFunc(p.queue, a, func(x *Waiting, a *Ask) int {
		if before(a, x.Ask) {
			return 1
		}
		return -1
	})
	if now.Add(p.queueTime(at)).After(w.until) {
		w.Refused = p.noTime(a, now)
		return w
	}
	p.queue = slices.Insert(p.queue, at, w)
	return w
}

// queueTime is how long it takes until so many requests that wait have a slot.
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

// before reports whether a request goes before another one that waits.
func before(a, b *Ask) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// patienceShare is the part of its time that a request may wait at least, also
// where runs take longer than the rest: targets that know few objects yet get
// to know them only by running requests.
const patienceShare = 0.25

// turnRuns is how many runs a request takes from when it gets a place: its own,
// and one before which it may wait at the target.
const turnRuns = 1 + queueMost

// patience returns until when a request may wait for room: as long as an answer
// can still come within its objective, or within its deadline where it has
// none. What waits longer would be late when answered and make others late too.
func (p *Pool) patience(a *Ask) time.Time {
	whole := a.Deadline.Sub(a.Arrived)
	if a.Rule != nil && a.Rule.ObjectiveMS > 0 {
		whole = min(whole, a.Rule.ObjectiveMS.Duration())
	}
	least := time.Duration(patienceShare * float64(whole))
	return a.Arrived.Add(max(least, whole-time.Duration(turnRuns*float64(p.runs.expect(true, 0)))))
}

// noTarget refuses a request that no target may take. If all have asked for backoff, the
// caller may retry at the earliest end.
func (p *Pool) noTarget(a *Ask, now time.Time) *Refusal {
	r := p.refusal(a, reasonNoTarget, retryUnknown, now)
	if at, ok := p.backoffEnd(a, now); ok {
		r.Reason, r.RetryAfter = reasonBackoff, max(at.Sub(now), retryLeast)
	}
	return r
}

// unavailableUntil reports whether no target will take the request before a time.
func (p *Pool) unavailableUntil(a *Ask, until, now time.Time) bool {
	at, ok := p.availableAt(a, now)
	return !ok || at.After(until)
}

// noTime refuses a request that can't be answered in time. The caller may come
// back when those that wait now have run.
func (p *Pool) noTime(a *Ask, now time.Time) *Refusal {
	after := p.runs.expect(true, 0) + p.queueTime(len(p.queue))
	return p.refusal(a, reasonNoTime, after, now)
}

// boundRetry bounds when a refused caller is told to come back: a caller that comes
// back before there is room is refused again, one that is told too long comes back
// when it wants.
func boundRetry(after time.Duration, a *Ask, now time.Time) time.Duration {
	most := time.Duration(retryShare * float64(a.Deadline.Sub(now)))
	return max(min(after, most), retryLeast)
}

func (p *Pool) refusal(a *Ask, reason string, retryAfter time.Duration, now time.Time) *Refusal {
	var targets []string
	for _, t := range p.candidates(a, now) {
		targets = append(targets, fmt.Sprintf("%s %d/%d", t.Name, t.busy(now), t.Slots))
	}
	return &Refusal{Reason: reason, RetryAfter: boundRetry(retryAfter, a, now), Queued: len(p.queue), Targets: strings.Join(targets, ", ")}
}

// Serve places and refuses requests that wait, in order, and returns those that
// wait no more.
func (p *Pool) Serve(now time.Time) []*Waiting {
	var done []*Waiting
	for _, w := range p.queue {
		if at := p.Choose(w.Ask, now); at != nil {
			p.Take(at, now)
			w.Placed = at
		} else if !now.Before(w.until) {
			w.Refused = p.noTime(w.Ask, now)
		} else if p.unavailableUntil(w.Ask, w.until, now) {
			w.Refused = p.noTarget(w.Ask, now)
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

// Cancel takes a request out of the queue; false when it was decided before.
func (p *Pool) Cancel(w *Waiting) bool {
	if w.decided() {
		return false
	}
	w.Refused = &Refusal{Reason: reasonLeft}
	p.queue = slices.DeleteFunc(p.queue, (*Waiting).decided)
	return true
}

// Queued returns how many requests wait.
func (p *Pool) Queued() int { return len(p.queue) }
