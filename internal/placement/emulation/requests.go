package emulation

import (
	"fmt"
	"math"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/placement"
)

// nextArrival schedules the next request of a region's callers.
func (r *run) nextArrival(region int) {
	l := r.load
	at := r.now.Sub(start)
	phase := float64(at)/float64(l.Period) + float64(region)/float64(len(l.Regions))
	rate := l.Rate / float64(len(l.Regions)) * r.burst * (1 + l.Swing*math.Sin(2*math.Pi*phase))
	gap := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
	if at+gap > l.Length {
		return
	}
	r.after(gap, func() {
		q := r.newRequest(l.Regions[region].Name)
		q.object = fmt.Sprintf("%s-%d", q.region, r.rng.IntN(l.Objects))
		r.result.ask(q)
		r.after(l.Deadline, func() { r.expire(q) })
		r.arrive(q)
		r.nextArrival(region)
	})
}

// arrive delivers a request to a random VM of its region.
func (r *run) arrive(q *request) {
	if q.decided {
		return
	}
	var near []*vm
	for _, v := range r.vms {
		if v.region == q.region {
			near = append(near, v)
		}
	}
	q.vm = near[r.rng.IntN(len(near))]
	if !r.mayRun(q) {
		r.finish(q, outcomeRefused)
		return
	}
	q.arrived = r.now
	q.tries = 0
	q.exclude = nil
	r.enqueue(q)
}

func (r *run) enqueue(q *request) {
	w := q.vm.pool.Enqueue(&placement.Request{
		Key:      q.object,
		Rule:     &config.Rule{ObjectiveMS: config.Millis(r.load.Objective.Milliseconds())},
		Exclude:  q.exclude,
		Arrived:  q.arrived,
		Deadline: q.asked.Add(r.load.Deadline),
	}, r.now)
	q.waiting = w
	if w.Refused != nil {
		r.refused(q)
		return
	}
	q.vm.waiters[w] = q
	r.serve(q.vm)
}

// serve decides on a VM's waiting requests.
func (r *run) serve(v *vm) {
	for _, w := range v.pool.Serve(r.now) {
		q := v.waiters[w]
		delete(v.waiters, w)
		if w.Selected != nil {
			r.send(q, w)
		} else {
			r.refused(q)
		}
	}
	if v.ticking || v.pool.QueueLen() == 0 {
		return
	}
	v.ticking = true
	r.after(retryInterval, func() {
		v.ticking = false
		r.serve(v)
	})
}

// refused schedules the caller's retry, or ends the request.
func (r *run) refused(q *request) {
	left := q.asked.Add(r.load.Deadline).Sub(r.now)
	wait := min(q.waiting.Refused.RetryAfter, time.Duration(retryShare*float64(left)))
	if q.retries >= maxRetries {
		r.finish(q, outcomeRefused)
		return
	}
	q.retries++
	r.after(wait, func() { r.arrive(q) })
}

func (r *run) delay(from, to string) time.Duration {
	if from == to {
		return r.load.WithinRegion
	}
	return r.load.OneWay
}

// send sends a request to the selected target.
func (r *run) send(q *request, w place) {
	q.tries++
	t := r.byName[w.Selected.Target().Name]
	opening := r.opening(q.vm, t)
	y := &try{req: q, vm: q.vm, target: t, opening: opening, sent: r.now.Add(opening), place: w}
	q.try = y
	r.tries[y] = true
	r.after(opening+r.delay(q.region, t.region), func() { r.reach(y) })
}

// reach delivers a request to its target.
func (r *run) reach(y *try) {
	if y.over {
		return
	}
	t := y.target
	if t.down {
		r.after(r.delay(t.region, y.req.region), func() { r.broken(y, placement.Result{Failed: true, ConnectionRefused: true}) })
		return
	}
	t.arrivals++
	r.result.arrivals++
	r.result.arrive(y, r.now)
	switch {
	case t.backoff > 0:
		retryAfter := t.backoff
		r.after(r.delay(t.region, y.req.region), func() { r.backedOff(y, retryAfter) })
	case t.running < t.slots:
		r.begin(y)
	case len(t.waiting) < t.queueLimit:
		t.waiting = append(t.waiting, y)
	default:
		r.result.shed++
		r.after(r.delay(t.region, y.req.region), func() { r.shed(y) })
	}
}

// begin starts a run at a target.
func (r *run) begin(y *try) {
	t := y.target
	t.running++
	y.running = true
	r.result.run(y, r.now)
	if y.req.crashing != nil {
		r.after(crashAfter, func() { r.crash(y) })
		return
	}
	work := float64(r.load.Work) * max(0.1, 1+r.load.Spread*r.rng.NormFloat64())
	if t.use(y.req.object) {
		work *= r.load.KnownPart
	} else {
		r.result.fresh++
	}
	r.after(time.Duration(work), func() { r.end(y) })
}

// free passes a slot on to the target's queue.
func (r *run) free(t *target) {
	t.running = max(0, t.running-1)
	for len(t.waiting) > 0 && t.running < t.slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.over {
			r.begin(next)
		}
	}
}

// end ends a run; the answer carries the target's load.
func (r *run) end(y *try) {
	if y.over {
		return
	}
	y.over = true
	delete(r.tries, y)
	t := y.target
	r.free(t)
	load := &edge.Load{Running: t.running, Waiting: len(t.waiting), Slots: t.slots}
	leaving := t.leaving
	r.after(r.delay(t.region, y.req.region), func() {
		r.answered(y, leaving)
		y.vm.toTarget(t.name).release(r.now)
		y.vm.pool.Release(y.place.Selected, placement.Result{Load: load, Connect: y.opening, Latency: r.now.Sub(y.sent)}, r.now)
		r.finish(y.req, outcomeAnswered)
		r.serve(y.vm)
	})
}

// shed delivers a target's refusal for lack of room.
func (r *run) shed(y *try) {
	y.over = true
	delete(r.tries, y)
	y.vm.toTarget(y.target.name).release(r.now)
	load := &edge.Load{Running: y.target.running, Waiting: len(y.target.waiting), Slots: y.target.slots}
	y.vm.pool.Release(y.place.Selected, placement.Result{Load: load, Shed: true}, r.now)
	r.elsewhere(y)
}

// elsewhere tries another target, or refuses the request.
func (r *run) elsewhere(y *try) {
	q := y.req
	q.try = nil
	switch {
	case q.decided:
	case q.tries < maxTries:
		q.exclude = append(q.exclude, y.target.name)
		r.enqueue(q)
	default:
		q.waiting.Refused = &placement.Refusal{RetryAfter: shedRetryAfter}
		r.refused(q)
	}
	r.serve(y.vm)
}

// shedRetryAfter is the Retry-After of requests that all tried targets shed.
const shedRetryAfter = 300 * time.Millisecond

// expire ends a request whose deadline has passed.
func (r *run) expire(q *request) {
	if q.decided {
		return
	}
	if q.waiting != nil && q.vm.pool.Cancel(q.waiting) {
		delete(q.vm.waiters, q.waiting)
	}
	if y := q.try; y != nil && !y.over {
		y.over = true
		delete(r.tries, y)
		y.vm.toTarget(y.target.name).drop()
		if y.running {
			r.free(y.target)
		}
		y.vm.pool.Release(y.place.Selected, placement.Result{Failed: true}, r.now)
	}
	r.finish(q, outcomeFailed)
}

func (r *run) finish(q *request, o outcome) {
	if q.decided {
		return
	}
	q.decided = true
	r.result.decide(q, o, r.now)
}
