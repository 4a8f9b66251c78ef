// Package placement chooses the target of each request by what this VM knows: the
// object a request is about, own requests in flight, how long runs took, the load
// that targets tell on their answers, and what VMs of the region tell each other.
// It also tells which targets are likely to get a request soon.
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

const (
	// replicas is how many targets may serve an object: a second one takes what the
	// first has no room for, each further one means another run that is late.
	replicas = 2
	// A slot of another region weighs remoteWeightLeast against one of this region
	// in the choice of an object's targets where this region has its share of the
	// slots, and remoteWeightMost where it has half of that or less. The share is
	// steady, whatever the load, so that requests do not move between regions with it.
	remoteWeightLeast = 0.03
	remoteWeightMost  = 0.15
	// rankStep is what it must gain to use an object's next target in place of the
	// one before.
	rankStep = 100 * time.Millisecond
	// spareSlots is how many slots of an object's next target must be free before it
	// gets an object that it is not known to know: such a run takes several times as
	// long as one at a target that knows the object, and under load the time of
	// others. A target with fewer slots must be idle.
	spareSlots = 2
	// queueMost is how many requests may wait at a target, for each of its slots.
	queueMost = 1.0
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

// Options are what a pool is made with.
type Options struct {
	Region string     // of this VM
	Policy Policy     // how targets are chosen; empty: PolicyCompletion
	Rand   *rand.Rand // draws where a policy leaves it to chance, and for requests without an object
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
	// fleetSeen counts the views of the fleet, and of the cold bound.
	fleetSeen uint64
	coldRate  float64       // requests a second that a cold target bears; 0: no bound
	coldTime  time.Duration // how long a target stays cold after its start
	runs      runTimes
	trips     map[string]mean // way there and back, by region
	remote    float64         // weight of a slot of another region
	// objective is the shortest one of the requests so far; 0: none has any.
	objective time.Duration
	queue     []*Waiting // requests that wait, in order
	ranking   ranking

	notices     notices             // of targets
	newObjects  map[uint32][]string // by target: what other VMs were not told of yet
	told        map[uint32]int      // by target: requests as the others were told last
	sharedUntil time.Time           // until then it counts what other VMs have at targets
}

// NewPool returns a pool without targets.
func NewPool(o Options) *Pool {
	if o.Policy == "" {
		o.Policy = PolicyCompletion
	}
	return &Pool{
		region:  o.Region,
		choose:  choosers[o.Policy],
		rand:    o.Rand,
		targets: make(map[string]*targetState),
		trips:   make(map[string]mean),
		notices: make(notices),

		newObjects: make(map[uint32][]string),
	}
}

// SetFleet tells about the other VMs.
func (p *Pool) SetFleet(f Fleet) {
	p.fleet = f
	p.fleetSeen++
}

// SetTargets takes over the targets of a view. What is known of those that
// stay is kept.
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
		p.fleetSeen++
	}
	p.coldTime = svc.ColdMS.Duration()
	p.remote = p.weighRemote()
	p.ranking.clear()
}

// weighRemote returns the weight of a slot of another region, by how much of its
// share of the slots this region has.
func (p *Pool) weighRemote() float64 {
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
		return remoteWeightMost
	}
	share := float64(own*len(regions)) / float64(total)
	lacking := min(max(2*(1-share), 0), 1)
	return remoteWeightLeast + lacking*(remoteWeightMost-remoteWeightLeast)
}

// Placed is a request's place at a target.
type Placed struct {
	target *targetState
	index  *config.TargetIndex // of the target when the request was placed
	key    string
	rank   int           // of the target in the order of the object's targets
	known  bool          // this VM has sent the object there before
	queued bool          // all slots were believed to be in use
	own    int           // requests of this VM that ran there
	others int           // requests of others, by the target's last word
	age    time.Duration // of that word
}

// Target returns the target.
func (at *Placed) Target() *config.TargetIndex { return at.index }

// Choose returns the target for a request by the pool's policy, nil when there
// is none now.
func (p *Pool) Choose(a *Ask, now time.Time) *Placed { return p.choose(p, a, now) }

// chooseCompletion is PolicyCompletion.
func (p *Pool) chooseCompletion(a *Ask, now time.Time) *Placed {
	var best *Placed
	var bestCost time.Duration
	for rank, t := range p.candidates(a, now) {
		if !p.hasRoom(t, now) {
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

func (p *Pool) placed(t *targetState, a *Ask, rank int, known bool, now time.Time) *Placed {
	return &Placed{
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

// hasRoom reports whether one more request may go to a target.
func (p *Pool) hasRoom(t *targetState, now time.Time) bool {
	return t.busy(now) < t.most()
}

// wait is how long a request would wait for a slot.
func (p *Pool) wait(t *targetState, now time.Time) time.Duration {
	ahead := t.busy(now) - t.Slots + 1
	if ahead <= 0 || t.Slots == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(t.Slots) * float64(p.run(t, true, 0, now)))
}

// run is how long a request would run at a target.
func (p *Pool) run(t *targetState, known bool, rank int, now time.Time) time.Duration {
	return time.Duration(t.slow.now(now) * float64(p.runs.expect(known, rank)))
}

// possible reports whether any target could ever take the request. A cold one
// can, a little later.
func (p *Pool) possible(a *Ask, now time.Time) bool {
	for _, t := range p.order {
		if p.mayServe(t, a, now) {
			return true
		}
	}
	return false
}

// mayServe reports whether a target is usable and may get the request.
func (p *Pool) mayServe(t *targetState, a *Ask, now time.Time) bool {
	return t.usable(now) && p.eligible(t, a)
}

// eligible reports whether a target may get the request, apart from pauses.
func (p *Pool) eligible(t *targetState, a *Ask) bool {
	if !t.inService() || slices.Contains(a.Exclude, t.Name) {
		return false
	}
	return a.Rule == nil || a.Rule.Allows(t.Region)
}

// candidates returns the targets of the request's object, best first: the first
// replicas that are usable and not cold, and the cold ones before them that may
// get one more request. Where a zone comes back cold its objects are served
// elsewhere meanwhile.
func (p *Pool) candidates(a *Ask, now time.Time) []*targetState {
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

// rank returns all targets in the order of an object.
func (p *Pool) rank(key string) []*targetState {
	type scored struct {
		t     *targetState
		score float64
	}
	all := make([]scored, len(p.order))
	for i, t := range p.order {
		weight := float64(t.Slots)
		if t.Region != p.region {
			weight *= p.remote
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

// hashKey returns what the targets of a request are ordered by: its object, or
// chance where it has none.
func (p *Pool) hashKey(a *Ask) string {
	if a.Key != "" {
		return a.Key
	}
	return strconv.FormatUint(p.rand.Uint64(), 36)
}

// firstReplicas returns the candidates among targets in the order of an object,
// and whether there are enough.
func (p *Pool) firstReplicas(a *Ask, order []*targetState, now time.Time) (out []*targetState, enough bool) {
	out = make([]*targetState, 0, replicas)
	warm := 0
	for _, t := range order {
		if warm == replicas {
			break
		}
		if !p.mayServe(t, a, now) || !p.mayChill(t, now) {
			continue
		}
		out = append(out, t)
		if !t.cold(now) {
			warm++
		}
	}
	return out, warm == replicas
}

// Take notes that a request goes to a target.
func (p *Pool) Take(at *Placed, now time.Time) {
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

// Result is how a request at a target ended.
type Result struct {
	Load    *edge.Load    // the target told; nil: none
	Connect time.Duration // of opening a connection; 0: none was opened
	Latency time.Duration // from sending to the answer's end
	Failed  bool          // connection or answer failed
	Shed    bool          // the target refused for want of room
	Gone    bool          // another instance has its address
	Ended   bool          // nobody listens at its address
	Left    bool          // the caller left, which says nothing
}

// Failures that bar a target, and for how long.
const (
	barAfter = 2
	barFirst = 500 * time.Millisecond
	barMost  = 4 * time.Second
	// barDoublings is after how many doublings barMost is reached.
	barDoublings = 3
	// shedBar is for how long a full target gets no request at least: until about
	// one of its slots is free again.
	shedBar = 100 * time.Millisecond
)

// shedTime is for how long a target that was full gets no request.
func (p *Pool) shedTime(t *targetState) time.Duration {
	return max(shedBar, p.runs.expect(true, 0)/time.Duration(max(1, t.Slots)))
}

// Give notes the end of a request at a target. It returns for how long the
// target is barred by it, 0 when it is not.
func (p *Pool) Give(at *Placed, r Result, now time.Time) (barred time.Duration) {
	t := at.target
	t.own--
	if r.Load != nil {
		t.report(r.Load, t.own, p.reportLife(t, r.Load), now)
	}
	if r.Connect > 0 {
		p.learnTrip(t.Region, r.Connect)
	}
	if r.Ended {
		t.endedUntil = now.Add(endedLife)
	}
	switch {
	case r.Left:
	case r.Gone:
		t.gone = true
	case r.Shed:
		t.barredUntil = now.Add(p.shedTime(t))
	case r.Failed:
		t.failures++
		if t.failures >= barAfter {
			barred = min(barFirst<<min(t.failures-barAfter, barDoublings), barMost)
			t.barredUntil = now.Add(barred)
		}
	default:
		t.failures = 0
		t.answered(p.coldTime, now)
		p.learnRun(at, r.Latency, now)
	}
	return barred
}

// reportLife returns how long a target's word on its load counts in full: as
// long as what it told of takes to run, with some that arrives meanwhile. A full
// queue of long runs lasts for seconds, and VMs that forget it sooner fill the
// queue again.
func (p *Pool) reportLife(t *targetState, load *edge.Load) time.Duration {
	if t.Slots == 0 {
		return reportLifeLeast
	}
	runs := reportRuns * float64(max(1, load.Running+load.Waiting-t.own)) / float64(t.Slots)
	return max(reportLifeLeast, time.Duration(runs*float64(p.runs.expect(true, 0))))
}

func (p *Pool) learnTrip(region string, d time.Duration) {
	m := p.trips[region]
	m.observe(d)
	p.trips[region] = m
}

// learnRun takes in how long a request ran. One that waited for a slot tells
// nothing of the run.
func (p *Pool) learnRun(at *Placed, took time.Duration, now time.Time) {
	if at.queued {
		return
	}
	took = max(took-time.Duration(p.trips[at.target.Region]), time.Millisecond)
	if plain := p.runs.expect(true, 0); at.known && plain > 0 {
		at.target.slow.observe(float64(took)/float64(plain), now)
	}
	if !at.target.cold(now) {
		p.runs.observe(at.known, at.rank, took)
	}
}
