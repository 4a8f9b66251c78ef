// Package placement chooses the target of each request by what this VM alone
// knows: the object a request is about, own requests in flight, and the load
// that targets tell on their answers. No messages go between VMs for it.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/edge"
	"masticturn/internal/rendezvous"
)

// Ask is a request that wants a target.
type Ask struct {
	ID       string       // of the request, for logs
	Key      string       // object it is about; empty: none
	Rule     *config.Rule // nil: every region is allowed
	Priority int          // 0 goes first
	Exclude  []string     // targets already tried
	Arrived  time.Time
	Deadline time.Time
}

// Pool is the targets of one service. It is not safe for concurrent use and
// does no I/O.
type Pool struct {
	region  string // of this VM
	targets map[string]*targetState
	order   []*targetState // by name
	fleet   Fleet
}

// Fleet is what the pool must know of the other VMs.
type Fleet struct {
	Self string
	VMs  []string // names of all VMs that may send, this one included
	// ColdBound is how many requests all VMs together may send a cold target
	// within one second; 0: no bound.
	ColdBound func(service *config.Service) float64
}

// NewPool returns a pool without targets for a VM of a region.
func NewPool(region string) *Pool {
	return &Pool{region: region, targets: make(map[string]*targetState)}
}

// SetFleet tells about the other VMs.
func (p *Pool) SetFleet(f Fleet) { p.fleet = f }

// SetTargets takes over the targets of a view. What is known of those that
// stay is kept.
func (p *Pool) SetTargets(svc *config.ServiceIndex, v *discovery.View) {
	next := make(map[string]*targetState, len(svc.AllTargets))
	p.order = p.order[:0]
	for _, t := range svc.AllTargets {
		s := p.targets[t.Name]
		if s == nil {
			s = &targetState{}
		}
		s.TargetIndex = t
		s.evacuated = v.Evacuated[t.Zone]
		s.coldUntil = v.ColdUntil[t.Name]
		next[t.Name] = s
		p.order = append(p.order, s)
	}
	p.targets = next
}

// Choose returns the target for a request, nil when there is none now.
func (p *Pool) Choose(a *Ask, now time.Time) *targetState {
	candidates := p.candidates(a, now)
	for _, t := range candidates {
		if t.busy(now) < t.Slots && p.mayTake(t, now) {
			return t
		}
	}
	return nil
}

// possible reports whether any target could ever take the request.
func (p *Pool) possible(a *Ask, now time.Time) bool { return len(p.candidates(a, now)) > 0 }

// candidates returns the usable targets in order of preference: those of this
// region first, each group ranked by the request's object.
func (p *Pool) candidates(a *Ask, now time.Time) []*targetState {
	key := a.Key
	if key == "" {
		key = strconv.FormatUint(rand.Uint64(), 36)
	}
	type scored struct {
		t     *targetState
		score float64
	}
	ranked := make([]scored, 0, len(p.order))
	for _, t := range p.order {
		if !t.usable(now) || slices.Contains(a.Exclude, t.Name) {
			continue
		}
		if a.Rule != nil && !a.Rule.Allows(t.Region) {
			continue
		}
		weight := float64(t.Slots)
		if t.Region != p.region {
			weight *= remoteWeight
		}
		score := rendezvous.WeightedScore(key, t.Name, weight)
		ranked = append(ranked, scored{t, score})
	}
	slices.SortFunc(ranked, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	out := make([]*targetState, min(len(ranked), replicas))
	for i := range out {
		out[i] = ranked[i].t
	}
	return out
}

const (
	remoteWeight = 0.15
	replicas     = 3
)

// mayTake reports whether a cold target may get one more request of this VM.
func (p *Pool) mayTake(t *targetState, now time.Time) bool {
	if !t.cold(now) {
		return true
	}
	return now.Sub(t.coldSent) >= coldGap && p.sendsToCold(t)
}

// coldGap is the least time between two requests of one VM to a cold target: a
// little over the second over which they are counted, as their ways differ.
const coldGap = 1100 * time.Millisecond

// coldReserve is how many requests a second of a cold target's bound are left
// for VMs that see another fleet.
const coldReserve = 3

// sendsToCold reports whether this VM is among those that may send to a cold
// target: as many as its bound, by rendezvous hashing, one request each.
func (p *Pool) sendsToCold(t *targetState) bool {
	if p.fleet.ColdBound == nil {
		return true
	}
	bound := p.fleet.ColdBound(nil)
	senders := int(bound) - coldReserve
	if senders >= len(p.fleet.VMs) {
		return true
	}
	own := rendezvous.Score(t.Name, p.fleet.Self)
	ahead := 0
	for _, vm := range p.fleet.VMs {
		if rendezvous.Score(t.Name, vm) > own {
			ahead++
		}
	}
	return ahead < senders
}

// Take notes that a request goes to a target.
func (p *Pool) Take(t *targetState, now time.Time) {
	t.own++
	if t.cold(now) {
		t.coldSent = now
	}
}

// Result is how a request at a target ended.
type Result struct {
	Load    *edge.Load // the target told; nil: none
	Latency time.Duration
	Failed  bool // connection or answer failed
	Shed    bool // the target refused for want of room
	Gone    bool // another instance has its address
	Left    bool // the caller left, which says nothing
}

// Failures that bar a target, and for how long.
const (
	barAfter = 2
	barFirst = 500 * time.Millisecond
	barMost  = 4 * time.Second
	shedBar  = 100 * time.Millisecond // a full target has room again after about a request's time
)

// Give notes the end of a request at a target.
func (p *Pool) Give(t *targetState, r Result, now time.Time) {
	t.own--
	if r.Load != nil {
		t.report(r.Load, t.own, now)
	}
	switch {
	case r.Left:
	case r.Gone:
		t.gone = true
	case r.Shed:
		t.barredUntil = now.Add(shedBar)
	case r.Failed:
		t.failures++
		if t.failures >= barAfter {
			t.barredUntil = now.Add(min(barFirst<<(t.failures-barAfter), barMost))
		}
	default:
		t.failures = 0
		t.timing.observe(r.Latency)
	}
}
