package steering

import "time"

// Bounds of the advice when to come back.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// noTargetRetryAfter is the advice while no target may be used.
	noTargetRetryAfter = time.Second
)

// expectedFreeze bounds what a freeze adds to the expected wait: most end long
// before they must.
const expectedFreeze = 100 * time.Millisecond

// ExpectedWait returns how long a request of the class that arrives now waits.
func (p *Pool) ExpectedWait(class string, now time.Time) time.Duration {
	frozen := min(max(0, p.frozenUntil.Sub(now)), expectedFreeze)
	wait := p.drain(class, now).ExpectedWait(p.queue.Ahead(class)+1, p.queue.LenClass(class)+1)
	return min(wait, maxWait) + frozen
}

func (p *Pool) drain(class string, now time.Time) DrainEstimate {
	d := DrainEstimate{Slots: p.solid(), ServiceTime: p.service.Mean()}
	if d.Slots == 0 {
		d.Slots, d.ServiceTime = p.creditDrain(now)
	}
	for i, c := range p.queue.classes {
		if c.spec.Name == class {
			d.Share = c.share
			break
		}
		d.HigherRate += p.rates[i].PerSecond(now)
	}
	return d
}

// creditDrain returns the slots that other regions grant and how long a
// request holds one.
func (p *Pool) creditDrain(now time.Time) (slots int, held time.Duration) {
	for _, rem := range p.remotes {
		if !rem.static && now.Before(rem.validUntil) {
			slots += rem.limit
			held = max(held, rem.service.Mean()+2*p.oneWay(rem.Region))
		}
	}
	return slots, held
}

// tooLate reports whether a request with this expected wait would not be
// answered in time.
func (p *Pool) tooLate(r *Request, wait time.Duration) (Reason, bool) {
	if p.solid() == 0 && wait >= maxWait {
		return ReasonNoTarget, true
	}
	c := p.queue.class(r.Class)
	if c.spec.MaxWait > 0 && wait > c.spec.MaxWait {
		return ReasonExpectedWait, true
	}
	left := r.Deadline.Sub(p.now)
	if wait > left-p.service.Mean() {
		return ReasonExpectedWait, true
	}
	return "", false
}

// refuse decides a request with the advice to come back when the queue before
// it has drained.
func (p *Pool) refuse(r *Request, reason Reason) {
	p.decisions = append(p.decisions, Decision{Request: r, Reason: reason, RetryAfter: p.RetryAfter(r)})
}

// RetryAfter returns how long the requests that now go before r take to drain.
func (p *Pool) RetryAfter(r *Request) time.Duration {
	wait := max(p.ExpectedWait(r.Class, p.now), p.capWait(r))
	if wait >= maxWait {
		return noTargetRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// displace refuses waiting requests of the classes after the given one whose
// expected wait has grown beyond what they may wait.
func (p *Pool) displace(class string) {
	for i := len(p.queue.classes) - 1; i >= 0; i-- {
		c := p.queue.classes[i]
		if c.spec.Name == class {
			return
		}
		p.trim(c)
	}
}

// trim refuses the last requests of a class while they would wait too long.
func (p *Pool) trim(c *classQueue) {
	for c.len > 0 && c.spec.MaxWait > 0 {
		d := p.drain(c.spec.Name, p.now)
		wait := d.ExpectedWait(p.queue.Ahead(c.spec.Name), c.len)
		it := p.queue.Last(c.spec.Name)
		left := it.expires.Sub(p.now)
		if wait <= left+trimSlack(c) {
			return
		}
		p.queue.Remove(it)
		p.refuse(it.Request, ReasonDisplaced)
	}
}

// trimSlack keeps the noise of the estimates from refusing what would just
// be in time.
func trimSlack(c *classQueue) time.Duration { return c.spec.MaxWait / 4 }
