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
	// crashAfter is how long a request runs until it crashes its target, and backAfter
	// how long that is away.
	crashAfter = 80 * time.Millisecond
	backAfter  = 1500 * time.Millisecond
)

// crashing is a request that crashes targets, with what runs of it.
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

// startCrashing lets a request that crashes targets come again and again.
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

// digest identifies a request; those that crash targets are the same each time.
func (q *request) digest() digest.Digest {
	number := q.number
	if q.crashing != nil {
		number = q.crashing.number
	}
	return digest.HeadOf("GET", "", fmt.Sprint(number)).Of(nil)
}

// mayRun asks the VM's ledger. A suspect request runs once at a time.
func (r *run) mayRun(q *request) bool {
	if q.vm.ledger.Len() == 0 {
		return true
	}
	switch q.vm.ledger.Judge(q.digest(), r.now).Verdict {
	case quarantine.Suspect:
		return !r.runs(q.crashing)
	case quarantine.Quarantined:
		return false
	}
	return true
}

// runs reports whether a request that crashes targets is under way.
func (r *run) runs(c *crashing) bool {
	for y := range r.tries {
		if c != nil && y.req.crashing == c {
			return true
		}
	}
	return false
}

// crash ends a target's process with all that runs and waits there.
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
	r.after(backAfter, func() { t.down = false })
}

func contains(list []*try, y *try) bool {
	for _, other := range list {
		if other == y {
			return true
		}
	}
	return false
}

// crashed is the end of a run with its target; its VM sees that a way later.
func (r *run) crashed(y *try) {
	began, ended := y.sent, r.now
	start := quarantine.TargetID(fmt.Sprint(y.target.name, y.target.starts))
	r.after(r.way(y.target.region, y.req.region), func() {
		v, d := y.vm, y.req.digest()
		if v.ledger.Crashed(d, digest.Digest{}, quarantine.Crash{Target: start, Began: began, Ended: ended}, r.now) {
			r.spread(v, d)
		}
		r.broken(y, placement.Result{Failed: true})
	})
}

// spread tells all VMs what one knows of a request.
func (r *run) spread(from *vm, d digest.Digest) {
	report, _ := from.ledger.Report(d, r.now)
	for _, to := range r.vms {
		if to != from {
			r.after(r.way(from.region, to.region), func() { to.ledger.Merge(report, r.now) })
		}
	}
}

// broken ends a try whose target broke it off or could not be reached.
func (r *run) broken(y *try, result placement.Result) {
	if y.over {
		return
	}
	y.over = true
	delete(r.tries, y)
	y.vm.toTarget(y.target.name).drop()
	y.vm.pool.Give(y.place.Placed, result, r.now)
	if r.mayRun(y.req) {
		r.elsewhere(y)
		return
	}
	r.finish(y.req, outcomeFailed)
}

// turnedAway is the arrival of a refusal with the time for which the target wants
// nothing.
func (r *run) turnedAway(y *try, pause time.Duration) {
	if y.over {
		return
	}
	y.over = true
	delete(r.tries, y)
	r.result.away[way{y.vm, y.target}] = r.now.Add(pause)
	y.vm.toTarget(y.target.name).put(r.now)
	y.vm.pool.RecordNotice(y.target.name, admission.Notice{Backoff: pause}, r.now)
	y.vm.pool.Give(y.place.Placed, placement.Result{Shed: true}, r.now)
	r.elsewhere(y)
}

// answered takes in what an answer says besides.
func (r *run) answered(y *try, leaving bool) {
	if leaving {
		y.vm.pool.RecordNotice(y.target.name, admission.Notice{Leaving: true}, r.now)
		if _, ok := r.result.told[way{y.vm, y.target}]; !ok {
			r.result.told[way{y.vm, y.target}] = r.now
		}
	}
	if y.vm.ledger.Len() > 0 && y.vm.ledger.Acquit(y.req.digest(), r.now) {
		r.spread(y.vm, y.req.digest())
	}
}
