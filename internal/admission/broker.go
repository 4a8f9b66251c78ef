package admission

import (
	"time"

	"masticturn/internal/config"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/steering"
	"masticturn/internal/telemetry"
)

// BrokerStep is a step of a broker's term.
type BrokerStep uint8

// The steps of a broker.
const (
	BrokerRecovering BrokerStep = iota // it learns what its predecessor gave out; requests wait
	BrokerServing                      // it gives out slots
)

// String returns the step's name.
func (s BrokerStep) String() string { return [...]string{"recovering", "serving"}[s] }

// SlotStep is a step of one ask at its broker.
type SlotStep uint8

// The steps of an ask at its broker. A refused or returned one is forgotten.
const (
	SlotQueued SlotStep = iota // waits for a slot
	SlotGiven                  // a slot was given
)

// String returns the step's name.
func (s SlotStep) String() string { return [...]string{"queued", "given"}[s] }

// Times of brokers.
const (
	// recoverLongest bounds how long a new broker waits for the inventories of
	// its region's members.
	recoverLongest = time.Second
	// pauseLimit is the gap between two events after which a broker counts
	// itself as paused; it is ticked far more often.
	pauseLimit = 500 * time.Millisecond
	// unexplainedFor is how long after its start a broker that has not heard
	// from all members takes load that it can't explain, but that targets
	// report, for slots of its predecessor.
	unexplainedFor = 3 * time.Second
	// auditAfter is how long a process that holds slots may say nothing before
	// it is asked what it holds.
	auditAfter = 2 * inventoryEvery
	// splitFor is how long a member that fell silent counts as one that may
	// have gone on with a broker of its own.
	splitFor = 3 * time.Second
)

// Times of credits. Demands are sent every demandEvery.
const (
	creditTTL    = time.Second
	creditMargin = 100 * time.Millisecond
	demandEvery  = 200 * time.Millisecond
)

// outMessage is a message that a state machine wants sent.
type outMessage struct {
	To   string
	Kind peer.Kind
	Body any
}

// slot is an ask that waits or holds a slot.
type slot struct {
	request  steering.Request
	step     SlotStep
	item     *steering.Item
	target   string
	shifted  bool
	local    bool   // the target is in this region
	number   uint64 // 0: not given by this broker
	passed   uint64 // number of the pass by which the process took it over; 0: none
	since    time.Time
	deadline time.Time
}

// holder is what a broker knows of a process that asks it.
type holder struct {
	incarnation uint64
	inventory   uint64    // Seq of the last inventory
	heard       time.Time // of the last inventory, or put later to ask again
	given       uint64    // Number of the last slot given
	slots       map[uint64]*slot
	held        int      // slots given
	passes      []uint64 // asks that may take slots over, as told last
	passVersion uint64
	passed      uint64 // slots that the process has passed on, as known
}

// broker gives out the slots of one service in one region. It does no I/O and
// is used under one lock; messages it wants sent are collected.
//
// Property: while one broker serves, a target has no more requests under its
// slots than are usable, from any VM of the region, plus those that its
// granter counts for other regions. With two brokers at a time the excess is
// bounded: a broker that hears half of the region's members or fewer uses the
// same part of the slots.
type broker struct {
	scope     scope
	id        brokerID
	core      *core
	step      BrokerStep
	began     time.Time
	settled   time.Time // not to serve before
	complete  bool      // every member told what it held when the recovery ended
	last      time.Time // of the last event
	members   *membership.View
	awaited   map[string]bool // members whose inventory is awaited
	unheard   map[string]bool // suspected members, whose inventory is not awaited
	solicited time.Time       // last time they were asked for it
	silent    map[string]time.Time
	holders   map[string]*holder
	requests  map[*steering.Request]*slot
	passing   bool // some process may have been allowed to pass slots on
	granter   *steering.Granter
	grantees  map[string]*steering.Grantee
	asked     time.Time // last demands
	snapshot  *config.Snapshot
	out       []outMessage
}

// brokerParams is what a broker is made from.
type brokerParams struct {
	scope    scope
	id       brokerID
	snapshot *config.Snapshot
	members  *membership.View
	targets  *measure.View
	settled  time.Time // not to serve before: the view of a new process may lack members
	now      time.Time
}

func newBroker(p brokerParams) *broker {
	svc := p.snapshot.Service(p.scope.Service)
	cfg := poolConfig(p.snapshot, svc, p.scope.Region, "", steering.PolicyBroker)
	b := &broker{
		scope:    p.scope,
		id:       p.id,
		core:     newCore(p.snapshot, svc, cfg, p.now),
		members:  p.members,
		silent:   make(map[string]time.Time),
		holders:  make(map[string]*holder),
		requests: make(map[*steering.Request]*slot),
		grantees: make(map[string]*steering.Grantee),
		snapshot: p.snapshot,
		settled:  p.settled,
		last:     p.now,
	}
	terms := steering.CreditTerms{TTL: creditTTL, Margin: creditMargin, MaxRun: longestRun(p.snapshot, p.scope.Service)}
	b.granter = steering.NewGranter(terms, 0, p.now)
	b.core.withheld = b.withheld
	b.core.refresh(p.targets, p.now)
	b.begin(p.now)
	return b
}

// begin starts a term: slots are given out once all members have told what
// they hold.
func (b *broker) begin(now time.Time) {
	b.step = BrokerRecovering
	b.began = now
	b.core.note(eventTermBegan)
	b.granter.Recover(creditTTL+creditMargin, now)
	b.core.pool.Freeze(now.Add(recoverLongest))
	b.awaited = make(map[string]bool)
	b.unheard = make(map[string]bool)
	for _, m := range b.members.Members {
		if m.Region != b.scope.Region {
			continue
		}
		switch m.State {
		case membership.Alive, membership.Leaving:
			b.awaited[m.Name] = true
		case membership.Suspect:
			// It is not waited for; what it holds is found by targets' reports.
			b.unheard[m.Name] = true
		}
	}
	b.solicit(now)
}

// solicit asks the members whose inventory is awaited for it.
func (b *broker) solicit(now time.Time) {
	b.solicited = now
	for _, m := range b.members.Members {
		if b.awaited[m.Name] {
			b.askInventory(process{m.Name, m.Incarnation})
		}
	}
}

// askInventory asks a process what it holds of all slots given to it so far;
// answers that are still on their way become void with the inventory.
func (b *broker) askInventory(p process) {
	d := &decision{Scope: b.scope, Broker: b.id, To: p}
	if h := b.holders[p.VM]; h != nil && h.incarnation == p.Incarnation {
		d.Number = h.given
	}
	b.send(p.VM, peer.KindDecision, d)
}

// audit asks processes that hold slots, but have not told so for a while, for
// their inventories: releases and inventories may have been lost.
func (b *broker) audit(now time.Time) {
	for vm, h := range b.holders {
		if len(h.slots) > 0 && now.Sub(h.heard) >= auditAfter {
			h.heard = now.Add(resendEvery - auditAfter)
			b.askInventory(process{vm, h.incarnation})
		}
	}
}

// longestRun returns how long a request of the service runs at most, by its
// classes' and routes' deadlines.
func longestRun(s *config.Snapshot, service string) time.Duration {
	var longest time.Duration
	for _, r := range s.Service(service).Routes {
		if c := s.Class(r.Class); c != nil {
			longest = max(longest, c.TimeoutMS.Duration())
		}
		longest = max(longest, r.TimeoutMS.Duration())
	}
	return longest
}

// event begins each event. A broker that finds itself paused begins a new
// term before it acts.
func (b *broker) event(now time.Time) {
	if now.Sub(b.last) > pauseLimit {
		b.resume(now)
	}
	b.last = now
}

// resume begins a new term after a pause: credits may have expired, and
// another process may have been broker meanwhile.
func (b *broker) resume(now time.Time) {
	b.id.Term++
	b.core.note(eventBrokerPaused)
	for region, g := range b.grantees {
		g.Drop()
		b.core.pool.SetCredits(steering.Credits{Region: region}, b.spec)
	}
	b.begin(now)
}

// tick lets the broker act on the passing of time.
func (b *broker) tick(view *measure.View, now time.Time) {
	b.event(now)
	b.granter.Sweep(now)
	b.freeOver(now)
	if b.step == BrokerRecovering && now.Sub(b.solicited) >= resendEvery {
		b.solicit(now)
	}
	b.audit(now)
	b.checkRecovered(now)
	b.core.tick(view, now)
	if now.Sub(b.asked) >= demandEvery {
		b.asked = now
		b.demand(now)
	}
	b.deliver(now)
}

// serve ends the recovery.
func (b *broker) serve() {
	b.step = BrokerServing
	b.core.note(eventBrokerServes,
		telemetry.Value(fieldComplete, b.complete),
		telemetry.Value(fieldTook, b.last.Sub(b.began).Milliseconds()))
	b.core.pool.Freeze(time.Time{})
	b.core.refreshNow(b.last)
	b.core.pool.Tick(b.last)
}

// setMembers takes a new view of the members in.
func (b *broker) setMembers(v *membership.View, now time.Time) {
	b.event(now)
	for _, old := range b.members.Members {
		if old.Region != b.scope.Region || old.State == membership.Leaving {
			continue
		}
		if _, here := v.Member(old.Name); !here {
			b.silent[old.Name] = now
		}
	}
	b.members = v
	for _, m := range v.Members {
		delete(b.silent, m.Name)
		b.restarted(m, now)
	}
	for name := range b.awaited {
		if _, here := v.Member(name); !here {
			delete(b.awaited, name)
		}
	}
	b.checkRecovered(now)
	b.deliver(now)
}

// restarted frees what an earlier process of a VM held: its connections ended
// with it.
func (b *broker) restarted(m membership.Member, now time.Time) {
	h := b.holders[m.Name]
	if h == nil || m.Incarnation <= h.incarnation {
		return
	}
	b.freeAll(h, now)
	delete(b.holders, m.Name)
}

// checkRecovered serves once all members have told what they hold, or have had
// the time to.
func (b *broker) checkRecovered(now time.Time) {
	if b.step != BrokerRecovering || now.Before(b.settled) {
		return
	}
	b.complete = len(b.awaited) == 0 && len(b.unheard) == 0
	if len(b.awaited) == 0 || now.Sub(b.began) >= recoverLongest {
		b.serve()
	}
}

// withheld returns how many of a target's usable slots are not for this
// region's requests: what other regions hold, what a split may use, and,
// after a change of brokers, load that nobody has explained.
func (b *broker) withheld(t *steering.Target, usable int) int {
	held := b.granter.Held(t.Name)
	kept := usable - b.splitShare(usable)
	if b.step == BrokerServing && !b.complete && b.last.Sub(b.began) < unexplainedFor && b.reportedSince(t) {
		kept = max(kept, t.Reported()-t.InFlight()-held)
	}
	return held + kept
}

// reportedSince reports whether a target's load was measured in this term.
func (b *broker) reportedSince(t *steering.Target) bool {
	return b.core.view.Target(t.Name).MeasuredAt.After(b.began)
}

// splitShare returns this broker's part of a number of slots. Members that
// fell silent a short time ago may be alive with a broker of their own: a
// broker that hears more than half of the region uses all slots, another one
// the part of the members that it hears.
func (b *broker) splitShare(slots int) int {
	// A broker that is leaving is not among the region's members, but serves
	// those who still ask it.
	here := max(len(b.members.InRegion(b.scope.Region)), 1)
	away := 0
	for name, at := range b.silent {
		if b.last.Sub(at) < splitFor {
			away++
			continue
		}
		delete(b.silent, name)
	}
	if here > away {
		return slots
	}
	return slots * here / (here + away)
}
