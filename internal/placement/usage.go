package placement

import (
	"hash/fnv"
	"maps"
	"time"
)

// Usage is what some VMs have at the targets of one service. It complements the load
// that targets report with their answers, and no bound depends on it.
type Usage struct {
	Running map[uint32]int      `msgpack:"r"` // requests by shortID of the target
	Objects map[uint32][]string `msgpack:"o"` // first sent to a target since the last report
}

func newUsage() *Usage {
	return &Usage{Running: make(map[uint32]int), Objects: make(map[uint32][]string)}
}

// Empty reports whether there is no usage.
func (u *Usage) Empty() bool { return len(u.Running) == 0 && len(u.Objects) == 0 }

// runningMost bounds the requests counted at one target.
const runningMost = 1 << 20

// addRunning and addObjects add other usage to this.
func (u *Usage) addRunning(other *Usage) {
	for id, n := range other.Running {
		if n > 0 {
			u.Running[id] = min(u.Running[id]+min(n, runningMost), runningMost)
		}
	}
}

func (u *Usage) addObjects(other *Usage) {
	for id, keys := range other.Objects {
		u.Objects[id] = append(u.Objects[id], keys...)
	}
}

// shortID identifies a target in load reports. A collision only worsens a choice.
func shortID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // it never fails
	return h.Sum32()
}

// ReportUsage returns this VM's usage and the objects that are new since the last report.
func (p *Pool) ReportUsage() *Usage {
	u := &Usage{Running: make(map[uint32]int), Objects: p.newObjects}
	p.newObjects = make(map[uint32][]string)
	for _, t := range p.order {
		if t.own > 0 {
			u.Running[t.id] = t.own
		}
	}
	p.lastReported = maps.Clone(u.Running) // the report is modified in place
	return u
}

// ApplyUsage applies the region's total, which includes this VM's last report. It is
// valid for ttl.
func (p *Pool) ApplyUsage(all *Usage, ttl time.Duration, now time.Time) {
	for _, t := range p.order {
		t.shared = min(max(all.Running[t.id]-p.lastReported[t.id], 0), t.maxRequests())
		if t.shared > 0 {
			t.usedAt = now
		}
		for _, key := range all.Objects[t.id] {
			t.objects.add(key, now)
		}
	}
	p.usageExpires = now.Add(ttl)
}

// expireUsage drops the total after its TTL.
func (p *Pool) expireUsage(now time.Time) {
	if now.Before(p.usageExpires) {
		return
	}
	for _, t := range p.order {
		t.shared = 0
	}
}
