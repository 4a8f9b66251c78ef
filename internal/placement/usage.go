package placement

import (
	"hash/fnv"
	"maps"
	"time"

	"masticturn/internal/overload"
)

// Usage is the load of one or more VMs on the targets of one service. It complements the load
// that targets report with their answers. It is only an estimate: no limit relies on it.
type Usage struct {
	Running map[uint32]int      `msgpack:"r"` // number of requests by shortID of the target
	Objects map[uint32][]string `msgpack:"o"` // keys first sent to a target since the last report

	// Speeds are runs at targets since the last report, by shortID.
	Speeds map[uint32]SpeedSample `msgpack:"v,omitempty"`
	// Demand is what callers ask of the service; nil where admission by priority and customer is off.
	Demand *overload.Demand `msgpack:"d,omitempty"`
	// Limits is the region's admission decision; only totals have it.
	Limits *overload.Limits `msgpack:"a,omitempty"`
	// Split is the fraction of the region's requests to run in each region; empty: the default shares;
	// nil: not known. Only totals have it.
	Split map[string]float64 `msgpack:"s,omitempty"`
	// Spare is the number of slots of other regions that each VM may use for requests whose candidates
	// are full, by region. Only totals have it.
	Spare map[string]float64 `msgpack:"f,omitempty"`
}

// SpeedSample sums the slowness of runs at a target: the ratio of a run time to the mean of its class,
// without the target's work factor.
type SpeedSample struct {
	Runs  uint32 `msgpack:"n"`
	Ratio uint32 `msgpack:"r"` // sum of the ratios, in percent
}

func newUsage() *Usage {
	return &Usage{Running: make(map[uint32]int), Objects: make(map[uint32][]string)}
}

// Empty reports whether there are neither requests, objects nor runs, nor demand or decisions of the root.
func (u *Usage) Empty() bool {
	return len(u.Running) == 0 && len(u.Objects) == 0 && len(u.Speeds) == 0 && u.Demand.Empty() && u.Limits == nil &&
		u.Split == nil && len(u.Spare) == 0
}

// maxRunning bounds the number of requests at one target in a merged report.
const maxRunning = 1 << 20

// addRunning adds the number of requests in other.
func (u *Usage) addRunning(other *Usage) {
	for id, n := range other.Running {
		if n > 0 {
			u.Running[id] = min(u.Running[id]+min(n, maxRunning), maxRunning)
		}
	}
}

// addDemand adds the demand in other.
func (u *Usage) addDemand(other *Usage) {
	if other.Demand.Empty() {
		return
	}
	if u.Demand == nil {
		u.Demand = &overload.Demand{}
	}
	u.Demand.Add(other.Demand)
}

// addObjects adds the objects in other.
func (u *Usage) addObjects(other *Usage) {
	for id, keys := range other.Objects {
		u.Objects[id] = append(u.Objects[id], keys...)
	}
}

// shortID identifies a target in load reports. A collision only makes the load estimate less
// accurate.
func shortID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never returns an error
	return h.Sum32()
}

// ReportUsage returns this VM's usage, with the objects and runs that are new since the last report.
func (p *Pool) ReportUsage() *Usage {
	u := &Usage{Running: p.runningByTarget(), Objects: p.newObjects, Speeds: p.speeds.takeNew()}
	p.newObjects = make(map[uint32][]string)
	p.lastReported = maps.Clone(u.Running) // the aggregator modifies the report
	return u
}

// runningByTarget returns the numbers of this VM's requests, by shortID of the target.
func (p *Pool) runningByTarget() map[uint32]int {
	running := make(map[uint32]int)
	for t := range p.inUse {
		if p.targets[t.Name] == t {
			running[t.id] = t.ownRequests
		}
	}
	return running
}

// ApplyUsage applies the region's total, valid for ttl. The total includes this VM's last
// report, which is subtracted; its runs count like those of other VMs, and only here. It returns the
// targets whose shared slowness has changed.
func (p *Pool) ApplyUsage(total *Usage, ttl time.Duration, now time.Time) []SpeedChange {
	p.clearPeerUse()
	for id, running := range total.Running {
		t := p.byID[id]
		if t == nil {
			continue
		}
		if n := min(max(running-p.lastReported[id], 0), t.maxRequests()); n > 0 {
			t.peerRequests = n
			t.lastRequest = now
			p.inPeerUse[t] = true
		}
	}
	for id, keys := range total.Objects {
		if t := p.byID[id]; t != nil {
			for _, key := range keys {
				t.objects.add(key, now)
			}
		}
	}
	p.usageExpires = now.Add(ttl)
	p.applyLimits(total.Limits, ttl, now)
	p.ApplyRegions(RegionDecision{Split: total.Split, Spare: total.Spare}, ttl, now)
	return p.applySpeeds(total.Speeds, now)
}

// expireUsage drops the region's total if its TTL has passed, and moves the split if a step is due. It returns
// the targets whose shared slowness has changed as it decays.
func (p *Pool) expireUsage(now time.Time) []SpeedChange {
	p.stepSplit(now)
	if !now.Before(p.usageExpires) {
		p.clearPeerUse()
	}
	return p.applySpeeds(nil, now)
}

// clearPeerUse drops the usage of the region's other VMs.
func (p *Pool) clearPeerUse() {
	for t := range p.inPeerUse {
		t.peerRequests = 0
	}
	clear(p.inPeerUse)
}
