package admission

import "slices"

// passRun is how many slots a process passes on before it gives one back, so
// that processes without slots get some.
const passRun = 4

// allowed takes in which asks may take over slots.
func (c *client) allowed(p *passList) {
	if p.To != c.self || p.Broker != c.id || p.Version <= c.passAt {
		return
	}
	c.passAt = p.Version
	c.passes = p.Seqs
}

// nextFor returns the ask that takes over the slot of k, nil when the slot
// goes back to the broker: when nothing may take it over, when the target did
// not do its work or leaves, or when it is in another region.
func (c *client) nextFor(k *call, r Result) *call {
	if !r.usedSlot() || !r.succeeded() || r.Draining || !k.local {
		return nil
	}
	if c.run == passRun {
		c.run = 0
		return nil
	}
	for i, seq := range c.passes {
		next := c.calls[seq]
		if next == nil || next.step != AskSent || slices.Contains(next.ask.Exclude, k.target) {
			continue
		}
		c.passes = c.passes[i+1:]
		return next
	}
	return nil
}

// passOn gives a slot at a target to an ask.
func (c *client) passOn(next *call, target string) {
	c.passed++
	c.run++
	next.step = AskHeld
	next.target = target
	next.local = true
	close(next.done)
}
