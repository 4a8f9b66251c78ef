package emulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/edge"
	"masticturn/internal/placement"
	"masticturn/internal/quarantine"
	"masticturn/internal/targetconn"
)

const (
	// lookAgain is how often queues are looked at without an event, as a VM does.
	lookAgain = 10 * time.Millisecond
	// waitShare is the part of their time left that callers wait at most before
	// they come back.
	waitShare = 1.0 / 3
	// triesMost is how many targets a request may be sent to.
	triesMost = 2
	// comebacksMost is how often a refused caller comes back.
	comebacksMost = 1
	// windowLength is the span of the worst window.
	windowLength = 2 * time.Second
)

type place = *placement.Waiting

// vm is an emulated VM of the fleet.
type vm struct {
	name    string
	region  string
	pool    *placement.Pool
	waiters map[place]*request
	ticking bool
	teller  *placement.Teller
	// relaying: it gathers what VMs below tell.
	relaying bool

	connections map[string]*connections // by target
	ahead       targetconn.AheadBudget
	ledger      *quarantine.Ledger // of requests that crash targets
}

// request is what one caller wants, over all its tries.
type request struct {
	region    string
	object    string
	asked     time.Time
	vm        *vm
	waiting   place
	try       *try
	tries     int
	comebacks int
	exclude   []string
	decided   bool
	arrived   time.Time // at its VM, this time
	number    int       // of the request among all
	crashing  *crashing // it crashes the targets that run it; nil: it does not
}

// run is one play of a load.
type run struct {
	load    *Load
	policy  placement.Policy
	rng     *rand.Rand
	now     time.Time
	events  eventHeap
	seq     int
	vms     []*vm
	vmNamed map[string]*vm
	targets []*target
	byName  map[string]*target
	tries   map[*try]bool // under way
	burst   float64
	asked   int // requests so far
	result  tally
}

// start is the moment at which every play begins.
var start = time.Unix(1_000_000, 0)

// Play plays a load with a policy. The same seed gives the same play.
func Play(l *Load, policy placement.Policy, seed uint64) *Result {
	r := &run{
		load:    l,
		policy:  policy,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     start,
		byName:  make(map[string]*target),
		vmNamed: make(map[string]*vm),
		tries:   make(map[*try]bool),
		burst:   1,
		result:  newTally(l),
	}
	r.build()
	for _, e := range l.Events {
		r.after(e.At, func() { r.happen(e) })
	}
	for i := range l.Regions {
		r.nextArrival(i)
	}
	for _, c := range l.Crashing {
		r.startCrashing(&crashing{Crashing: c})
	}
	for _, v := range r.vms {
		r.after(time.Duration(r.rng.Float64()*float64(placement.SharePeriod)), func() { r.share(v) })
		r.openAhead(v)
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.result.summary(policy, r.targets)
}

func (r *run) build() {
	for _, region := range r.load.Regions {
		for i := range region.Targets {
			t := newTarget(fmt.Sprintf("target-%s-%d", region.Name, i), region.Name, r.load)
			r.targets = append(r.targets, t)
			r.byName[t.name] = t
		}
		for i := range region.VMs {
			v := &vm{name: fmt.Sprintf("vm-%s-%d", region.Name, i), region: region.Name}
			r.vms = append(r.vms, v)
			r.vmNamed[v.name] = v
		}
	}
	r.startVMs()
}

// startVMs gives every VM a pool that knows nothing yet.
func (r *run) startVMs() {
	fleet := placement.Fleet{}
	for _, v := range r.vms {
		fleet.VMs = append(fleet.VMs, placement.VM{Name: v.name, Region: v.region})
	}
	for _, v := range r.vms {
		v.pool = placement.NewPool(placement.Options{Region: v.region, Policy: r.policy, Rand: r.rng})
		fleet.Self = v.name
		v.pool.SetFleet(fleet)
		v.teller = placement.NewTeller()
		position, _ := placement.PositionOf(v.name, r.namesIn(v.region))
		v.teller.SetPosition(position)
		v.waiters = make(map[place]*request)
		v.connections = make(map[string]*connections)
		v.ledger = quarantine.NewLedger()
	}
	r.announce()
}

// namesIn returns the names of the VMs of a region.
func (r *run) namesIn(region string) []string {
	var names []string
	for _, v := range r.vms {
		if v.region == region {
			names = append(names, v.name)
		}
	}
	return names
}

// announce tells every VM the targets.
func (r *run) announce() {
	doc := document(r.load, r.targets)
	view := &discovery.View{Snapshot: config.NewLiveSnapshot(1, doc)}
	for _, v := range r.vms {
		v.pool.SetTargets(view.Snapshot.Service(r.load.Name), view)
	}
}

func (r *run) happen(e Event) {
	switch e.Kind {
	case BurstStarts:
		r.burst = e.Factor
	case BurstEnds:
		r.burst = 1
	case TargetsLeave:
		r.leave(e.Region, e.Count)
	case FleetRestarts:
		r.restart()
	case TargetsSayTheyLeave:
		r.each(e, func(t *target) { t.leaving = true })
	case TargetsWantNothing:
		r.each(e, func(t *target) { t.wantsNothing = e.Length })
	case TargetsWantRequests:
		r.each(e, func(t *target) { t.wantsNothing = 0 })
	}
}

func (r *run) leave(region string, count int) {
	for _, t := range r.targets {
		if count > 0 && t.region == region && !t.gone {
			t.gone = true
			count--
		}
	}
	r.announce()
}

// restart ends everything that is under way.
func (r *run) restart() {
	for _, v := range r.vms {
		for _, q := range v.waiters {
			r.finish(q, outcomeFailed)
		}
	}
	for y := range r.tries {
		y.over = true
		r.finish(y.req, outcomeFailed)
	}
	clear(r.tries)
	for _, t := range r.targets {
		t.forget()
		t.running = 0
		t.waiting = nil
	}
	r.startVMs()
}

// nextArrival plans the next request of a region's callers.
func (r *run) nextArrival(region int) {
	l := r.load
	at := r.now.Sub(start)
	phase := float64(at)/float64(l.Period) + float64(region)/float64(len(l.Regions))
	rate := l.Rate / float64(len(l.Regions)) * r.burst * (1 + l.Swing*math.Sin(2*math.Pi*phase))
	gap := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
	if at+gap > l.Length {
		return
	}
	r.after(gap, func() {
		q := r.newRequest(l.Regions[region].Name)
		q.object = fmt.Sprintf("%s-%d", q.region, r.rng.IntN(l.Objects))
		r.result.ask(q)
		r.after(l.Deadline, func() { r.expire(q) })
		r.arrive(q)
		r.nextArrival(region)
	})
}

// arrive brings a request to a VM of its region.
func (r *run) arrive(q *request) {
	if q.decided {
		return
	}
	var near []*vm
	for _, v := range r.vms {
		if v.region == q.region {
			near = append(near, v)
		}
	}
	q.vm = near[r.rng.IntN(len(near))]
	if !r.mayRun(q) {
		r.finish(q, outcomeRefused)
		return
	}
	q.arrived = r.now
	q.tries = 0
	q.exclude = nil
	r.enqueue(q)
}

func (r *run) enqueue(q *request) {
	w := q.vm.pool.Enqueue(&placement.Ask{
		Key:      q.object,
		Rule:     &config.Rule{ObjectiveMS: config.Millis(r.load.Objective.Milliseconds())},
		Exclude:  q.exclude,
		Arrived:  q.arrived,
		Deadline: q.asked.Add(r.load.Deadline),
	}, r.now)
	q.waiting = w
	if w.Refused != nil {
		r.refused(q)
		return
	}
	q.vm.waiters[w] = q
	r.serve(q.vm)
}

// serve lets a VM decide on the requests that wait there.
func (r *run) serve(v *vm) {
	for _, w := range v.pool.Serve(r.now) {
		q := v.waiters[w]
		delete(v.waiters, w)
		if w.Placed != nil {
			r.send(q, w)
		} else {
			r.refused(q)
		}
	}
	if v.ticking || v.pool.Queued() == 0 {
		return
	}
	v.ticking = true
	r.after(lookAgain, func() {
		v.ticking = false
		r.serve(v)
	})
}

// refused lets the caller come back, or tells that it was refused for good.
func (r *run) refused(q *request) {
	left := q.asked.Add(r.load.Deadline).Sub(r.now)
	wait := min(q.waiting.Refused.RetryAfter, time.Duration(waitShare*float64(left)))
	if q.comebacks >= comebacksMost {
		r.finish(q, outcomeRefused)
		return
	}
	q.comebacks++
	r.after(wait, func() { r.arrive(q) })
}

func (r *run) way(from, to string) time.Duration {
	if from == to {
		return r.load.WithinRegion
	}
	return r.load.OneWay
}

// send takes a request to the target where it was placed.
func (r *run) send(q *request, w place) {
	q.tries++
	t := r.byName[w.Placed.Target().Name]
	opening := r.opening(q.vm, t)
	y := &try{req: q, vm: q.vm, target: t, opening: opening, sent: r.now.Add(opening), place: w}
	q.try = y
	r.tries[y] = true
	r.after(opening+r.way(q.region, t.region), func() { r.reach(y) })
}

// reach is the arrival of a request at its target.
func (r *run) reach(y *try) {
	if y.over {
		return
	}
	t := y.target
	if t.down {
		r.after(r.way(t.region, y.req.region), func() { r.broken(y, placement.Result{Failed: true, Ended: true}) })
		return
	}
	t.arrivals++
	r.result.arrivals++
	r.result.arrive(y, r.now)
	switch {
	case t.wantsNothing > 0:
		pause := t.wantsNothing
		r.after(r.way(t.region, y.req.region), func() { r.turnedAway(y, pause) })
	case t.running < t.slots:
		r.begin(y)
	case len(t.waiting) < t.queueLimit:
		t.waiting = append(t.waiting, y)
	default:
		r.result.shed++
		r.after(r.way(t.region, y.req.region), func() { r.shed(y) })
	}
}

// begin starts a run at a target.
func (r *run) begin(y *try) {
	t := y.target
	t.running++
	y.running = true
	r.result.run(y, r.now)
	if y.req.crashing != nil {
		r.after(crashAfter, func() { r.crash(y) })
		return
	}
	work := float64(r.load.Work) * max(0.1, 1+r.load.Spread*r.rng.NormFloat64())
	if t.use(y.req.object) {
		work *= r.load.KnownPart
	} else {
		r.result.fresh++
	}
	r.after(time.Duration(work), func() { r.end(y) })
}

// free gives a target's slot to the next one that waits.
func (r *run) free(t *target) {
	t.running = max(0, t.running-1)
	for len(t.waiting) > 0 && t.running < t.slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.over {
			r.begin(next)
		}
	}
}

// end is the end of a run; the answer tells the target's load.
func (r *run) end(y *try) {
	if y.over {
		return
	}
	y.over = true
	delete(r.tries, y)
	t := y.target
	r.free(t)
	load := &edge.Load{Running: t.running, Waiting: len(t.waiting), Slots: t.slots}
	leaving := t.leaving
	r.after(r.way(t.region, y.req.region), func() {
		r.answered(y, leaving)
		y.vm.toTarget(t.name).put(r.now)
		y.vm.pool.Give(y.place.Placed, placement.Result{Load: load, Connect: y.opening, Latency: r.now.Sub(y.sent)}, r.now)
		r.finish(y.req, outcomeAnswered)
		r.serve(y.vm)
	})
}

// shed is the arrival of a target's word that it has no room.
func (r *run) shed(y *try) {
	y.over = true
	delete(r.tries, y)
	y.vm.toTarget(y.target.name).put(r.now)
	load := &edge.Load{Running: y.target.running, Waiting: len(y.target.waiting), Slots: y.target.slots}
	y.vm.pool.Give(y.place.Placed, placement.Result{Load: load, Shed: true}, r.now)
	r.elsewhere(y)
}

// elsewhere sends a request to another target, or lets its caller come back.
func (r *run) elsewhere(y *try) {
	q := y.req
	q.try = nil
	switch {
	case q.decided:
	case q.tries < triesMost:
		q.exclude = append(q.exclude, y.target.name)
		r.enqueue(q)
	default:
		q.waiting.Refused = &placement.Refusal{RetryAfter: shedRetryAfter}
		r.refused(q)
	}
	r.serve(y.vm)
}

// shedRetryAfter is when a caller comes back whose request no target took.
const shedRetryAfter = 300 * time.Millisecond

// expire ends a request whose deadline has passed.
func (r *run) expire(q *request) {
	if q.decided {
		return
	}
	if q.waiting != nil && q.vm.pool.Cancel(q.waiting) {
		delete(q.vm.waiters, q.waiting)
	}
	if y := q.try; y != nil && !y.over {
		y.over = true
		delete(r.tries, y)
		y.vm.toTarget(y.target.name).drop()
		if y.running {
			r.free(y.target)
		}
		y.vm.pool.Give(y.place.Placed, placement.Result{Failed: true}, r.now)
	}
	r.finish(q, outcomeFailed)
}

func (r *run) finish(q *request, o outcome) {
	if q.decided {
		return
	}
	q.decided = true
	r.result.decide(q, o, r.now)
}
