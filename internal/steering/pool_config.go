package steering

import "time"

// Reconfigure returns a pool for a new document that goes on where p stopped:
// permits that are out stay counted, caps keep what they counted, and waiting
// requests keep waiting. p must not be used afterwards. The requests in
// requeued have new items, in the same order.
func (p *Pool) Reconfigure(cfg PoolConfig, now time.Time) (next *Pool, requeued []*Item) {
	next = NewPool(cfg, now)
	next.service = p.service
	next.decisions = p.decisions
	next.frozenUntil = p.frozenUntil
	next.utilisation, next.smoothed = p.utilisation, p.smoothed
	for key, c := range p.caps {
		if limits, ok := cfg.Caps[key]; ok {
			next.caps[key] = c.withLimits(limits, now)
		}
	}
	next.takeGroup(p.local)
	for _, r := range p.remotes {
		next.takeRemote(r)
	}
	for it := p.queue.Pop(acceptAll); it != nil; it = p.queue.Pop(acceptAll) {
		n := next.queue.Push(it.Request, it.Enqueued)
		requeued = append(requeued, n)
	}
	return next, requeued
}

func acceptAll(*Request) bool { return true }

// takeGroup carries permits and limits over to the targets that still exist.
func (p *Pool) takeGroup(old *Group) {
	for _, t := range old.targets {
		n := p.Target(t.Name)
		if n == nil {
			continue
		}
		n.group.setLimit(n, min(t.limit, n.Slots))
		n.group.setInFlight(n, t.inFlight)
	}
}

// takeRemote carries the credits of another region over.
func (p *Pool) takeRemote(old *remote) {
	r := p.remoteOf(old.Region)
	r.validUntil = old.validUntil
	r.service = old.service
	r.utilisation = old.utilisation
	for _, t := range old.targets {
		if r.byName[t.Name] == nil && !old.static {
			r.add(&Target{Name: t.Name, Zone: t.Zone, Region: t.Region, Slots: t.Slots})
		}
	}
	p.takeGroup(old.Group)
}

// withLimits returns a cap with new limits. What was counted stays when the
// length of the window does; otherwise nothing has been counted.
func (c *ShiftCap) withLimits(limits CapLimits, now time.Time) *ShiftCap {
	if limits.Window != c.limits.Window {
		return NewShiftCap(limits, now)
	}
	c.limits = limits
	c.plan()
	return c
}
