package steering

import (
	"math"
	"time"
)

// Demand for credits: none below wantFrom of this region's slots in use,
// wantLeast at least above that so that the first shift finds a credit, and
// wantSpare times what is in use.
const (
	wantFrom  = 0.6
	wantSpare = 1.2
	wantLeast = 2
)

// Credits are the slots that another region has granted.
type Credits struct {
	Region      string
	Slots       []TargetSlots
	Until       time.Time
	Utilisation float64 // of the region's slots, as its broker told
}

// SetCredits sets the credits of another region. All other slots of that
// region may not be used. spec finds a target by name.
func (p *Pool) SetCredits(c Credits, spec func(string) (TargetSpec, bool)) {
	rem := p.remoteOf(c.Region)
	rem.validUntil = c.Until
	rem.utilisation = c.Utilisation
	for _, t := range rem.targets {
		rem.setLimit(t, 0)
	}
	for _, s := range c.Slots {
		if t := p.ensure(rem, s.Target, spec); t != nil {
			rem.setLimit(t, s.Slots)
		}
	}
}

func (p *Pool) ensure(rem *remote, name string, spec func(string) (TargetSpec, bool)) *Target {
	if t := rem.byName[name]; t != nil {
		return t
	}
	s, ok := spec(name)
	if !ok {
		return nil
	}
	t := &Target{Name: s.Name, Zone: s.Zone, Region: s.Region, Slots: s.Slots}
	rem.add(t)
	return t
}

// Ensure returns the target of that spec, which is made known with a limit of
// 0 when it is in another region.
func (p *Pool) Ensure(spec TargetSpec) *Target {
	if t := p.Target(spec.Name); t != nil || spec.Region == p.cfg.Region {
		return t
	}
	return p.ensure(p.remoteOf(spec.Region), spec.Name, func(string) (TargetSpec, bool) { return spec, true })
}

// InUse lists the permits that are out for targets of another region.
func (p *Pool) InUse(region string) []TargetSlots {
	var out []TargetSlots
	for _, t := range p.remoteOf(region).targets {
		if t.inFlight > 0 {
			out = append(out, TargetSlots{Target: t.Name, Slots: t.inFlight})
		}
	}
	return out
}

// Want returns how many slots of another region could be used, when so many
// other regions are asked as well: by Little's law what the arrivals beyond
// this region's own capacity take there, what waits, and a few more, within
// the cap.
func (p *Pool) Want(region string, others int, now time.Time) int {
	fraction := p.capTo(region)
	if fraction <= 0 {
		return 0
	}
	rem := p.remoteOf(region)
	if rem.inFlight == 0 && p.queue.Len() == 0 && p.local.Utilisation() < wantFrom {
		return 0
	}
	var arrivals float64
	for i := range p.rates {
		arrivals += p.rates[i].PerSecond(now)
	}
	run := (rem.service.Mean() + 2*p.oneWay(region)).Seconds()
	excess := arrivals - float64(p.solid())/p.service.Mean().Seconds()
	need := (max(0, excess)*run + float64(p.queue.Len())) / float64(max(others, 1))
	need = max(need, wantSpare*float64(rem.inFlight))
	return int(math.Ceil(min(need, arrivals*fraction*run))) + wantLeast
}

func (p *Pool) oneWay(region string) time.Duration {
	if link := p.cfg.Links[region]; link != nil {
		return link.OneWay
	}
	return 0
}

// capTo returns the largest fraction that a cap allows to be shifted to a
// region.
func (p *Pool) capTo(region string) float64 {
	most := 0.0
	for key, c := range p.caps {
		if key.To == region {
			most = max(most, c.limits.MaxFraction)
		}
	}
	return most
}

// Freeze keeps every slot from being given out until then; requests wait.
func (p *Pool) Freeze(until time.Time) { p.frozenUntil = until }

// Frozen reports whether slots are kept from being given out.
func (p *Pool) Frozen() bool { return p.now.Before(p.frozenUntil) }

// Spare lists the free slots of this region's targets that may be granted.
func (p *Pool) Spare(may func(*Target) bool) []TargetSlots {
	var out []TargetSlots
	for _, t := range p.local.targets {
		if n := t.limit - t.inFlight; n > 0 && may(t) {
			out = append(out, TargetSlots{Target: t.Name, Slots: n})
		}
	}
	return out
}

// budgetSpread is how many standard deviations of its own concurrency a region
// keeps free, by the square root rule of queues with many slots.
const budgetSpread = 1

// Budget returns how many slots this region can do without: what is usable,
// less what it uses itself, smoothed, and less the headroom it keeps, which is
// never less than the spread of its own use. held is what counts as used by
// others, which the limits leave out. Only slots that are free are granted,
// whatever the budget.
func (p *Pool) Budget(held int) int {
	usable := float64(p.solid() + held)
	own := p.utilisation * float64(p.solid())
	keep := max(p.cfg.Comparison.HeadroomKeep*usable, budgetSpread*math.Sqrt(own))
	return max(0, int(usable-own-keep)-p.queue.Len())
}

// Changes returns how often the choice whether to shift has changed, over all
// classes and regions.
func (p *Pool) Changes() int {
	n := 0
	for _, r := range p.remotes {
		for i := range r.shift {
			n += r.shift[i].Changes()
		}
	}
	return n
}

// remoteOf returns the pool's view of another region, made when absent.
func (p *Pool) remoteOf(region string) *remote {
	for _, r := range p.remotes {
		if r.Region == region {
			return r
		}
	}
	r := &remote{
		Group:   newGroup(region),
		service: NewServiceTime(p.cfg.ServiceTime),
		shift:   make([]Hysteresis, len(p.cfg.Classes)),
	}
	for i := range r.shift {
		r.shift[i].Hold = shiftHold
	}
	p.remotes = append(p.remotes, r)
	return r
}

func (p *Pool) remoteByGroup(g *Group) *remote {
	for _, r := range p.remotes {
		if r.Group == g {
			return r
		}
	}
	return nil
}
