package placement

import (
	"hash/fnv"
	"maps"
	"time"
)

// The VMs of a region tell each other what they have at targets, since a
// target's own word reaches a VM only with its answers: with 65 VMs and 240
// targets in a region, once in half a minute. What is told helps to choose; no
// bound rests on it, so that a lost message costs nothing but a worse choice.

// Use is what some VMs have at the targets of one service.
type Use struct {
	Running map[uint32]int      `msgpack:"r"` // requests, by shortID of the target; absent: none
	Objects map[uint32][]string `msgpack:"o"` // sent to a target for the first time since the last word
}

func newUse() *Use {
	return &Use{Running: make(map[uint32]int), Objects: make(map[uint32][]string)}
}

// Empty reports whether there is nothing to tell.
func (u *Use) Empty() bool { return len(u.Running) == 0 && len(u.Objects) == 0 }

// runningMost bounds what is believed of one target: far more than any has room for.
const runningMost = 1 << 20

// addRunning and addObjects add another word to this one.
func (u *Use) addRunning(other *Use) {
	for id, n := range other.Running {
		if n > 0 {
			u.Running[id] = min(u.Running[id]+min(n, runningMost), runningMost)
		}
	}
}

func (u *Use) addObjects(other *Use) {
	for id, keys := range other.Objects {
		u.Objects[id] = append(u.Objects[id], keys...)
	}
}

// shortID stands for a target's name in what VMs tell. Two targets of one id would
// be taken for each other, which makes a choice worse and no more.
func shortID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // it never fails
	return h.Sum32()
}

// Tell returns what this VM has at targets, and what is new since the word before.
func (p *Pool) Tell() *Use {
	u := &Use{Running: make(map[uint32]int), Objects: p.newObjects}
	p.newObjects = make(map[uint32][]string)
	for _, t := range p.order {
		if t.own > 0 {
			u.Running[t.id] = t.own
		}
	}
	p.told = maps.Clone(u.Running) // sums are made in the word itself
	return u
}

// Hear takes in what all VMs of the region have at targets, this one included as
// it told last. It counts for life.
func (p *Pool) Hear(all *Use, life time.Duration, now time.Time) {
	for _, t := range p.order {
		t.shared = min(max(all.Running[t.id]-p.told[t.id], 0), t.most())
		if t.shared > 0 {
			t.usedAt = now
		}
		for _, key := range all.Objects[t.id] {
			t.objects.add(key, now)
		}
	}
	p.sharedUntil = now.Add(life)
}

// forgetOld forgets what other VMs told when it was too long ago.
func (p *Pool) forgetOld(now time.Time) {
	if now.Before(p.sharedUntil) {
		return
	}
	for _, t := range p.order {
		t.shared = 0
	}
}
