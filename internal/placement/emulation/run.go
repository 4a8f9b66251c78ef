package emulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/placement"
	"masticturn/internal/quarantine"
	"masticturn/internal/targetconn"
)

const (
	// retryInterval is that of a VM's queues.
	retryInterval = 10 * time.Millisecond
	// retryShare bounds callers' wait before a retry as a share of their remaining time.
	retryShare = 1.0 / 3
	// maxTries bounds the targets that a request is sent to.
	maxTries = 2
	// maxRetries bounds the retries of a refused caller.
	maxRetries = 1
	// windowLength is the unit of WorstWindow and MostShifted.
	windowLength = 2 * time.Second
)

type place = *placement.WaitingRequest

// vm is an emulated VM of the fleet.
type vm struct {
	name       string
	region     string
	pool       *placement.Pool
	waiters    map[place]*request
	ticking    bool
	aggregator *placement.Aggregator
	relaying   bool // children's reports are collected

	connections map[string]*connections // by target
	ahead       targetconn.AheadBudget
	ledger      *quarantine.Ledger // of requests that crash targets
}

// request is a caller's request over all its tries.
type request struct {
	region   string
	object   string
	asked    time.Time
	vm       *vm
	waiting  place
	try      *try
	tries    int
	retries  int
	exclude  []string
	decided  bool
	arrived  time.Time // at its present VM
	number   int
	crashing *crashing // nil: it crashes no targets
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
	tries   map[*try]bool // in flight
	burst   float64
	asked   int // requests so far
	result  tally
}

// start is the time at which every play begins.
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
		r.after(time.Duration(r.rng.Float64()*float64(placement.ReportInterval)), func() { r.reportRegularly(v) })
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

// startVMs gives every VM empty state.
func (r *run) startVMs() {
	fleet := placement.Fleet{}
	for _, v := range r.vms {
		fleet.VMs = append(fleet.VMs, placement.VM{Name: v.name, Region: v.region})
	}
	for _, v := range r.vms {
		v.pool = placement.NewPool(placement.Options{Region: v.region, Policy: r.policy, Rand: r.rng})
		fleet.Self = v.name
		v.pool.SetFleet(fleet)
		v.aggregator = placement.NewAggregator()
		position, _ := placement.TreePositionOf(v.name, r.namesIn(v.region))
		v.aggregator.SetPosition(position)
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

// announce distributes the list of targets.
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
	case TargetsDrain:
		r.each(e, func(t *target) { t.leaving = true })
	case TargetsBackOff:
		r.each(e, func(t *target) { t.backoff = e.Length })
	case TargetsResume:
		r.each(e, func(t *target) { t.backoff = 0 })
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

// restart ends all requests and restarts the fleet.
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
