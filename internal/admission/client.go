package admission

import (
	"cmp"
	"slices"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/steering"
)

// AskStep is a step of a request's slot at the process that needs it.
type AskStep uint8

// The steps of an ask at its process.
const (
	AskSent  AskStep = iota // the broker has been asked
	AskHeld                 // a slot is held
	AskEnded                // given back, taken back or refused
)

// String returns the step's name.
func (s AskStep) String() string { return [...]string{"sent", "held", "ended"}[s] }

// Times of clients.
const (
	// resendEvery is how long an ask waits for its answer before it is sent
	// again with the same number.
	resendEvery = 100 * time.Millisecond
	// inventoryEvery is the time between inventories while anything is held
	// or has changed.
	inventoryEvery = 500 * time.Millisecond
	// silentRetryAfter is the advice when no broker answered in time.
	silentRetryAfter = time.Second
)

// reasonSilent is the reason of a refusal when no broker answered.
const reasonSilent steering.Reason = "the region's broker did not answer in time"

// call is a request's ask, from the request's side.
type call struct {
	step     AskStep
	ask      ask
	deadline time.Time
	giveUp   time.Time // deadline or the class's longest wait
	sent     time.Time
	target   string
	shifted  bool
	local    bool          // the target is in the broker's region
	refused  decision      // when ended without a slot
	done     chan struct{} // closed when a slot is held or refused
	pauses   uint64        // of the process when it asked
}

// client asks the broker of one scope for slots, for one process. It does no
// I/O and is used under one lock; messages it wants sent are collected.
//
// Property: a slot that a broker gave is held by one request or given back; an
// answer that comes late, twice, or from a broker that is not asked any more
// is given back or is known to be void.
type client struct {
	scope   scope
	self    process
	broker  string // VM that is asked
	calls   map[uint64]*call
	seq     uint64
	id      brokerID // term of the last answer
	seen    uint64   // highest Number of that term
	told    uint64   // seen, as told by the last inventory
	passes  []uint64 // asks that may take over slots, by the broker's last list
	passAt  uint64   // version of that list
	passed  uint64   // slots passed on so far
	run     int      // of them, since one was given back
	invSeq  uint64
	invSent time.Time
	changed bool // since the last inventory
	out     []outMessage
}

func newClient(s scope, self process) *client {
	return &client{scope: s, self: self, calls: make(map[uint64]*call)}
}

// acquire asks for a slot.
func (c *client) acquire(k *call, now time.Time) {
	c.number(k)
	c.send(k, now)
}

func (c *client) number(k *call) {
	c.seq++
	k.ask.Scope = c.scope
	k.ask.From = c.self
	k.ask.Seq = c.seq
	c.calls[c.seq] = k
	c.changed = true
}

func (c *client) send(k *call, now time.Time) {
	k.sent = now
	a := k.ask
	a.Left = k.deadline.Sub(now)
	c.post(c.broker, peer.KindPermit, &a)
}

func (c *client) post(to string, kind peer.Kind, body any) {
	if to != "" {
		c.out = append(c.out, outMessage{To: to, Kind: kind, Body: body})
	}
}

// decided takes an answer in.
func (c *client) decided(d *decision, now time.Time) {
	if d.To != c.self {
		return
	}
	void := c.note(d)
	if d.Seq == 0 {
		c.tell(d, now)
		return
	}
	k := c.calls[d.Seq]
	switch {
	case k != nil && k.step == AskHeld:
		return
	case k == nil || d.Broker.VM != c.broker:
		c.giveBack(d)
		return
	case d.Target == "":
		c.end(d.Seq, k, *d)
	case !void:
		k.step = AskHeld
		k.target = d.Target
		k.shifted = d.Shifted
		k.local = d.Local
		close(k.done)
	}
}

// tell answers a broker that asks for an inventory. One that this process does
// not regard as broker is not told, lest it serve beside another one.
func (c *client) tell(d *decision, now time.Time) {
	if d.Broker.VM == c.broker {
		c.inventory(now)
	}
}

// note takes the answer's number in. It reports whether the answer is void: an
// inventory has already told that the slot is not held, or the answer is of an
// earlier term than one that was told what is held.
func (c *client) note(d *decision) bool {
	if d.Broker != c.id {
		if d.Broker.before(c.id) {
			return true
		}
		c.id = d.Broker
		c.seen, c.told = 0, 0
		c.passes, c.passAt = nil, 0
	}
	c.changed = true
	c.seen = max(c.seen, d.Number)
	return d.Number <= c.told
}

// giveBack returns a slot that no request waits for.
func (c *client) giveBack(d *decision) {
	if d.Target != "" {
		c.post(d.Broker.VM, peer.KindRelease, c.unused(d.Seq))
	}
}

func (c *client) end(seq uint64, k *call, refused decision) {
	delete(c.calls, seq)
	c.changed = true
	k.step = AskEnded
	k.refused = refused
	close(k.done)
}

// release gives a held slot back.
func (c *client) release(k *call, r Result, now time.Time) {
	if k.step != AskHeld {
		return
	}
	c.forget(k)
	msg := &release{Scope: c.scope, From: c.self, Seq: k.ask.Seq, Result: toWire(r)}
	if next := c.nextFor(k, r); next != nil {
		c.passOn(next, k.target)
		msg.Next = heldSlot{Seq: next.ask.Seq, Target: k.target, Left: next.deadline.Sub(now)}
	}
	msg.Passed = c.passed
	c.post(c.broker, peer.KindRelease, msg)
}

// unused returns the message that nothing was sent under an ask.
func (c *client) unused(seq uint64) *release {
	return &release{Scope: c.scope, From: c.self, Seq: seq, Unused: true, Passed: c.passed}
}

// cancel takes an ask back. It reports false when it has been answered.
func (c *client) cancel(k *call) bool {
	if k.step != AskSent {
		return false
	}
	c.forget(k)
	c.post(c.broker, peer.KindRelease, c.unused(k.ask.Seq))
	return true
}

func (c *client) forget(k *call) {
	k.step = AskEnded
	delete(c.calls, k.ask.Seq)
	c.changed = true
}

// tick sends again what was not answered and tells what is held.
func (c *client) tick(now time.Time) {
	for seq, k := range c.calls {
		if k.step != AskSent {
			continue
		}
		if !now.Before(k.giveUp) {
			c.post(c.broker, peer.KindRelease, c.unused(seq))
			c.end(seq, k, decision{Reason: reasonSilent, RetryAfter: silentRetryAfter})
			continue
		}
		if now.Sub(k.sent) >= resendEvery {
			c.send(k, now)
		}
	}
	if (c.changed || len(c.calls) > 0) && now.Sub(c.invSent) >= inventoryEvery {
		c.inventory(now)
	}
}

// inventory tells the broker what is held.
func (c *client) inventory(now time.Time) {
	c.invSeq++
	inv := &inventory{Scope: c.scope, From: c.self, Seq: c.invSeq, Broker: c.id, Number: c.seen, Passed: c.passed}
	for seq, k := range c.calls {
		if k.step == AskHeld {
			inv.Held = append(inv.Held, heldSlot{Seq: seq, Target: k.target, Left: k.deadline.Sub(now)})
		}
	}
	c.post(c.broker, peer.KindInventory, inv)
	c.told = c.seen
	c.invSent = now
	c.changed = false
}

// setBroker follows a change of the broker: the new one is told what is held,
// and is asked for what has not been answered, under new numbers, so that a
// late answer of the old one is given back.
func (c *client) setBroker(vm string, now time.Time) {
	if vm == c.broker {
		return
	}
	c.broker = vm
	c.passes = nil
	c.inventory(now)
	for _, k := range c.unanswered() {
		delete(c.calls, k.ask.Seq)
		c.number(k)
		k.ask.Retry = true
		c.send(k, now)
	}
}

// unanswered lists the asks without an answer, in the order of their numbers.
func (c *client) unanswered() []*call {
	var out []*call
	for _, k := range c.calls {
		if k.step == AskSent {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.ask.Seq, b.ask.Seq) })
	return out
}

func (c *client) takeOut() []outMessage {
	out := c.out
	c.out = nil
	return out
}

// newCall makes a call of a request.
func newCall(r *Request, zone string, now time.Time) *call {
	k := &call{
		deadline: r.Deadline,
		giveUp:   r.Deadline,
		done:     make(chan struct{}),
		ask: ask{
			Class:        r.Class.Name,
			Tenant:       r.Tenant,
			CallerRegion: r.CallerRegion,
			Zone:         zone,
			Bytes:        r.Bytes,
			Exclude:      r.Exclude,
			Retry:        r.Retry,
		},
	}
	if wait := longestWait(r.Class); wait > 0 && now.Add(wait).Before(k.giveUp) {
		k.giveUp = now.Add(wait)
	}
	return k
}

// answerSlack is how much longer than the class's longest wait a client waits
// for the broker's own refusal.
const answerSlack = 100 * time.Millisecond

func longestWait(c *config.Class) time.Duration {
	if c.MaxWaitMS <= 0 {
		return 0
	}
	return c.MaxWaitMS.Duration() + answerSlack
}

// incarnationOf returns the incarnation of this process by the view.
func incarnationOf(v *membership.View, vm string) uint64 {
	m, _ := v.Member(vm)
	return m.Incarnation
}
