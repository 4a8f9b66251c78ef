package admission

import (
	"slices"
	"time"

	"masticturn/internal/peer"
	"masticturn/internal/steering"
)

// Passing a slot on saves the way to the broker and back between two requests
// of one process, during which the slot would be idle.
const (
	// passDepth is how many of the requests that go next may be out of order
	// for it.
	passDepth = 48
	// passPart is how many slots of a process there are for each ask that it
	// may pass a slot on to.
	passPart = 2
)

// updatePasses tells processes which of their asks may take over slots: those
// of the class that goes next, among the first passDepth. A process is told
// anew when it may not use what it was told any more, or has used up half.
func (b *broker) updatePasses() {
	if b.step != BrokerServing || (b.core.pool.Waiting() == 0 && !b.passing) {
		return
	}
	b.passing = b.core.pool.Waiting() > 0
	next := make(map[string][]uint64)
	b.core.pool.Next(passDepth, func(r *steering.Request) bool {
		if r.CallerRegion == "" || r.CallerRegion == b.scope.Region {
			next[r.Key.Holder] = append(next[r.Key.Holder], r.Key.Seq)
		}
		return true
	})
	for vm, h := range b.holders {
		wanted := next[vm]
		wanted = wanted[:min(len(wanted), (h.held+passPart-1)/passPart)]
		if passesHold(h.passes, wanted) {
			continue
		}
		h.passes = wanted
		h.passVersion++
		b.send(vm, peer.KindPass, &passList{
			Scope:   b.scope,
			Broker:  b.id,
			To:      process{vm, h.incarnation},
			Version: h.passVersion,
			Seqs:    wanted,
		})
	}
}

// passesHold reports whether what was told may stay: nothing in it has lost
// its turn to another class, and half of what is wanted is in it.
func passesHold(told, wanted []uint64) bool {
	if len(wanted) == 0 {
		return len(told) == 0
	}
	both := 0
	for _, seq := range wanted {
		if slices.Contains(told, seq) {
			both++
		}
	}
	return 2*both >= len(wanted)
}

// missedPass reports whether a slot was passed on that this broker has not
// been told of: the slot that r gives back may be that one. It notes the pass
// that r tells of.
func (b *broker) missedPass(h *holder, r *release) bool {
	known := h.passed
	if r.Next.Seq != 0 {
		known++
	}
	if r.Passed > known {
		return true
	}
	h.passed = max(h.passed, r.Passed)
	return false
}

// pass counts that an ask has taken over the slot of another one of its
// process.
func (b *broker) pass(h *holder, r *release, now time.Time) {
	x := h.slots[r.Seq]
	if x == nil || x.step != SlotGiven || x.target != r.Next.Target {
		b.restore(h, r.From, r.Next, now)
		b.deliver(now)
		return
	}
	t := b.core.pool.Target(x.target)
	y := h.slots[r.Next.Seq]
	var item *steering.Item
	if y != nil && y.step == SlotQueued {
		item = y.item
		delete(b.requests, &y.request)
	}
	if y != nil && y.step == SlotGiven {
		b.free(h, r.Next.Seq, y, unusedResult, now)
	}
	delete(h.slots, r.Seq)
	b.core.learn(t, r.From.VM, r.Result.result(), now)
	b.core.pool.Pass(t, item, now.Sub(x.since), now)
	h.slots[r.Next.Seq] = &slot{
		request:  steering.Request{Key: steering.Key{Holder: r.From.VM, Incarnation: r.From.Incarnation, Seq: r.Next.Seq}},
		step:     SlotGiven,
		target:   x.target,
		passed:   r.Passed,
		since:    now,
		deadline: now.Add(r.Next.Left),
	}
	b.deliver(now)
}
