package targetlimit

import (
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

const (
	// lostTTL is how long a VM that has vanished may still be granting, where others can't see it.
	lostTTL = 30 * time.Second
	// leftTTL is how long some VMs may still ask a VM that has left.
	leftTTL = 2 * time.Second
	// joinTTL is how long after this VM has joined some VMs may still ask its predecessor.
	joinTTL = 3 * time.Second
)

// office knows which VM grants tokens for which target. For each target that is one VM of its region,
// by rendezvous hashing. VMs whose member lists differ may take different VMs for the granter; a VM that
// may not be the only one grants less. It is not safe for concurrent use.
type office struct {
	self     string
	view     *membership.View
	joinedAt time.Duration
	absent   map[string]absence // VMs that may still grant, by name
	granters map[string]string  // by target, for the present view
}

// absence is a VM that is not alive by the present view.
type absence struct {
	region string
	until  time.Duration
}

func newOffice(self string) *office {
	return &office{self: self, absent: make(map[string]absence), granters: make(map[string]string)}
}

// setJoined records that this VM knows the others.
func (o *office) setJoined(now time.Duration) {
	if o.joinedAt == 0 {
		o.joinedAt = now
	}
}

// setView replaces the member list.
func (o *office) setView(v *membership.View, now time.Duration) {
	if o.view != nil {
		for _, m := range o.view.Members {
			if m.State != membership.Leaving { // unless the new list says otherwise
				o.absent[m.Name] = absence{m.Region, now + lostTTL}
			}
		}
	}
	for _, m := range v.Members {
		switch m.State {
		case membership.Alive:
			delete(o.absent, m.Name)
		case membership.Suspect:
			o.absent[m.Name] = absence{m.Region, now + lostTTL}
		case membership.Leaving:
			o.absent[m.Name] = absence{m.Region, now + leftTTL}
		}
	}
	o.view = v
	clear(o.granters)
}

// granter returns the VM that grants tokens for a target of a region; empty: none is known.
func (o *office) granter(target, region string) string {
	if o.joinedAt == 0 {
		return ""
	}
	if vm, ok := o.granters[target]; ok {
		return vm
	}
	vm := o.elect(target, func(m *membership.Member) bool { return m.Region == region })
	if vm == "" {
		vm = o.elect(target, func(*membership.Member) bool { return true })
	}
	o.granters[target] = vm
	return vm
}

// elect returns the VM with the highest score among those that are eligible and able to grant.
func (o *office) elect(target string, eligible func(*membership.Member) bool) string {
	best, bestScore := "", uint64(0)
	for i := range o.view.Members {
		m := &o.view.Members[i]
		if m.State != membership.Alive || !m.GrantsTokens || !eligible(m) {
			continue
		}
		if score := rendezvous.Score(target, m.Name); best == "" || score > bestScore {
			best, bestScore = m.Name, score
		}
	}
	return best
}

// fraction returns the part of a target's limit that this VM may grant as its granter.
func (o *office) fraction(target, region string, now time.Duration) float64 {
	if now < o.joinedAt+joinTTL {
		return substituteFraction
	}
	own := rendezvous.Score(target, o.self)
	for vm, a := range o.absent {
		if now >= a.until {
			delete(o.absent, vm)
			continue
		}
		if a.region == region && rendezvous.Score(target, vm) > own {
			return substituteFraction
		}
	}
	return 1
}
