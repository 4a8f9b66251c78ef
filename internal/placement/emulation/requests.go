package emulation

import (
	"fmt"
	"math"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/placement"
)

// scheduleArrival schedules the next request of a region's callers. Arrivals are a Poisson
// process whose rate follows the region's wave.
func (s *simulation) scheduleArrival(region int) {
	w := s.workload
	at := s.now.Sub(startTime)
	phase := float64(at)/float64(w.Period) + float64(region)/float64(len(w.Regions))
	rate := w.Rate * w.callers(w.Regions[region].Name) * s.rateFactor * (1 + w.Amplitude*math.Sin(2*math.Pi*phase))
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	if at+gap > w.Length {
		return
	}
	s.after(gap, func() {
		q := s.newRequest(w.Regions[region].Name)
		if w.Objects > 0 {
			q.object = fmt.Sprintf("%s-%d", q.region, s.rng.IntN(w.Objects))
		}
		s.tally.recordRequest(q)
		s.after(w.Deadline, func() { s.expire(q) })
		s.arriveAtVM(q)
		s.scheduleArrival(region)
	})
}

// arriveAtVM delivers a request to a random VM of its region.
func (s *simulation) arriveAtVM(q *request) {
	if q.done {
		return
	}
	var candidates []*vm
	for _, v := range s.vms {
		if v.region == q.region {
			candidates = append(candidates, v)
		}
	}
	q.vm = candidates[s.rng.IntN(len(candidates))]
	if !s.mayRun(q) {
		s.finish(q, outcomeRefused)
		return
	}
	q.arrivedAt = s.now
	q.attempts = 0
	q.exclude = nil
	s.enqueue(q)
}

func (s *simulation) enqueue(q *request) {
	e := q.vm.pool.Enqueue(&placement.Request{
		Key:      q.object,
		Rule:     &config.Rule{ObjectiveMS: config.Millis(s.workload.Objective.Milliseconds())},
		Exclude:  q.exclude,
		Arrived:  q.arrivedAt,
		Deadline: q.sentAt.Add(s.workload.Deadline),
	}, s.now)
	q.entry = e
	if e.Refused != nil {
		s.handleRefusal(q)
		return
	}
	q.vm.queued[e] = q
	s.serve(q.vm)
}

// serve places or refuses a VM's queued requests. It reschedules itself while requests remain
// queued.
func (s *simulation) serve(v *vm) {
	for _, e := range v.pool.Serve(s.now) {
		q := v.queued[e]
		delete(v.queued, e)
		if e.Selected != nil {
			s.send(q, e)
		} else {
			s.handleRefusal(q)
		}
	}
	if v.serveScheduled || v.pool.QueueLen() == 0 {
		return
	}
	v.serveScheduled = true
	s.after(queueInterval, func() {
		v.serveScheduled = false
		s.serve(v)
	})
}

// handleRefusal schedules the caller's retry, or ends the request if none is left.
func (s *simulation) handleRefusal(q *request) {
	remaining := q.sentAt.Add(s.workload.Deadline).Sub(s.now)
	wait := min(q.entry.Refused.RetryAfter, time.Duration(maxRetryWaitShare*float64(remaining)))
	if q.retries >= maxRetries {
		s.finish(q, outcomeRefused)
		return
	}
	q.retries++
	s.after(wait, func() { s.arriveAtVM(q) })
}

func (s *simulation) delay(from, to string) time.Duration {
	if from == to {
		return s.workload.WithinRegion
	}
	return s.workload.OneWay
}

// send sends a request to the selected target.
func (s *simulation) send(q *request, e queueEntry) {
	q.attempts++
	t := s.targetsByName[e.Selected.Target().Name]
	connectTime := s.connectTime(q.vm, t)
	a := &attempt{req: q, vm: q.vm, target: t, connectTime: connectTime, sentAt: s.now.Add(connectTime), entry: e}
	q.attempt = a
	s.inFlight[a] = true
	s.after(connectTime+s.delay(q.region, t.region), func() { s.arriveAtTarget(a) })
}

// arriveAtTarget delivers a request to its target.
func (s *simulation) arriveAtTarget(a *attempt) {
	if a.done {
		return
	}
	t := a.target
	if t.down {
		s.after(s.delay(t.region, a.req.region), func() { s.handleBrokenConn(a, placement.Result{Failed: true, ConnectionRefused: true}) })
		return
	}
	t.arrivals++
	s.tally.arrivals++
	s.tally.recordArrival(a, s.now)
	switch {
	case t.backoff > 0:
		retryAfter := t.backoff
		s.after(s.delay(t.region, a.req.region), func() { s.deliverBackoff(a, retryAfter) })
	case t.running < t.slots:
		s.startRun(a)
	case len(t.queue) < t.queueLimit:
		t.queue = append(t.queue, a)
	default:
		s.tally.shed++
		s.after(s.delay(t.region, a.req.region), func() { s.deliverShed(a) })
	}
}

// startRun runs a request in a slot of its target.
func (s *simulation) startRun(a *attempt) {
	t := a.target
	t.running++
	a.running = true
	s.tally.recordRun(a, s.now)
	if a.req.crash != nil {
		s.after(crashDelay, func() { s.crashTarget(a) })
		return
	}
	runTime := float64(s.workload.ColdRunTime) * max(0.1, 1+s.workload.RunTimeVariation*s.rng.NormFloat64())
	if t.accessObject(a.req.object) {
		runTime *= s.workload.CachedFactor
	} else {
		s.tally.coldRuns++
	}
	s.after(time.Duration(runTime*t.workFactor*t.slowness), func() { s.finishRun(a) })
}

// percent is the unit of reported work factors.
const percent = 100

// reportedLoad returns the load that a target reports.
func (s *simulation) reportedLoad(t *target) *edge.Load {
	load := &edge.Load{Running: t.running, Waiting: len(t.queue), Slots: t.slots}
	if s.workload.Neighbors.Share > 0 && !s.workload.HideWorkFactor {
		load.WorkPercent = int(percent * t.workFactor)
	}
	return load
}

// disturbTargets periodically chooses the targets that other work slows down.
func (s *simulation) disturbTargets() {
	n := s.workload.Neighbors
	if n.Share == 0 || s.now.Sub(startTime) > s.workload.Length {
		return
	}
	for _, t := range s.targets {
		t.workFactor = 1
		if s.rng.Float64() < n.Share {
			t.workFactor = n.Factor
		}
	}
	s.after(n.Interval, s.disturbTargets)
}

// slowHalf makes every second target slow, beginning with the given one.
func (s *simulation) slowHalf(first int) {
	if s.workload.SlowHalf.Factor == 0 {
		return
	}
	for i, t := range s.targets {
		t.slowness = 1
		if i%2 == first {
			t.slowness = s.workload.SlowHalf.Factor
		}
	}
}

// releaseSlot frees a slot and starts queued requests.
func (s *simulation) releaseSlot(t *target) {
	t.running = max(0, t.running-1)
	for len(t.queue) > 0 && t.running < t.slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if !next.done {
			s.startRun(next)
		}
	}
}

// finishRun ends a run and sends the answer, which carries the target's load.
func (s *simulation) finishRun(a *attempt) {
	if a.done {
		return
	}
	a.done = true
	delete(s.inFlight, a)
	t := a.target
	s.releaseSlot(t)
	load := s.reportedLoad(t)
	leaving := t.leaving
	s.after(s.delay(t.region, a.req.region), func() {
		s.handleAnswer(a, leaving)
		a.vm.connsTo(t.name).release(s.now)
		a.vm.pool.Release(a.entry.Selected, placement.Result{Load: load, Connect: a.connectTime, Latency: s.now.Sub(a.sentAt)}, s.now)
		s.finish(a.req, outcomeAnswered)
		s.serve(a.vm)
	})
}

// deliverShed delivers the refusal of a target whose queue is full.
func (s *simulation) deliverShed(a *attempt) {
	a.done = true
	delete(s.inFlight, a)
	a.vm.connsTo(a.target.name).release(s.now)
	load := s.reportedLoad(a.target)
	a.vm.pool.Release(a.entry.Selected, placement.Result{Load: load, Shed: true}, s.now)
	s.tryNextTarget(a)
}

// tryNextTarget queues a request for another target, or refuses it after maxAttempts.
func (s *simulation) tryNextTarget(a *attempt) {
	q := a.req
	q.attempt = nil
	switch {
	case q.done:
	case q.attempts < maxAttempts:
		q.exclude = append(q.exclude, a.target.name)
		s.enqueue(q)
	default:
		q.entry.Refused = &placement.Refusal{RetryAfter: shedRetryAfter}
		s.handleRefusal(q)
	}
	s.serve(a.vm)
}

// shedRetryAfter is the Retry-After of requests that were not run by any of maxAttempts targets.
const shedRetryAfter = 300 * time.Millisecond

// expire ends a request whose deadline has passed.
func (s *simulation) expire(q *request) {
	if q.done {
		return
	}
	if q.entry != nil && q.vm.pool.Cancel(q.entry) {
		delete(q.vm.queued, q.entry)
	}
	if a := q.attempt; a != nil && !a.done {
		a.done = true
		delete(s.inFlight, a)
		a.vm.connsTo(a.target.name).drop()
		if a.running {
			s.releaseSlot(a.target)
		}
		a.vm.pool.Release(a.entry.Selected, placement.Result{Failed: true}, s.now)
	}
	s.finish(q, outcomeFailed)
}

func (s *simulation) finish(q *request, o outcome) {
	if q.done {
		return
	}
	q.done = true
	s.tally.recordOutcome(q, o, s.now)
}
