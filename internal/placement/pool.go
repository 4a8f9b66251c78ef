// Package placement chooses the target of each request. It takes into account the request's
// object, requests in flight, response times, the load that targets report with their
// answers, and the load reports of the region's other VMs. Requests wait in a queue while
// all targets are full.
package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/rendezvous"
	"masticturn/internal/settings"
)

const (
	// replicas is the number of targets per object. The second takes the overflow of
	// the first. Each further one would add a slow first run to fill its cache.
	replicas = 2
	// A slot in another region has a weight between minRemoteWeight, if this region has an
	// equal share of all slots, and maxRemoteWeight, if it has half of that or less. A slot
	// in this region has weight 1. The weight does not depend on the load, so that objects
	// do not move between regions when the load changes.
	minRemoteWeight = 0.03
	maxRemoteWeight = 0.15
	// rankPenalty is how much earlier an object's next target must be expected to answer
	// for it to be preferred.
	rankPenalty = 100 * time.Millisecond
	// minSpareSlots is the minimum number of free slots at an object's next target if the
	// object is not known to be in its cache, as such a run takes several times as long. A
	// target with fewer slots must be idle.
	minSpareSlots = 2
	// maxQueuedPerSlot is the maximum number of requests queued at a target, per slot.
	maxQueuedPerSlot = 1.0
)

// Request describes a request for which a target is chosen.
type Request struct {
	ID       string       // for logs
	Key      string       // key of the object that the request is about; empty: none
	Rule     *config.Rule // nil: every region is allowed
	Class    string       // name of the class; runs of different classes take different times
	Customer string       // name of the customer; empty: none
	Priority int          // lower values are served first
	Exclude  []string     // targets already tried
	Arrived  time.Time
	Deadline time.Time

	// Returning reports that the caller was probably refused before, as it has less time left
	// than the rule's callers usually have. Enqueue sets it.
	Returning bool

	// staysInRegion keeps a waiting request without an object from drawing targets of other regions
	// again and again, whose load is not known.
	staysInRegion bool
	tokensWanted  bool // it was counted at the limited targets that it would use
}

// Options configures a pool.
type Options struct {
	Region  string     // of this VM
	Started time.Time  // of this process
	Policy  Policy     // empty: PolicyCompletion
	Rand    *rand.Rand // for requests without an object and for random policies
	Limits  RateLimits // nil: no target has a rate limit
	// Overload enables what VMs and regions decide together while a service is short of capacity.
	Overload settings.Overload
}

// Pool holds the targets of one service and the queue of its waiting requests. It is not safe
// for concurrent use and does no I/O.
type Pool struct {
	region        string    // of this VM
	started       time.Time // of this process
	chooseTarget  chooseFunc
	rand          *rand.Rand
	targets       map[string]*targetState
	byID          map[uint32]*targetState // by shortID
	sortedTargets []*targetState          // by name
	listVersion   uint64                  // incremented with each list of targets
	totalSlots    int                     // of all targets
	inUse         map[*targetState]bool   // targets with requests of this VM
	inPeerUse     map[*targetState]bool   // targets with peerRequests
	fleet         Fleet
	regionVMs     int // number of VMs in this VM's region
	// fleetVersion is incremented when the fleet or the cold rate changes.
	fleetVersion  uint64
	coldRate      float64       // maximum rate of requests to a cold target, requests/s; 0: no limit
	coldDuration  time.Duration // how long a target is cold after its start
	runTimes      runTimes      // of all classes together
	classTimes    classTimes
	roundTrips    map[string]movingAverage // round-trip time by region
	remoteWeight  float64                  // default weight of a slot in another region
	split         split
	planner       regionPlanner  // used while this VM is the root of its region's tree
	slotsByRegion map[string]int // of targets that neither leave nor are evacuated
	otherTargets  []*targetState // in other regions
	spare         spareSlotsInUse
	turn          float64 // of this VM to use parts of spare slots
	demandMeter   demandMeter
	objective     time.Duration     // shortest objective of any request; 0: none
	queue         []*WaitingRequest // in the order in which it is served
	ranking       rankingCache
	tokens        tokenUse
	overload      overloadState
	returns       returns

	enabled settings.Overload // parts of overload control

	notices      notices
	droppedCold  coldRequests
	speeds       poolSpeeds
	newObjects   map[uint32][]string // first sent to a target since the last report, by shortID of the target
	lastReported map[uint32]int      // this VM's requests in its last report, by shortID of the target
	usageExpires time.Time           // when the last total of the region expires
}

// NewPool returns a pool without targets.
func NewPool(o Options) *Pool {
	if o.Policy == "" {
		o.Policy = PolicyCompletion
	}
	if o.Limits == nil {
		o.Limits = noRateLimits{}
	}
	return &Pool{
		region:  o.Region,
		started: o.Started,

		enabled:      o.Overload,
		chooseTarget: chooseFuncs[o.Policy],
		rand:         o.Rand,
		targets:      make(map[string]*targetState),
		byID:         make(map[uint32]*targetState),
		inUse:        make(map[*targetState]bool),
		inPeerUse:    make(map[*targetState]bool),
		classTimes:   make(classTimes),
		roundTrips:   make(map[string]movingAverage),
		tokens:       tokenUse{limits: o.Limits, refusedAt: make(map[int]time.Time)},
		notices:      make(notices),
		droppedCold:  make(coldRequests),
		newObjects:   make(map[uint32][]string),
	}
}

// SetFleet replaces the list of VMs.
func (p *Pool) SetFleet(f Fleet) {
	p.fleet = f
	p.fleetVersion++
	p.setTurn()
	p.regionVMs = 0
	for _, vm := range f.VMs {
		if vm.Region == p.region {
			p.regionVMs++
		}
	}
}

// SetTargets replaces the targets. The state of targets that remain is kept.
func (p *Pool) SetTargets(svc *config.ServiceIndex, v *discovery.View) {
	p.listVersion++
	listed := 0
	p.sortedTargets = p.sortedTargets[:0]
	p.otherTargets = p.otherTargets[:0]
	p.totalSlots = 0
	for _, t := range svc.AllTargets {
		s := p.targets[t.Name]
		if s == nil {
			s = &targetState{id: shortID(t.Name), notice: p.notices.get(t.Name), lastColdRequest: p.droppedCold.take(t.Name)}
			p.targets[t.Name] = s
			p.byID[s.id] = s
		}
		if s.listVersion != p.listVersion {
			s.listVersion = p.listVersion
			listed++
		}
		s.TargetIndex = t
		s.evacuated = v.Evacuated[t.Zone]
		s.coldUntil = later(s.coldUntil, v.ColdUntil[t.Name])
		p.totalSlots += s.Slots
		p.sortedTargets = append(p.sortedTargets, s)
		if s.Region != p.region {
			p.otherTargets = append(p.otherTargets, s)
		}
	}
	if len(p.targets) > listed {
		p.dropUnlisted()
	}
	if len(p.notices) > len(p.targets)+maxNotices {
		p.notices.prune(p.targets)
	}
	if p.coldRate != svc.ColdRequestsPerSecond {
		p.coldRate = svc.ColdRequestsPerSecond
		p.fleetVersion++
	}
	p.coldDuration = svc.ColdMS.Duration()
	p.remoteWeight = p.computeRemoteWeight()
	p.weighTargets()
	p.updateSlots()
	p.ranking.clear()
	p.spare.ranking.clear()
}

// dropUnlisted drops the targets that are not in the present list.
func (p *Pool) dropUnlisted() {
	unlisted := func(t *targetState) bool { return t.listVersion != p.listVersion }
	for name, t := range p.targets {
		if unlisted(t) && !t.lastColdRequest.IsZero() {
			p.droppedCold.add(name, t.lastColdRequest)
		}
	}
	maps.DeleteFunc(p.targets, func(_ string, t *targetState) bool { return unlisted(t) })
	clear(p.byID) // not by deletion, as another target may have the same id
	for _, t := range p.targets {
		p.byID[t.id] = t
	}
	maps.DeleteFunc(p.inPeerUse, func(t *targetState, _ bool) bool { return unlisted(t) })
	p.notices.prune(p.targets)
}

// computeRemoteWeight returns the default weight of a slot in another region. It grows the more this
// region's slots fall short of an equal share.
func (p *Pool) computeRemoteWeight() float64 {
	regions := make(map[string]bool)
	own, total := 0, 0
	for _, t := range p.sortedTargets {
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
	shortfall := min(max(2*(1-share), 0), 1)
	return minRemoteWeight + shortfall*(maxRemoteWeight-minRemoteWeight)
}

// Selection is the target chosen for a request, with the state on which the choice was based.
type Selection struct {
	target           *targetState
	index            *config.TargetIndex // the target's entry when it was chosen
	key              string
	class            string
	rank             int           // position among the object's targets; 0 is the first
	known            bool          // the object is recorded at the target, or the request has none
	spare            int           // free slots at the target, less than 0: requests queued there
	queued           bool          // all slots were in use, so the request queues at the target
	ahead            int           // requests at the target that must end before it runs
	ownRequests      int           // requests of this VM at the target
	reportedRequests int           // requests of other VMs at the target's last load report
	reportAge        time.Duration // age of that report
	usesSpare        bool          // the target is in another region, as the object's candidates are full
	cold             *coldRequest  // the target is cold; nil: it is warm, or the request isn't placed yet
}

// Target returns the target.
func (sel *Selection) Target() *config.TargetIndex { return sel.index }

// Choose returns the target for a request by the pool's policy; nil if all are full or at their rate
// limits.
func (p *Pool) Choose(req *Request, now time.Time) *Selection {
	sel := p.choose(req, now)
	p.tokens.want(req, sel != nil)
	if sel == nil && len(p.tokens.preferred) > 0 {
		sel = p.choose(req, now) // this VM may have granted itself a token
	}
	return sel
}

func (p *Pool) choose(req *Request, now time.Time) *Selection {
	p.tokens.preferred = p.tokens.preferred[:0]
	if sel := p.chooseTarget(p, req, now); sel != nil {
		return sel
	}
	return p.chooseSpare(req, now)
}

// chooseCompletion implements PolicyCompletion.
func (p *Pool) chooseCompletion(req *Request, now time.Time) *Selection {
	var best *Selection
	var bestCost time.Duration
	for rank, t := range p.candidates(req, now) {
		known, ok := p.hasRoom(t, req, rank, now)
		if !ok {
			continue
		}
		cost := p.estimateAnswer(t, req, known, rank, now) + p.preference(t, req, rank, now)
		if best == nil || cost < bestCost {
			best = p.newSelection(t, req, rank, known, now)
			bestCost = cost
		}
	}
	if p.speeds.differ && (best == nil || !p.inTime(best.target, req, best.known, best.rank, now)) {
		if further := p.chooseInTime(req, now); further != nil {
			return further
		}
	}
	if p.looksFurther(req, bestCost, best != nil, now) {
		return p.chooseFurther(req, best, bestCost, now)
	}
	return best
}

// hasRoom reports whether the target of the given rank may get the request now, and whether its object
// is known there.
func (p *Pool) hasRoom(t *targetState, req *Request, rank int, now time.Time) (known, ok bool) {
	if !p.hasCapacityFor(t, req, now) {
		return false, false
	}
	known = req.Key == "" || t.objects.known(req.Key)
	return known, rank == 0 || known || t.Slots-t.load(now) >= min(minSpareSlots, t.Slots)
}

func (p *Pool) newSelection(t *targetState, req *Request, rank int, known bool, now time.Time) *Selection {
	return &Selection{
		target:           t,
		index:            t.TargetIndex,
		key:              req.Key,
		class:            req.Class,
		rank:             rank,
		known:            known,
		spare:            t.Slots - t.load(now),
		queued:           t.load(now) >= t.Slots,
		ahead:            max(0, t.load(now)-t.Slots+1),
		ownRequests:      t.ownRequests,
		reportedRequests: t.reportedRequests,
		reportAge:        t.reportAge(now),
	}
}

// hasCapacity reports whether a target may get one more request.
func (p *Pool) hasCapacity(t *targetState, now time.Time) bool {
	return t.load(now) < t.maxRequests()
}

// estimateWait estimates the time until a slot of a target is free.
func (p *Pool) estimateWait(t *targetState, now time.Time) time.Duration {
	ahead := t.load(now) - t.Slots + 1
	if ahead <= 0 || t.Slots == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(t.Slots) * float64(p.estimateRun(t, &p.runTimes, true, 0, now)))
}

// estimateRun estimates the time of a run at a target, by the run times of its class or of the service.
func (p *Pool) estimateRun(t *targetState, times *runTimes, known bool, rank int, now time.Time) time.Duration {
	return time.Duration(t.slowness.factorAt(now) * t.workFactor.at(now) * float64(times.expect(known, rank)))
}

// estimateAnswer estimates the time until a target has run a request.
func (p *Pool) estimateAnswer(t *targetState, req *Request, known bool, rank int, now time.Time) time.Duration {
	return p.estimateWait(t, now) + p.estimateRun(t, p.timesOf(req.Class), known, rank, now)
}

// hasUsableTarget reports whether any target is usable and eligible. A cold or full one may
// only be able to take the request later.
func (p *Pool) hasUsableTarget(req *Request, now time.Time) bool {
	for _, t := range p.sortedTargets {
		if p.canServe(t, req, now) {
			return true
		}
	}
	return false
}

// canServe reports whether a target is usable and eligible.
func (p *Pool) canServe(t *targetState, req *Request, now time.Time) bool {
	return t.usable(now) && p.eligible(t, req)
}

// eligible reports whether a target may get the request, regardless of backoffs and ejection.
func (p *Pool) eligible(t *targetState, req *Request) bool {
	if !t.inService() || slices.Contains(req.Exclude, t.Name) {
		return false
	}
	return req.Rule == nil || req.Rule.Allows(t.Region)
}

// candidates returns the targets of the request's object in rank order: the first warm ones without a
// rate limit, as many as replicas, and cold or limited ones that rank before them and may take one more
// request.
func (p *Pool) candidates(req *Request, now time.Time) []*targetState {
	key := p.hashKey(req)
	ranked := p.firstTargets(req, key)
	out, complete := p.firstReplicas(req, ranked, now)
	if !complete && len(ranked) < len(p.sortedTargets) {
		out, _ = p.firstReplicas(req, p.rank(key, len(p.sortedTargets)), now)
	}
	return out
}

// firstTargets returns the highest-ranked targets for a request's hash key.
func (p *Pool) firstTargets(req *Request, key string) []*targetState {
	ranked := p.ranking.get(key)
	if ranked == nil {
		ranked = p.rank(key, maxCachedTargets)
		if req.Key != "" {
			p.ranking.add(key, ranked)
		}
	}
	return ranked
}

// rank returns the n targets with the highest rendezvous scores for an object, in the order of their
// scores.
func (p *Pool) rank(key string, n int) []*targetState {
	return rendezvous.TopWeighted(key, p.sortedTargets, n,
		func(t *targetState) string { return t.Name },
		func(t *targetState) float64 { return t.weight * t.slotWeight })
}

// hashKey returns the key by which targets are ranked: the object's, or a random one.
func (p *Pool) hashKey(req *Request) string {
	if req.Key != "" {
		return req.Key
	}
	return strconv.FormatUint(p.rand.Uint64(), 36)
}

// firstReplicas returns the candidates among ranked targets, and whether they include as many
// warm ones as replicas.
func (p *Pool) firstReplicas(req *Request, ranked []*targetState, now time.Time) (out []*targetState, complete bool) {
	out = make([]*targetState, 0, replicas)
	warm := 0
	for _, t := range ranked {
		if warm == replicas {
			break
		}
		if !p.canServe(t, req, now) || !p.coldLimitAllows(t, now) {
			continue
		}
		limited, allowed := p.rateLimit(t, req, now)
		if !allowed {
			continue
		}
		out = append(out, t)
		if !t.cold(now) && !limited {
			warm++
		}
	}
	return out, warm == replicas
}

// Acquire records that a request is sent to the chosen target.
func (p *Pool) Acquire(sel *Selection, now time.Time) {
	t := sel.target
	t.ownRequests++
	p.inUse[t] = true
	if sel.usesSpare {
		p.spare.acquire(sel.index.Region)
	}
	t.lastRequest = now
	if sel.key != "" {
		t.objects.add(sel.key, now)
		if !sel.known {
			p.newObjects[t.id] = append(p.newObjects[t.id], sel.key)
		}
	}
	if t.cold(now) {
		sel.cold = p.recordColdRequest(t, now)
	}
	if p.tokens.limits.Any() {
		p.tokens.limits.Take(t.TargetIndex)
	}
}
