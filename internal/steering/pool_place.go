package steering

import "time"

// place chooses a free target for a request, by the policy: in this region,
// or elsewhere while shifting pays. It reports false when there is none.
func (p *Pool) place(r *Request) bool {
	if p.Frozen() {
		return false
	}
	if p.placeShifted(r) {
		return true
	}
	cap, ok := p.capFor(r, p.cfg.Region)
	if !ok {
		return p.placeHome(r)
	}
	t := p.pick(r)
	if t == nil {
		return false
	}
	p.chosen = placement{target: t, cap: cap}
	return true
}

// placeShifted chooses a target elsewhere although this region may have a free
// slot: while the class is being shifted and that pays without a wait here, or
// while traffic would return faster than the cap's step.
func (p *Pool) placeShifted(r *Request) bool {
	for _, rem := range p.remotes {
		if rem.static {
			continue
		}
		cap := p.caps[CapKey{r.CallerRegion, rem.Region}]
		i := p.classIndex(r.Class)
		adv := p.advantage(rem, i, 0)
		on := rem.shift[i].Update(adv, p.band(), p.now) && adv > -p.band()
		if (on || (cap != nil && cap.Owed(p.now))) && p.placeAt(rem, r) {
			return true
		}
	}
	return false
}

// placeHome sends a request that may not be served here to its caller's own
// region.
func (p *Pool) placeHome(r *Request) bool {
	for _, rem := range p.remotes {
		if rem.Region == r.CallerRegion {
			return p.placeAt(rem, r)
		}
	}
	return false
}

// placeElsewhere chooses, of the regions that can take the request now, the
// one with the greatest advantage over waiting here for so long.
func (p *Pool) placeElsewhere(r *Request, wait time.Duration) bool {
	var best placement
	var most time.Duration
	i := p.classIndex(r.Class)
	for _, rem := range p.remotes {
		if rem.static {
			continue
		}
		adv := p.advantage(rem, i, wait)
		on := rem.shift[i].Update(adv, p.band(), p.now) && adv > -p.band()
		if on && (best.target == nil || adv > most) && p.placeAt(rem, r) {
			best, most = p.chosen, adv
		}
	}
	p.chosen = best
	return best.target != nil
}

// advantage compares serving a request of a class at rem with waiting here.
// Headroom counts the more the later the class goes: what can wait moves first.
func (p *Pool) advantage(rem *remote, class int, wait time.Duration) time.Duration {
	if p.solid() == 0 {
		wait = maxWait
	}
	here := Place{Wait: wait, Service: p.service.Mean(), Utilisation: p.utilisation}
	there := Place{OneWay: p.oneWay(rem.Region), Service: rem.service.Mean(), Utilisation: rem.utilisation}
	c := p.cfg.Comparison
	c.HeadroomWeight *= float64(class+1) / float64(len(p.queue.classes))
	return c.Advantage(here, there)
}

func (p *Pool) band() time.Duration {
	return max(p.cfg.Comparison.Band, p.service.Mean()/10)
}

// placeAt chooses a target of another region if credits, cap, link and
// deadline allow it.
func (p *Pool) placeAt(rem *remote, r *Request) bool {
	if p.Frozen() || (!rem.static && !p.now.Before(rem.validUntil)) {
		return false
	}
	if rem.Free() == 0 {
		return false
	}
	cap, ok := p.capFor(r, rem.Region)
	if !ok {
		return false
	}
	link := p.cfg.Links[rem.Region]
	if link == nil || !link.Allows(p.now) {
		return false
	}
	if p.now.Add(2*link.OneWay + rem.service.Mean()).After(r.Deadline) {
		return false
	}
	t := rem.least(r.Zone, r.Exclude, p.rng)
	if t == nil {
		return false
	}
	p.chosen = placement{target: t, remote: rem, cap: cap}
	return true
}

// yields reports whether waiting requests go before r wherever it is placed:
// while this region has no slots, or may not serve r's callers.
func (p *Pool) yields(r *Request) bool {
	_, ok := p.capFor(r, p.cfg.Region)
	return (p.solid() == 0 || !ok) && p.queue.AheadOfRegion(r.Class, r.CallerRegion) > 0
}

// capWait returns how long the shift caps make a request wait behind those of
// its caller's region; 0 when it may be served without a cap.
func (p *Pool) capWait(r *Request) time.Duration {
	home := r.CallerRegion == "" || r.CallerRegion == p.cfg.Region
	if home && p.solid() > 0 {
		return 0
	}
	perSecond := 0.0
	if p.solid() > 0 {
		perSecond += p.capPerSecond(r.CallerRegion, p.cfg.Region)
	}
	for _, rem := range p.remotes {
		if !p.now.Before(rem.validUntil) && !rem.static {
			continue
		}
		if rem.Region == r.CallerRegion {
			return 0
		}
		perSecond += p.capPerSecond(r.CallerRegion, rem.Region)
	}
	return drainTime(p.queue.AheadOfRegion(r.Class, r.CallerRegion)+1, perSecond)
}

func (p *Pool) capPerSecond(from, to string) float64 {
	if c := p.caps[CapKey{from, to}]; c != nil {
		return c.PerSecond(p.now)
	}
	return 0
}

// capFor returns the cap that a request served in region counts against, nil
// when that is no shift; ok is false when the cap is reached or not set.
func (p *Pool) capFor(r *Request, region string) (cap *ShiftCap, ok bool) {
	if r.CallerRegion == region || r.CallerRegion == "" {
		return nil, true
	}
	cap = p.caps[CapKey{r.CallerRegion, region}]
	if cap == nil || !cap.Allows(p.now) {
		return nil, false
	}
	return cap, true
}

// shiftTails moves waiting requests to other regions, the last of each class
// first, while the expected wait here makes that pay.
func (p *Pool) shiftTails() {
	for i := range p.queue.classes {
		name := p.queue.classes[i].spec.Name
		for {
			it := p.queue.Last(name)
			if it == nil || !p.placeElsewhere(it.Request, p.ExpectedWait(name, p.now)) {
				break
			}
			p.queue.Remove(it)
			p.grant(it.Request)
		}
	}
}
