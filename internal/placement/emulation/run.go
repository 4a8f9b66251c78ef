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
	"masticturn/internal/settings"
	"masticturn/internal/targetconn"
)

const (
	// queueInterval is the interval at which VMs retry the placement of queued requests.
	queueInterval = 10 * time.Millisecond
	// maxRetryWaitShare limits callers' wait before a retry to a share of the time left until
	// the deadline.
	maxRetryWaitShare = 1.0 / 3
	// maxAttempts is the largest number of targets that a VM sends a request to.
	maxAttempts = 2
	// maxRetries is the largest number of retries by a refused caller.
	maxRetries = 1
	// windowLength is the length of the windows of WorstWindow, MaxShift and FinalShift.
	windowLength = 2 * time.Second
)

// queueEntry is a request in the queue of a VM's pool.
type queueEntry = *placement.WaitingRequest

// vm is a simulated VM of the fleet.
type vm struct {
	name           string
	region         string
	pool           *placement.Pool
	queued         map[queueEntry]*request
	serveScheduled bool
	aggregator     *placement.Aggregator
	heardLoads     map[string]heardLoad // by region; used at the root of a region's tree
	loadSentAt     time.Time
	collecting     bool // waits for reports of its children before it sends its own

	conns       map[string]*connPool // by target
	aheadBudget targetconn.AheadBudget
	ledger      *quarantine.Ledger // records requests that crash targets
}

// request is a caller's request with all its attempts and retries.
type request struct {
	region    string
	object    string
	sentAt    time.Time
	vm        *vm
	entry     queueEntry
	attempt   *attempt
	attempts  int
	retries   int
	exclude   []string
	done      bool
	arrivedAt time.Time // at vm
	id        int
	crash     *crashRequest // nil: crashes no targets
}

// simulation is the state of one run of a workload.
type simulation struct {
	workload      *Workload
	policy        placement.Policy
	rng           *rand.Rand
	now           time.Time
	events        eventHeap
	seq           int
	vms           []*vm
	vmsByName     map[string]*vm
	targets       []*target
	targetsByName map[string]*target
	inFlight      map[*attempt]bool
	rateFactor    float64
	requests      int // number of requests so far, for their IDs
	tally         tally
}

// startTime is the simulated time at which every run begins.
var startTime = time.Unix(1_000_000, 0)

// Run simulates a workload with a policy. The same seed gives the same result.
func Run(w *Workload, policy placement.Policy, seed uint64) *Result {
	s := &simulation{
		workload:      w,
		policy:        policy,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		now:           startTime,
		targetsByName: make(map[string]*target),
		vmsByName:     make(map[string]*vm),
		inFlight:      make(map[*attempt]bool),
		rateFactor:    1,
		tally:         newTally(w),
	}
	s.build()
	for _, e := range w.Events {
		s.after(e.At, func() { s.applyEvent(e) })
	}
	s.disturbTargets()
	s.slowHalf(0)
	if at := w.SlowHalf.SwapAt; at > 0 {
		s.after(at, func() { s.slowHalf(1) })
	}
	for i := range w.Regions {
		s.scheduleArrival(i)
	}
	for _, c := range w.CrashRequests {
		s.scheduleCrashRequests(&crashRequest{CrashRequest: c})
	}
	for _, v := range s.vms {
		s.after(time.Duration(s.rng.Float64()*float64(placement.ReportInterval)), func() { s.sendReports(v) })
		s.openAhead(v)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.tally.summary(policy, s.targets)
}

func (s *simulation) build() {
	for _, region := range s.workload.Regions {
		for i := range region.Targets {
			t := newTarget(fmt.Sprintf("target-%s-%d", region.Name, i), region.Name, s.workload)
			s.targets = append(s.targets, t)
			s.targetsByName[t.name] = t
		}
		for i := range region.VMs {
			v := &vm{name: fmt.Sprintf("vm-%s-%d", region.Name, i), region: region.Name}
			s.vms = append(s.vms, v)
			s.vmsByName[v.name] = v
		}
	}
	s.startVMs()
}

// startVMs initializes or resets the VMs' state.
func (s *simulation) startVMs() {
	fleet := placement.Fleet{}
	for _, v := range s.vms {
		fleet.VMs = append(fleet.VMs, placement.VM{Name: v.name, Region: v.region})
	}
	for _, v := range s.vms {
		v.pool = placement.NewPool(placement.Options{Region: v.region, Policy: s.policy, Rand: s.rng, Overload: settings.Overload{Regions: s.workload.RegionLoads, Speeds: s.workload.SlowHalf.Factor > 0}})
		fleet.Self = v.name
		v.pool.SetFleet(fleet)
		v.aggregator = placement.NewAggregator()
		position, _ := placement.TreePositionOf(v.name, s.namesIn(v.region))
		v.aggregator.SetPosition(position)
		v.heardLoads = make(map[string]heardLoad)
		if s.workload.RegionLoads {
			v.aggregator.SetDecide(func(total *placement.LoadReport, now time.Time) { s.decideRegions(v, total, now) })
		}
		v.queued = make(map[queueEntry]*request)
		v.conns = make(map[string]*connPool)
		v.ledger = quarantine.NewLedger()
	}
	s.updateTargets()
}

// namesIn returns the names of the VMs of a region.
func (s *simulation) namesIn(region string) []string {
	var names []string
	for _, v := range s.vms {
		if v.region == region {
			names = append(names, v.name)
		}
	}
	return names
}

// updateTargets gives the VMs the current list of targets.
func (s *simulation) updateTargets() {
	doc := buildDocument(s.workload, s.targets)
	view := &discovery.View{Snapshot: config.NewLiveSnapshot(1, doc)}
	for _, v := range s.vms {
		v.pool.SetTargets(view.Snapshot.Service(s.workload.Name), view)
	}
}

func (s *simulation) applyEvent(e Event) {
	switch e.Kind {
	case BurstStarts:
		s.rateFactor = e.Factor
	case BurstEnds:
		s.rateFactor = 1
	case TargetsLeave:
		s.removeTargets(e.Region, e.Count)
	case FleetRestarts:
		s.restartFleet()
	case TargetsDrain:
		s.forEachTarget(e, func(t *target) { t.leaving = true })
	case TargetsBackOff:
		s.forEachTarget(e, func(t *target) { t.backoff = e.Length })
	case TargetsResume:
		s.forEachTarget(e, func(t *target) { t.backoff = 0 })
	}
}

func (s *simulation) removeTargets(region string, count int) {
	for _, t := range s.targets {
		if count > 0 && t.region == region && !t.removed {
			t.removed = true
			count--
		}
	}
	s.updateTargets()
}

// restartFleet fails all requests in flight and queued, and clears the state of VMs and targets.
func (s *simulation) restartFleet() {
	for _, v := range s.vms {
		for _, q := range v.queued {
			s.finish(q, outcomeFailed)
		}
	}
	for a := range s.inFlight {
		a.done = true
		s.finish(a.req, outcomeFailed)
	}
	clear(s.inFlight)
	for _, t := range s.targets {
		t.clearCache()
		t.running = 0
		t.queue = nil
	}
	s.startVMs()
}
