package steering

import "time"

// TargetSlots is a number of slots at a target.
type TargetSlots struct {
	Target string
	Slots  int
}

// Demand asks a region for credits. It is sent again and again while credits
// are wanted or held, and tells each time what is in use.
type Demand struct {
	VM          string // the asking process
	Incarnation uint64
	Seq         uint64        // rises with each demand of the process
	Want        int           // slots that could be used
	Seen        uint64        // highest Seq whose grant was adopted; 0: none
	Live        bool          // the grant of Seen has not expired yet
	InUse       []TargetSlots // requests that run at the region's targets
}

// Grant answers a demand: slots that may be used until TTL after the demand
// was sent. It replaces every grant of a lower Seq.
type Grant struct {
	VM    string // the process that is granted to
	Seq   uint64 // of the demand
	Slots []TargetSlots
	TTL   time.Duration
	// Utilisation of the granting region's slots, for comparisons.
	Utilisation float64
}

// CreditTerms holds the times of credits, the same for both sides.
type CreditTerms struct {
	TTL    time.Duration // validity, from the sending of the demand
	Margin time.Duration // added by the granter for clocks of different speed
	MaxRun time.Duration // longest run of a request, its deadline at the latest
}

// Granter accounts for what this process has granted to other regions.
//
// Property: for each target and grantee process, the requests that the
// grantee runs there are at no time more than Held counts. It holds for lost,
// delayed, doubled and reordered messages, for a grantee that restarts, and
// for one that pauses, as long as a grantee starts no request after its own
// expiry and ends each one within MaxRun.
//
// The reason: the grantee starts a request only while it runs fewer than the
// slots of the one grant it acts on, and the Seq of that grant never falls. So
// it never runs more than the larger of what it reported in use and any grant
// of that Seq or later; earlier ones are forgotten only then, or when they
// have expired and MaxRun has passed.
type Granter struct {
	terms    CreditTerms
	ready    time.Time // nothing is granted before
	grantees map[granteeKey]*grantee
	held     map[string]int
}

type granteeKey struct {
	vm          string
	incarnation uint64
}

type grantee struct {
	seq        uint64 // of the last demand
	grants     []outstanding
	inUse      []TargetSlots
	inUseUntil time.Time
}

// outstanding is a grant that may be in use.
type outstanding struct {
	seq   uint64
	slots []TargetSlots
	until time.Time // no request of it runs any more
}

// NewGranter returns a granter that knows of no grants. It grants nothing for
// recovery, during which grants of a predecessor run out.
func NewGranter(terms CreditTerms, recovery time.Duration, now time.Time) *Granter {
	return &Granter{
		terms:    terms,
		ready:    now.Add(recovery),
		grantees: make(map[granteeKey]*grantee),
		held:     make(map[string]int),
	}
}

// Recovering reports whether a predecessor's grants may still be in use.
func (g *Granter) Recovering(now time.Time) bool { return now.Before(g.ready) }

// Recover grants nothing for recovery from now on, as after a pause in which
// another process may have granted.
func (g *Granter) Recover(recovery time.Duration, now time.Time) { g.ready = now.Add(recovery) }

// Held returns how many slots of a target count as used by other regions, as
// of the last Demand or Sweep.
func (g *Granter) Held(target string) int { return g.held[target] }

// HeldSlots returns the slots of all targets that count as used by others.
func (g *Granter) HeldSlots() int {
	n := 0
	for _, slots := range g.held {
		n += slots
	}
	return n
}

// HeldBy returns the slots that count as used by one process.
func (g *Granter) HeldBy(vm string, incarnation uint64) int {
	e := g.grantees[granteeKey{vm, incarnation}]
	if e == nil {
		return 0
	}
	n := 0
	for _, slots := range e.bound() {
		n += slots
	}
	return n
}

// Sweep forgets what has surely ended.
func (g *Granter) Sweep(now time.Time) {
	for key, e := range g.grantees {
		e.expire(now)
		if len(e.grants) == 0 && len(e.inUse) == 0 {
			delete(g.grantees, key)
		}
	}
	g.count()
}

// Demand takes a demand in and answers it with a grant of at most budget
// slots. spare lists slots that are free beyond everything held. ok is false
// for a demand that is older than one already taken in; it is not answered.
func (g *Granter) Demand(d Demand, spare []TargetSlots, budget int, now time.Time) (grant Grant, ok bool) {
	e := g.grantee(granteeKey{d.VM, d.Incarnation})
	if d.Seq <= e.seq {
		return Grant{}, false
	}
	e.update(d, now.Add(g.terms.MaxRun+g.terms.Margin))
	e.expire(now)
	grant = Grant{VM: d.VM, Seq: d.Seq, TTL: g.terms.TTL}
	if !g.Recovering(now) {
		grant.Slots = e.allot(min(d.Want, budget), spare)
	}
	if len(grant.Slots) > 0 {
		until := now.Add(g.terms.TTL + g.terms.MaxRun + g.terms.Margin)
		e.grants = append(e.grants, outstanding{seq: d.Seq, slots: grant.Slots, until: until})
	}
	g.count()
	return grant, true
}

func (g *Granter) grantee(key granteeKey) *grantee {
	e := g.grantees[key]
	if e == nil {
		e = &grantee{}
		g.grantees[key] = e
	}
	return e
}

func (g *Granter) count() {
	clear(g.held)
	for _, e := range g.grantees {
		for target, n := range e.bound() {
			g.held[target] += n
		}
	}
}

// update takes in what the grantee says about the grants it acts on.
func (e *grantee) update(d Demand, inUseUntil time.Time) {
	e.seq = d.Seq
	e.inUse = d.InUse
	e.inUseUntil = inUseUntil
	kept := e.grants[:0]
	for _, o := range e.grants {
		if o.seq > d.Seen || (o.seq == d.Seen && d.Live) {
			kept = append(kept, o)
		}
	}
	e.grants = kept
}

func (e *grantee) expire(now time.Time) {
	kept := e.grants[:0]
	for _, o := range e.grants {
		if now.Before(o.until) {
			kept = append(kept, o)
		}
	}
	e.grants = kept
	if !now.Before(e.inUseUntil) {
		e.inUse = nil
	}
}

// bound returns by target the most requests that the grantee may run.
func (e *grantee) bound() map[string]int {
	most := make(map[string]int)
	raise(most, e.inUse)
	for _, o := range e.grants {
		raise(most, o.slots)
	}
	return most
}

func raise(most map[string]int, slots []TargetSlots) {
	for _, s := range slots {
		most[s.Target] = max(most[s.Target], s.Slots)
	}
}

// allot chooses up to want slots: those that count as the grantee's anyway go
// first, then spare ones, one of each target in turn.
func (e *grantee) allot(want int, spare []TargetSlots) []TargetSlots {
	bound := e.bound()
	chosen := newSlotSet()
	for _, s := range e.latest() {
		n := max(0, min(s.Slots, bound[s.Target], want-chosen.total))
		chosen.add(s.Target, n)
		bound[s.Target] -= n
	}
	for _, s := range sortedSlots(bound) {
		chosen.add(s.Target, min(s.Slots, want-chosen.total))
	}
	for more := true; more && chosen.total < want; {
		more = false
		for i := range spare {
			if spare[i].Slots <= 0 || chosen.total >= want {
				continue
			}
			chosen.add(spare[i].Target, 1)
			spare[i].Slots--
			more = true
		}
	}
	return chosen.slots
}

// latest returns the slots of the latest grant.
func (e *grantee) latest() []TargetSlots {
	if len(e.grants) == 0 {
		return nil
	}
	return e.grants[len(e.grants)-1].slots
}
