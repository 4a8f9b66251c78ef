package steering

import "time"

// maxUnanswered is how many demands are remembered while their grants may
// still come; older ones are given up.
const maxUnanswered = 16

// Grantee holds the credits that one other region has granted to this
// process.
//
// Property: at any time it acts on one grant, whose Seq never falls, and on
// none from TTL after the sending of that grant's demand.
type Grantee struct {
	seq     uint64
	sent    []sentDemand
	acting  uint64
	slots   []TargetSlots
	expires time.Time
}

type sentDemand struct {
	seq uint64
	at  time.Time
}

// Demand returns the next demand, to be sent now. The caller adds the process
// it is from. inUse lists the requests that run at the region's targets.
func (g *Grantee) Demand(want int, inUse []TargetSlots, now time.Time) Demand {
	g.seq++
	g.sent = append(g.sent, sentDemand{seq: g.seq, at: now})
	if len(g.sent) > maxUnanswered {
		g.sent = g.sent[1:]
	}
	return Demand{Seq: g.seq, Want: want, Seen: g.acting, Live: g.Valid(now), InUse: inUse}
}

// Adopt takes a grant in. It reports false for one that is not newer than the
// one acted on, has expired on its way, or answers no known demand.
func (g *Grantee) Adopt(grant Grant, now time.Time) bool {
	if grant.Seq <= g.acting {
		return false
	}
	for i, d := range g.sent {
		if d.seq != grant.Seq {
			continue
		}
		expires := d.at.Add(grant.TTL)
		if !now.Before(expires) {
			return false
		}
		g.acting = grant.Seq
		g.slots = grant.Slots
		g.expires = expires
		g.sent = g.sent[i+1:]
		return true
	}
	return false
}

// Valid reports whether there is a grant to act on.
func (g *Grantee) Valid(now time.Time) bool { return g.acting > 0 && now.Before(g.expires) }

// Slots returns the slots of the grant that is acted on, nil when it has
// expired.
func (g *Grantee) Slots(now time.Time) []TargetSlots {
	if !g.Valid(now) {
		return nil
	}
	return g.slots
}

// Expires returns when the grant that is acted on ends.
func (g *Grantee) Expires() time.Time { return g.expires }

// Drop gives the credits up at once, as a process does that finds it was
// paused.
func (g *Grantee) Drop() { g.expires = time.Time{} }
