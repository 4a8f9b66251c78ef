package placement

import (
	"maps"
	"slices"
	"time"

	"masticturn/internal/config"
)

const (
	// shortageTTL is how long after a refusal for lack of capacity the service counts as short
	// of it. It covers the longest Retry-After of callers with a timeout of 15 s.
	shortageTTL = 5 * time.Second
	// returningFraction is the fraction of the usual timeout below which a request counts as
	// returning.
	returningFraction = 0.9
	// timeoutWindow is the length of the windows in which the longest timeout is measured. The
	// present one and the one before it count, so that a timeout is forgotten after one to two
	// of them.
	timeoutWindow = 30 * time.Second
	// maxPlannedReturns bounds the returns that a VM keeps for a service.
	maxPlannedReturns = 512
	// minReturnRate is the lowest rate in returns/s, used while no completions are known. Lower
	// rates hold callers back longer than needed at VMs that serve few requests.
	minReturnRate = 12.0
	// maxCompletions is the number of completions that the rate is measured from, and
	// completionWindow their maximum age.
	maxCompletions   = 32
	completionWindow = 2 * time.Second
	// maxReturnDensity is how many times closer than at the rate returns are planned when the
	// callers' time leaves no other.
	maxReturnDensity = 8
)

// returns estimates which requests are of callers that return after a refusal, and plans the returns
// of refused ones. It is soft state of one service at one VM.
type returns struct {
	timeouts    map[timeoutKey]*usualTimeout
	prunedAt    time.Time   // when timeouts was last pruned
	refusedAt   time.Time   // last refusal for lack of capacity
	completions []time.Time // most recent ones of this VM's requests, the oldest first
	planned     []time.Time // returns of refused callers, the earliest first
}

// timeoutKey identifies the requests that share a usual timeout. The rule's own timeout is part of it,
// so that a document that changes it starts a new estimate.
type timeoutKey struct {
	rule, prefix, class string
	timeout             config.Millis
}

func timeoutKeyOf(req *Request) timeoutKey {
	k := timeoutKey{class: req.Class}
	if req.Rule != nil {
		k.rule, k.prefix, k.timeout = req.Rule.Name, req.Rule.PathPrefix, req.Rule.TimeoutMS
	}
	return k
}

// usualTimeout is the longest timeout of the requests in the present timeoutWindow and in the one
// before.
type usualTimeout struct {
	since             time.Time // beginning of the present window
	longest, previous time.Duration
}

func (u *usualTimeout) observe(d time.Duration, now time.Time) {
	switch elapsed := now.Sub(u.since); {
	case elapsed >= 2*timeoutWindow:
		*u = usualTimeout{since: now}
	case elapsed >= timeoutWindow:
		*u = usualTimeout{since: u.since.Add(timeoutWindow), previous: u.longest}
	}
	u.longest = max(u.longest, d)
}

func (u *usualTimeout) value() time.Duration { return max(u.longest, u.previous) }

// firstAttempt estimates the time of the caller's first attempt and whether the request is a later one.
func (r *returns) firstAttempt(req *Request, now time.Time) (first time.Time, returning bool) {
	left := req.Deadline.Sub(req.Arrived)
	if left <= 0 {
		return req.Arrived, false
	}
	usual := r.observeTimeout(timeoutKeyOf(req), left, now)
	if float64(left) >= returningFraction*float64(usual) {
		return req.Arrived, false
	}
	return req.Deadline.Add(-usual), true
}

// observeTimeout records a timeout and returns the usual one.
func (r *returns) observeTimeout(key timeoutKey, d time.Duration, now time.Time) time.Duration {
	if now.Sub(r.prunedAt) >= 2*timeoutWindow {
		maps.DeleteFunc(r.timeouts, func(_ timeoutKey, u *usualTimeout) bool { return now.Sub(u.since) >= 2*timeoutWindow })
		r.prunedAt = now
	}
	u := r.timeouts[key]
	if u == nil {
		if r.timeouts == nil {
			r.timeouts = make(map[timeoutKey]*usualTimeout)
		}
		u = &usualTimeout{since: now}
		r.timeouts[key] = u
	}
	u.observe(d, now)
	return u.value()
}

// short reports whether the service has lacked capacity lately.
func (r *returns) short(now time.Time) bool {
	return !r.refusedAt.IsZero() && now.Sub(r.refusedAt) < shortageTTL
}

// recordCompletion records that a request of this VM has been served.
func (r *returns) recordCompletion(now time.Time) {
	if len(r.completions) == maxCompletions {
		r.completions = slices.Delete(r.completions, 0, 1)
	}
	r.completions = append(r.completions, now)
}

// rate returns the rate at which this VM can serve returning callers, in requests/s: that of its recent
// completions, but not less than minReturnRate.
func (r *returns) rate(now time.Time) float64 {
	recent := r.completions
	for len(recent) > 0 && now.Sub(recent[0]) > completionWindow {
		recent = recent[1:]
	}
	if len(recent) < 2 {
		return minReturnRate
	}
	elapsed := max(now.Sub(recent[0]), time.Millisecond)
	return max(float64(len(recent)-1)/elapsed.Seconds(), minReturnRate)
}

// recordRefusal records a refusal for lack of capacity and drops past returns.
func (r *returns) recordRefusal(now time.Time) {
	r.refusedAt = now
	r.planned = slices.DeleteFunc(r.planned, func(t time.Time) bool { return t.Before(now) })
}

// plan returns the time at which a refused caller is to return: the first one from earliest that keeps a
// distance of one request at the rate from other planned returns. If there is none until latest, the
// distance is reduced. A caller for whom that does not suffice either is to return at latest.
func (r *returns) plan(rate float64, earliest, latest time.Time) time.Time {
	distance := time.Duration(float64(time.Second) / rate)
	if len(r.planned) < maxPlannedReturns {
		for density := 1; density <= maxReturnDensity; density *= 2 {
			at, i := r.firstGap(earliest, distance/time.Duration(density))
			if !at.After(latest) {
				r.planned = slices.Insert(r.planned, i, at)
				return at
			}
		}
	}
	return latest
}

// firstGap returns the first time from earliest that has at least the distance from all planned
// returns, and its index among them.
func (r *returns) firstGap(earliest time.Time, distance time.Duration) (at time.Time, index int) {
	at = earliest
	for i, t := range r.planned {
		if t.Sub(at) >= distance {
			return at, i
		}
		if next := t.Add(distance); next.After(at) {
			at = next
		}
	}
	return at, len(r.planned)
}

// latestRetryAfter returns the longest time that a caller waits before it returns.
func latestRetryAfter(req *Request, now time.Time) time.Duration {
	return max(time.Duration(maxRetryFraction*float64(req.Deadline.Sub(now))), minRetryAfter)
}

// canReturn reports whether a caller that returns as late as allowed has the time of a run left.
func canReturn(req *Request, run time.Duration, now time.Time) bool {
	return req.Deadline.Sub(now)-latestRetryAfter(req, now) >= run
}

// planRetryAfter returns the Retry-After of a request refused for lack of capacity, of which the
// present queue takes a time. Callers that can't be served after a return are not planned for.
func (p *Pool) planRetryAfter(req *Request, wait time.Duration, now time.Time) time.Duration {
	if !p.enabled.Returns {
		return wait
	}
	p.returns.recordRefusal(now)
	limit := latestRetryAfter(req, now)
	if !canReturn(req, p.timesOf(req.Class).expect(true, 0), now) {
		return limit
	}
	earliest := min(max(wait, minRetryAfter), limit)
	rate := p.returns.rate(now)
	return p.returns.plan(rate, now.Add(earliest), now.Add(limit)).Sub(now)
}

// newWaiting returns the queue's entry of a request. While the service is short of capacity, returning
// requests get the place of their first attempt, and no request waits longer than an answer is possible.
func (p *Pool) newWaiting(req *Request, now time.Time) *WaitingRequest {
	w := &WaitingRequest{Request: req, waitUntil: p.waitUntil(req), firstAttempt: req.Arrived}
	if !p.enabled.Returns {
		return w
	}
	first, returning := p.returns.firstAttempt(req, now)
	req.Returning = returning
	if !p.returns.short(now) {
		return w
	}
	w.firstAttempt = first
	run := p.timesOf(req.Class).expect(true, 0)
	if run > 0 && !canReturn(req, run, now) {
		w.waitUntil = now // it is placed now or refused
		return w
	}
	if last := req.Deadline.Add(-run); w.waitUntil.After(last) {
		w.waitUntil = last
	}
	return w
}
