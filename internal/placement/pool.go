// Package placement picks the target of each request. It weighs the request's object,
// requests in flight, response times, the load that targets report with their answers,
// and the load reports of the region's other VMs. Requests wait in a queue while no
// target has room.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/rendezvous"
)

const (
	// replicas is the number of targets per object. The second takes the overflow of
	// the first; each further one adds a slow first run.
	replicas = 2
	// A remote region's slots weigh between minRemoteWeight, where this region has its
	// share of the slots, and maxRemoteWeight, where it has half of that or less. The
	// weight ignores the load, so that objects do not move between regions with it.
	minRemoteWeight = 0.03
	maxRemoteWeight = 0.15
	// rankStep is the gain required to prefer an object's next target.
	rankStep = 100 * time.Millisecond
	// spareSlots is the number of free slots required at an object's next target if the
	// object may be new to it, as such a run takes several times as long. A target with
	// fewer slots must be idle.
	spareSlots = 2
	// maxQueuedPerSlot bounds the requests that wait at a target, per slot.
	maxQueuedPerSlot = 1.0
)

// Request is a request that wants a target.
type Request struct {
	ID       string       // for logs
	Key      string       // object; empty: none
	Rule     *config.Rule // nil: every region is allowed
	Priority int          // 0 goes first
	Exclude  []string     // targets already tried
	Arrived  time.Time
	Deadline time.Time
}

// Options configures a pool.
type Options struct {
	Region string     // of this VM
	Policy Policy     // how targets are chosen; empty: PolicyCompletion
	Rand   *rand.Rand // for requests without an object and random policies
}

// Pool is the targets of one service. It is not safe for concurrent use and
// does no I/O.
type Pool struct {
	region  string // of this VM
	choose  chooser
	rand    *rand.Rand
	targets map[string]*targetState
	order   []*targetState // by name
	fleet   Fleet
	// fleetVersion changes with the fleet and the cold rate.
	fleetVersion uint64
	coldRate     float64       // limit of a cold target, requests/s; 0: none
	coldTime     time.Duration // how long a target stays cold after its start
	runs         runTimes
	roundTrips   map[string]mean // by region
	remoteWeight float64         // of a slot of another region
	objective    time.Duration   // shortest one seen; 0: none
	queue        []*Waiting      // in order of service
	ranking      ranking

	notices      notices
	newObjects   map[uint32][]string // by target; not yet reported
	lastReported map[uint32]int      // requests by target in the last report
	usageExpires time.Time           // end of the other VMs' usage
}

// NewPool returns a pool without targets.
func NewPool(o Options) *Pool {
	if o.Policy == "" {
		o.Policy = PolicyCompletion
	}
	return &Pool{
		region:     o.Region,
		choose:     choosers[o.Policy],
		rand:       o.Rand,
		targets:    make(map[string]*targetState),
		roundTrips: make(map[string]mean),
		notices:    make(notices),
		newObjects: make(map[uint32][]string),
	}
}

// SetFleet replaces the list of VMs.
func (p *Pool) SetFleet(f Fleet) {
	p.fleet = f
	p.fleetVersion++
}

// SetTargets replaces the targets. Those that stay keep their state.
func (p *Pool) SetTargets(svc *config.ServiceIndex, v *discovery.View) {
	next := make(map[string]*targetState, len(svc.AllTargets))
	p.order = p.order[:0]
	for _, t := range svc.AllTargets {
		s := p.targets[t.Name]
		if s == nil {
			s = &targetState{id: shortID(t.Name), notice: p.notices.of(t.Name)}
		}
		s.TargetIndex = t
		s.evacuated = v.Evacuated[t.Zone]
		s.coldUntil = later(s.coldUntil, v.ColdUntil[t.Name])
		next[t.Name] = s
		p.order = append(p.order, s)
	}
	p.targets = next
	p.notices.forget(next)
	if p.coldRate != svc.ColdRequestsPerSecond {
		p.coldRate = svc.ColdRequestsPerSecond
		p.fleetVersion++
	}
	p.coldTime = svc.ColdMS.Duration()
	p.remoteWeight = p.computeRemoteWeight()
	p.ranking.clear()
}

// computeRemoteWeight returns the weight of a slot of another region. It grows as this
// region falls short of its share of the slots.
func (p *Pool) computeRemoteWeight() float64 {
	regions := make(map[string]bool)
	own, total := 0, 0
	for _, t := range p.order {
		regions[t.Region] = true
		if t.Leaving || t.evacuated {
			continue
		}
		total += t.Slots
		if t.Region == p.region {
			own += t.Slots
		}
	}
	if total == 0 {
		return maxRemoteWeight
	}
	share := float64(own*len(regions)) / float64(total)
	lacking := min(max(2*(1-share), 0), 1)
	return minRemoteWeight + lacking*(maxRemoteWeight-minRemoteWeight)
}

// Selection is the target picked for a request, and why.
type Selection struct {
	target *targetState
	index  *config.TargetIndex // the target's entry at the time
	key    string
	rank   int           // position among the object's targets
	known  bool          // the object has been sent there before
	queued bool          // all slots were in use
	own    int           // running requests of this VM
	others int           // requests of others at the last load report
	age    time.Duration // of the load report
}

// Target returns the target.
func (at *Selection) Target() *config.TargetIndex { return at.index }

// Choose returns the target for a request by the pool's policy; nil if none has room.
func (p *Pool) Choose(a *Request, now time.Time) *Selection { return p.choose(p, a, now) }

// chooseCompletion is PolicyCompletion.
func (p *Pool) chooseCompletion(a *Request, now time.Time) *Selection {
	var best *Selection
	var bestCost time.Duration
	for rank, t := range p.candidates(a, now) {
		if !p.hasCapacity(t, now) {
			continue
		}
		known := a.Key == "" || t.objects.known(a.Key)
		if rank > 0 && !known && t.Slots-t.busy(now) < min(spareSlots, t.Slots) {
			continue
		}
		cost := p.wait(t, now) + p.run(t, known, rank, now) + time.Duration(rank)*rankStep
		if best == nil || cost < bestCost {
			best = p.placed(t, a, rank, known, now)
			bestCost = cost
		}
	}
	return best
}

func (p *Pool) placed(t *targetState, a *Request, rank int, known bool, now time.Time) *Selection {
	return &Selection{
		target: t,
		index:  t.TargetIndex,
		key:    a.Key,
		rank:   rank,
		known:  known,
		queued: t.busy(now) >= t.Slots,
		own:    t.own,
		others: t.others,
		age:    t.reportAge(now),
	}
}

// hasCapacity reports whether one more request may go to a target.
func (p *Pool) hasCapacity(t *targetState, now time.Time) bool {
	return t.busy(now) < t.maxRequests()
}

// wait estimates the time until a slot is free.
func (p *Pool) wait(t *targetState, now time.Time) time.Duration {
	ahead := t.busy(now) - t.Slots + 1
	if ahead <= 0 || t.Slots == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(t.Slots) * float64(p.run(t, true, 0, now)))
}

// run estimates the run time of a request at a target.
func (p *Pool) run(t *targetState, known bool, rank int, now time.Time) time.Duration {
	return time.Duration(t.slow.now(now) * float64(p.runs.expect(known, rank)))
}

// possible reports whether any target could take the request, now or, if it is cold, a
// little later.
func (p *Pool) possible(a *Request, now time.Time) bool {
	for _, t := range p.order {
		if p.mayServe(t, a, now) {
			return true
		}
	}
	return false
}

// mayServe reports whether a target is usable and eligible.
func (p *Pool) mayServe(t *targetState, a *Request, now time.Time) bool {
	return t.usable(now) && p.eligible(t, a)
}

// eligible reports whether a target may get the request, backoffs aside.
func (p *Pool) eligible(t *targetState, a *Request) bool {
	if !t.inService() || slices.Contains(a.Exclude, t.Name) {
		return false
	}
	return a.Rule == nil || a.Rule.Allows(t.Region)
}

// candidates returns the targets of the request's object in rank order: the first warm
// replicas, and the cold ones before them that may take one more request.
func (p *Pool) candidates(a *Request, now time.Time) []*targetState {
	key := p.hashKey(a)
	order := p.ranking.first(key)
	if order == nil {
		order = p.rank(key)
		if a.Key != "" {
			p.ranking.add(key, order)
		}
	}
	out, enough := p.firstReplicas(a, order, now)
	if !enough && len(order) < len(p.order) {
		out, _ = p.firstReplicas(a, p.rank(key), now)
	}
	return out
}

// rank returns all targets by their rendezvous score for an object.
func (p *Pool) rank(key string) []*targetState {
	type scored struct {
		t     *targetState
		score float64
	}
	all := make([]scored, len(p.order))
	for i, t := range p.order {
		weight := float64(t.Slots)
		if t.Region != p.region {
			weight *= p.remoteWeight
		}
		all[i] = scored{t, rendezvous.WeightedScore(key, t.Name, weight)}
	}
	slices.SortFunc(all, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	order := make([]*targetState, len(all))
	for i := range all {
		order[i] = all[i].t
	}
	return order
}

// hashKey returns the key that targets are ranked by: the object, or a random one.
func (p *Pool) hashKey(a *Request) string {
	if a.Key != "" {
		return a.Key
	}
	return strconv.FormatUint(p.rand.Uint64(), 36)
}

// firstReplicas returns the candidates among ranked targets, and whether they are
// complete.
func (p *Pool) firstReplicas(a *Request, order []*targetState, now time.Time) (out []*targetState, enough bool) {
	out = make([]*targetState, 0, replicas)
	warm := 0
	for _, t := range order {
		if warm == replicas {
			break
		}
		if !p.mayServe(t, a, now) || !p.mayUseCold(t, now) {
			continue
		}
		out = append(out, t)
		if !t.cold(now) {
			warm++
		}
	}
	return out, warm == replicas
}

// Acquire records that a request is sent to the selected target.
func (p *Pool) Acquire(at *Selection, now time.Time) {
	t := at.target
	t.own++
	t.usedAt = now
	if at.key != "" {
		t.objects.add(at.key, now)
		if !at.known {
			p.newObjects[t.id] = append(p.newObjects[t.id], at.key)
		}
	}
	if t.cold(now) {
		t.coldSent = now
	}
}
