package emulation

import (
	"fmt"
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/digest"
	"masticturn/internal/placement"
	"masticturn/internal/quarantine"
)

const (
	// crashAfter is the run time until a request crashes its target, and restartAfter how
	// long that is down.
	crashAfter   = 80 * time.Millisecond
	restartAfter = 1500 * time.Millisecond
)

// crashing is a request that crashes targets.
type crashing struct {
	Crashing
	number int
}

func (r *run) newRequest(region string) *request {
	r.asked++
	return &request{region: region, asked: r.now, number: r.asked}
}

// each calls do for some targets of a region.
func (r *run) each(e Event, do func(*target)) {
	n := 0
	for _, t := range r.targets {
		if t.region == e.Region && !t.gone && n < e.Count {
			do(t)
			n++
		}
	}
}

// startCrashing schedules a request that crashes targets.
func (r *run) startCrashing(c *crashing) {
	r.asked++
	c.number = r.asked
	for at := c.At; at < c.At+c.Length; at += c.Every {
		r.after(at, func() {
			q := r.newRequest(r.load.Regions[r.rng.IntN(len(r.load.Regions))].Name)
			q.crashing = c
			q.object = fmt.Sprintf("%s-crash-%d", q.region, c.number)
			r.after(r.load.Deadline, func() { r.expire(q) })
			r.arrive(q)
		})
	}
}

// digest identifies a request. Repetitions of a crashing one have the same digest.
func (q *request) digest() digest.Digest {
	number := q.number
	if q.crashing != nil {
		number = q.crashing.number
	}
	return digest.HeadOf("GET", "", fmt.Sprint(number)).Sum(nil)
}

// mayRun applies the VM's ledger. A suspect request runs once at a time.
func (r *run) mayRun(q *request) bool {
	if q.vm.ledger.Len() == 0 {
		return true
	}
	switch q.vm.ledger.Assess(q.digest(), r.now).Verdict {
	case quarantine.Suspect:
		return !r.runs(q.crashing)
	case quarantine.Quarantined:
		return false
	}
	return true
}

// runs reports whether a crashing request is in flight.
func (r *run) runs(c *crashing) bool {
	for y := range r.tries {
		if c != nil && y.req.crashing == c {
			return true
		}
	}
	return false
}

// crash ends a target's process with all its requests.
func (r *run) crash(y *try) {
	t := y.target
	if y.over || t.down {
		return
	}
	r.result.lost++
	t.down = true
	t.starts++
	for other := range r.tries {
		if other.target == t && (other.running || contains(t.waiting, other)) {
			r.crashed(other)
		}
	}
	t.running, t.waiting = 0, nil
	t.forget()
	r.after(restartAfter, func() { t.down = false })
}

func contains(list []*try, y *try) bool {
	for _, other := range list {
		if other == y {
			return true
		}
	}
	return false
}

// crashed ends a run with its target. Its VM sees the closed connection one delay later.
func (r *run) crashed(y *try) {
	began, ended := y.sent, r.now
	start := quarantine.TargetID(fmt.Sprint(y.target.name, y.target.starts))
	r.after(r.delay(y.target.region, y.req.region), func() {
		v, d := y.vm, y.req.digest()
		if v.ledger.Crashed(d, digest.Digest{}, quarantine.Crash{Target: start, Began: began, Ended: ended}, r.now) {
			r.spread(v, d)
		}
		r.broken(y, placement.Result{Failed: true})
	})
}

// spread sends a VM's record of a request to all others.
func (r *run) spread(from *vm, d digest.Digest) {
	report, _ := from.ledger.Report(d, r.now)
	for _, to := range r.vms {
		if to != from {
			r.after(r.delay(from.region, to.region), func() { to.ledger.Merge(report, r.now) })
		}
	}
}

// broken ends a try whose connection broke or was refused.
func (r *run) broken(y *try, result placement.Result) {
	if y.over {
		return
	}
	y.over = true
	delete(r.tries, y)
	y.vm.toTarget(y.target.name).drop()
	y.vm.pool.Release(y.place.Selected, result, r.now)
	if r.mayRun(y.req) {
		r.elsewhere(y)
		return
	}
	r.finish(y.req, outcomeFailed)
}

// backedOff delivers a refusal with Retry-After.
func (r *run) backedOff(y *try, retryAfter time.Duration) {
	if y.over {
		return
	}
	y.over = true
	delete(r.tries, y)
	r.result.backoffUntil[path{y.vm, y.target}] = r.now.Add(retryAfter)
	y.vm.toTarget(y.target.name).release(r.now)
	y.vm.pool.RecordNotice(y.target.name, admission.Notice{Backoff: retryAfter}, r.now)
	y.vm.pool.Release(y.place.Selected, placement.Result{Shed: true}, r.now)
	r.elsewhere(y)
}

// answered applies what an answer announces.
func (r *run) answered(y *try, leaving bool) {
	if leaving {
		y.vm.pool.RecordNotice(y.target.name, admission.Notice{Leaving: true}, r.now)
		if _, ok := r.result.leavingSince[path{y.vm, y.target}]; !ok {
			r.result.leavingSince[path{y.vm, y.target}] = r.now
		}
	}
	if y.vm.ledger.Len() > 0 && y.vm.ledger.Clear(y.req.digest(), r.now) {
		r.spread(y.vm, y.req.digest())
	}
}
