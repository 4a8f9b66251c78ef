package admission

import (
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/steering"
)

// ask takes an ask in. One that is known already is answered again when it
// was given a slot, since the answer may have been lost.
func (b *broker) ask(a *ask, now time.Time) {
	b.event(now)
	h := b.holder(a.From, now)
	if h == nil {
		return
	}
	if s := h.slots[a.Seq]; s != nil {
		if s.step == SlotGiven {
			b.sendDecision(h, s)
		}
		return
	}
	deadline := now.Add(a.Left)
	s := &slot{deadline: deadline, request: steering.Request{
		Key:          steering.Key{Holder: a.From.VM, Incarnation: a.From.Incarnation, Seq: a.Seq},
		Class:        a.Class,
		Tenant:       a.Tenant,
		CallerRegion: a.CallerRegion,
		Zone:         a.Zone,
		Bytes:        a.Bytes,
		Deadline:     deadline,
		Exclude:      a.Exclude,
		Retry:        a.Retry,
	}}
	h.slots[a.Seq] = s
	b.requests[&s.request] = s
	s.item = b.core.pool.Arrive(&s.request, now)
	b.deliver(now)
}

// holder returns what is known of a process, nil for one that has been
// replaced by a later process of its VM.
func (b *broker) holder(p process, now time.Time) *holder {
	if m, here := b.members.Member(p.VM); here && p.Incarnation < m.Incarnation {
		return nil
	}
	h := b.holders[p.VM]
	if h != nil && p.Incarnation < h.incarnation {
		return nil
	}
	if h != nil && p.Incarnation > h.incarnation {
		b.freeAll(h, now)
		h = nil
	}
	if h == nil {
		h = &holder{incarnation: p.Incarnation, heard: now, slots: make(map[uint64]*slot)}
		b.holders[p.VM] = h
	}
	return h
}

// release takes a slot, or a waiting ask, back.
func (b *broker) release(r *release, now time.Time) {
	b.event(now)
	h := b.holders[r.From.VM]
	if h == nil || h.incarnation != r.From.Incarnation {
		return
	}
	if b.missedPass(h, r) {
		b.askInventory(r.From)
		return
	}
	if r.Next.Seq != 0 {
		b.pass(h, r, now)
		return
	}
	s := h.slots[r.Seq]
	if s == nil {
		return
	}
	result := r.Result.result()
	if r.Unused {
		result = unusedResult
	}
	b.free(h, r.Seq, s, result, now)
	b.deliver(now)
}

// unusedResult says nothing about the target.
var unusedResult = Result{Canceled: true, InFlight: -1}

// free forgets an ask and gives its slot back. What the slot makes possible is
// delivered before anything else is freed.
func (b *broker) free(h *holder, seq uint64, s *slot, r Result, now time.Time) {
	delete(h.slots, seq)
	delete(b.requests, &s.request)
	if s.step == SlotQueued {
		b.core.pool.Cancel(s.item, now)
		return
	}
	h.held--
	b.core.release(s.target, s.request.Key.Holder, now.Sub(s.since), r, now)
	b.deliver(now)
}

func (b *broker) freeAll(h *holder, now time.Time) {
	for seq, s := range h.slots {
		b.free(h, seq, s, unusedResult, now)
	}
}

// overdueAfter is how long after its request's deadline a slot counts as free
// though its holder, a member, has not given it back: the way of the messages
// and the holder's own clock are covered by it.
const overdueAfter = time.Second

// freeOver frees the slots that cannot be in use any more: those of processes
// that are not members, each when its request's deadline has passed, as a
// process that is cut off may still run it until then; and those of members
// some time later, as a member that cannot be heard here gives nothing back.
func (b *broker) freeOver(now time.Time) {
	for vm, h := range b.holders {
		m, here := b.members.Member(vm)
		here = here && m.State != membership.Gone
		for seq, s := range h.slots {
			if s.over(here, now) {
				b.free(h, seq, s, unusedResult, now)
			}
		}
		if !here && len(h.slots) == 0 {
			delete(b.holders, vm)
		}
	}
}

// over reports whether the slot cannot be in use any more; here tells whether
// its holder is a member.
func (s *slot) over(here bool, now time.Time) bool {
	if here {
		return now.Sub(s.deadline) >= overdueAfter
	}
	return s.step == SlotQueued || !now.Before(s.deadline)
}

// inventory takes in what a process holds: unknown slots are counted, and
// slots that were seen but are not listed are free.
func (b *broker) inventory(inv *inventory, now time.Time) {
	b.event(now)
	h := b.holder(inv.From, now)
	if h == nil || inv.Seq <= h.inventory {
		return
	}
	h.inventory = inv.Seq
	h.heard = now
	h.passed = max(h.passed, inv.Passed)
	listed := make(map[uint64]bool, len(inv.Held))
	for _, held := range inv.Held {
		listed[held.Seq] = true
		b.restore(h, inv.From, held, now)
	}
	number := uint64(0)
	if inv.Broker == b.id {
		// Only now is it sure that answers of earlier terms are void.
		number = inv.Number
		delete(b.awaited, inv.From.VM)
		delete(b.unheard, inv.From.VM)
	}
	for seq, s := range h.slots {
		if s.step == SlotGiven && !listed[seq] && s.number <= number && s.passed <= inv.Passed {
			b.free(h, seq, s, unusedResult, now)
		}
	}
	b.checkRecovered(now)
	b.deliver(now)
}

// restore counts a slot that a predecessor gave out. An ask of the same number
// may have reached this broker as well; it is forgotten.
func (b *broker) restore(h *holder, from process, held heldSlot, now time.Time) {
	if s := h.slots[held.Seq]; s != nil {
		if s.step == SlotGiven && s.target == held.Target {
			return
		}
		b.free(h, held.Seq, s, unusedResult, now)
	}
	spec, ok := b.spec(held.Target)
	if !ok {
		return
	}
	t := b.core.pool.Ensure(spec)
	if t == nil {
		return
	}
	b.core.pool.Restore(t)
	h.held++
	h.slots[held.Seq] = &slot{
		request:  steering.Request{Key: steering.Key{Holder: from.VM, Incarnation: from.Incarnation, Seq: held.Seq}},
		step:     SlotGiven,
		target:   held.Target,
		since:    now,
		deadline: now.Add(held.Left),
	}
}

// deliver turns the pool's decisions into answers.
func (b *broker) deliver(now time.Time) {
	for _, d := range b.core.pool.TakeDecisions() {
		s := b.requests[d.Request]
		if s == nil {
			continue
		}
		delete(b.requests, d.Request)
		h := b.holders[d.Request.Key.Holder]
		if d.Target == nil {
			delete(h.slots, d.Request.Key.Seq)
			b.sendRefusal(d)
			continue
		}
		h.given++
		h.held++
		s.step = SlotGiven
		s.number = h.given
		s.target = d.Target.Name
		s.shifted = d.Shifted
		s.local = d.Target.Region == b.scope.Region
		s.since = now
		b.sendDecision(h, s)
	}
	b.updatePasses()
}

func (b *broker) sendDecision(h *holder, s *slot) {
	b.send(s.request.Key.Holder, peer.KindDecision, &decision{
		Scope:   b.scope,
		Broker:  b.id,
		To:      process{s.request.Key.Holder, h.incarnation},
		Seq:     s.request.Key.Seq,
		Number:  s.number,
		Target:  s.target,
		Shifted: s.shifted,
		Local:   s.local,
	})
}

func (b *broker) sendRefusal(d steering.Decision) {
	key := d.Request.Key
	b.send(key.Holder, peer.KindDecision, &decision{
		Scope:      b.scope,
		Broker:     b.id,
		To:         process{key.Holder, key.Incarnation},
		Seq:        key.Seq,
		RetryAfter: d.RetryAfter,
		Reason:     d.Reason,
	})
}

func (b *broker) send(to string, kind peer.Kind, body any) {
	b.out = append(b.out, outMessage{To: to, Kind: kind, Body: body})
}

// takeOut returns the messages to be sent.
func (b *broker) takeOut() []outMessage {
	out := b.out
	b.out = nil
	return out
}

// spec finds a target of the service in any region.
func (b *broker) spec(name string) (steering.TargetSpec, bool) {
	t := b.core.targets[name]
	if t == nil {
		return steering.TargetSpec{}, false
	}
	return steering.TargetSpec{Name: t.Name, Zone: t.Zone, Region: t.Region, Slots: t.Slots}, true
}

// toWire keeps what brokers use of a result.
func toWire(r Result) wireResult {
	return wireResult{
		Outcome:    r.Outcome,
		Step:       r.Step,
		Latency:    r.Latency,
		Status:     r.Status,
		ShedByPeer: r.ShedByPeer,
		Draining:   r.Draining,
		InFlight:   r.InFlight,
		Canceled:   r.Canceled,
		Backoff:    r.Backoff,
	}
}

func (r wireResult) result() Result {
	return Result{
		Outcome:    r.Outcome,
		Step:       r.Step,
		Latency:    r.Latency,
		Status:     r.Status,
		ShedByPeer: r.ShedByPeer,
		Draining:   r.Draining,
		InFlight:   r.InFlight,
		Canceled:   r.Canceled,
		Backoff:    r.Backoff,
	}
}
