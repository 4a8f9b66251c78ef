package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/customer"
	"masticturn/internal/discovery"
	"masticturn/internal/edge"
	"masticturn/internal/overload"
)

// The simulated fleet: two regions with six targets each. One-way delays are those between regions and
// within one.
const (
	simSlots      = 4
	simQueue      = 6
	simTimeout    = 2 * time.Second
	simAcross     = 55 * time.Millisecond
	simWithin     = time.Millisecond
	simDetection  = time.Second // until the other VMs take a silent one for lost
	simServeEvery = serveInterval
)

var simRegions = []string{"ros", "bb"}

// simStream is a stream of requests of one class.
type simStream struct {
	class      string
	customer   string
	priority   int
	perSecond  float64
	runTime    time.Duration
	objective  time.Duration
	from, to   time.Duration
	vm         func(s *overloadSim) *simVM // the VM that gets a request
	objects    int                         // 0: requests have no object
	sent, good int
	refusals   int // by VMs, also of requests that then returned
}

func (st *simStream) share() float64 { return float64(st.good) / float64(max(st.sent, 1)) }

type simVM struct {
	name, region string
	index        int
	pool         *Pool
	aggregator   *Aggregator
	waiting      map[*WaitingRequest]*simRequest
	scheduled    bool
	gathering    bool
	old          bool // an older build, without admission by priority
	silent       bool // killed or frozen
}

type simTarget struct {
	*config.TargetIndex
	running int
	queue   []func()
}

type simRequest struct {
	stream  *simStream
	sentAt  time.Time
	vm      *simVM
	retries int
	object  string
	exclude []string
}

// overloadSim plays streams of requests against the pools of a fleet with their load reports.
type overloadSim struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	events  simEvents
	seq     int
	vms     []*simVM
	targets map[string]*simTarget
	view    *discovery.View
	streams []*simStream
	length  time.Duration
	dropped func(from, to *simVM) bool // a report is lost; nil: none is
	others  func(region string) map[string]overload.RegionLoad
	rule    map[string]*config.Rule // by class and objective
}

func newOverloadSim(t *testing.T, seed uint64, vms int, streams ...*simStream) *overloadSim {
	s := &overloadSim{
		t: t, rand: rand.New(rand.NewPCG(seed, 7)), now: start, streams: streams,
		targets: make(map[string]*simTarget), rule: make(map[string]*config.Rule), length: 12 * time.Second,
	}
	s.view = s.newView()
	for _, target := range s.view.Snapshot.Service("svc").AllTargets {
		s.targets[target.Name] = &simTarget{TargetIndex: target}
	}
	for i := range vms {
		s.vms = append(s.vms, &simVM{
			name: fmt.Sprintf("vm-%02d", i), region: simRegions[i%len(simRegions)], index: i,
			waiting: make(map[*WaitingRequest]*simRequest),
		})
	}
	return s
}

// newView returns a view of the targets and a document with a rule for the class of each stream.
func (s *overloadSim) newView() *discovery.View {
	doc := &config.Document{Services: []config.Service{{Name: "svc"}}, Hosts: []config.Host{{Name: "host"}}}
	var customers []customer.Customer
	for _, region := range simRegions {
		doc.Regions = append(doc.Regions, config.Region{Name: region, Zones: []string{region + "-a"}})
		for i := range 6 {
			doc.Services[0].Targets = append(doc.Services[0].Targets, config.Target{
				Name: fmt.Sprintf("%s-%d", region, i), Zone: region + "-a", Slots: simSlots,
			})
		}
	}
	for _, st := range s.streams {
		doc.Classes = append(doc.Classes, config.Class{Name: st.class, Priority: st.priority})
		doc.Hosts[0].Rules = append(doc.Hosts[0].Rules, config.Rule{
			Class: st.class, Parts: []config.Part{{Service: "svc", Weight: 1}},
			ObjectiveMS: config.Millis(st.objective.Milliseconds()),
		})
		if st.customer != "" {
			customers = append(customers, customer.Customer{Name: st.customer})
		}
	}
	v := &discovery.View{Snapshot: config.NewLiveSnapshot(1, doc)}
	if customers != nil {
		v.Snapshot.Customers = customer.NewDirectory(customers)
	}
	for i := range doc.Hosts[0].Rules {
		s.rule[doc.Hosts[0].Rules[i].Class] = &doc.Hosts[0].Rules[i]
	}
	return v
}

// run plays the streams.
func (s *overloadSim) run() {
	scope := overloadScopes(s.view.Snapshot)["svc"]
	for _, vm := range s.vms {
		vm.pool = NewPool(Options{Region: vm.region, Rand: s.rand, Overload: allOverloadControl})
		vm.pool.SetTargets(s.view.Snapshot.Service("svc"), s.view)
		if !vm.old {
			vm.pool.setOverloadScope(scope)
		}
		vm.aggregator = NewAggregator()
		vm.aggregator.decide = func(total *LoadReport, now time.Time) { s.setLimits(vm, total, now) }
		s.after(time.Duration(s.rand.Int64N(int64(ReportInterval))), func() { s.reportAlways(vm) })
	}
	s.updateTree()
	for _, st := range s.streams {
		s.after(st.from, func() { s.arrive(st) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *overloadSim) setLimits(vm *simVM, total *LoadReport, now time.Time) {
	u := total.usage("svc")
	var others map[string]overload.RegionLoad
	if s.others != nil {
		others = s.others(vm.region)
	}
	u.Limits, _ = vm.pool.Decide(u, others, now)
	u.Demand = nil
}

// updateTree computes the trees of the VMs that are not taken for lost.
func (s *overloadSim) updateTree() {
	names := make(map[string][]string)
	fleet := Fleet{}
	for _, vm := range s.vms {
		if !vm.silent {
			names[vm.region] = append(names[vm.region], vm.name)
			fleet.VMs = append(fleet.VMs, VM{vm.name, vm.region})
		}
	}
	for _, vm := range s.vms {
		if !vm.silent {
			position, _ := TreePositionOf(vm.name, names[vm.region])
			vm.aggregator.SetPosition(position)
			fleet.Self = vm.name
			vm.pool.SetFleet(fleet)
		}
	}
}

// silence stops a VM, with all that it has accepted.
func (s *overloadSim) silence(vm *simVM) {
	vm.silent = true
	s.after(simDetection, s.updateTree)
}

func (s *overloadSim) reportAlways(vm *simVM) {
	if vm.silent || s.now.Sub(start) > s.length {
		return
	}
	vm.aggregator.SetShort(vm.pool.overload.gate != nil && vm.pool.overload.gate.Short(s.now))
	s.after(vm.aggregator.Interval(), func() { s.reportAlways(vm) })
	s.report(vm)
}

func (s *overloadSim) report(vm *simVM) {
	vm.pool.expireUsage(s.now)
	next := vm.aggregator.Next(func() *LoadReport {
		u := vm.pool.ReportUsage()
		u.Demand = vm.pool.Demand(s.now)
		return &LoadReport{Services: map[string]*Usage{"svc": u}}
	}, s.now)
	if next.Total {
		vm.pool.ApplyUsage(next.Report.usage("svc"), next.Report.TTL, s.now)
	}
	for _, name := range next.To {
		s.deliver(vm, s.byName(name), next)
	}
}

func (s *overloadSim) byName(name string) *simVM {
	for _, vm := range s.vms {
		if vm.name == name {
			return vm
		}
	}
	s.t.Fatalf("no VM %s", name)
	return nil
}

func (s *overloadSim) deliver(from, to *simVM, r OutgoingReport) {
	if s.dropped != nil && s.dropped(from, to) {
		return
	}
	s.after(simWithin, func() {
		switch {
		case to.silent:
		case r.Total:
			s.receiveTotal(from, to, r)
		case to.aggregator.Receive(from.name, r.Report, s.now) && !to.gathering:
			to.gathering = true
			s.after(to.aggregator.Gather(), func() {
				to.gathering = false
				if !to.silent {
					s.report(to)
				}
			})
		}
	})
}

func (s *overloadSim) receiveTotal(from, to *simVM, r OutgoingReport) {
	children, ok := to.aggregator.TotalRecipients(from.name)
	if !ok {
		return
	}
	to.pool.ApplyUsage(r.Report.usage("svc"), r.Report.TTL, s.now)
	for _, child := range children {
		s.deliver(to, s.byName(child), r)
	}
}

// arrive sends a stream's next request and schedules the one after it.
func (s *overloadSim) arrive(st *simStream) {
	if s.now.Sub(start) >= st.to {
		return
	}
	st.sent++
	q := &simRequest{stream: st, sentAt: s.now}
	if st.objects > 0 {
		q.object = fmt.Sprint(s.rand.IntN(st.objects))
	}
	s.call(q)
	s.after(time.Duration(s.rand.ExpFloat64()/st.perSecond*float64(time.Second)), func() { s.arrive(st) })
}

// call sends a request to a VM. Callers whose VM is silent turn to another one.
func (s *overloadSim) call(q *simRequest) {
	q.vm = s.randomVM()
	if q.stream.vm != nil {
		q.vm = q.stream.vm(s)
	}
	for q.vm.silent {
		q.vm = s.randomVM()
	}
	q.exclude = nil
	s.enqueue(q)
}

func (s *overloadSim) randomVM() *simVM { return s.vms[s.rand.IntN(len(s.vms))] }

func (s *overloadSim) enqueue(q *simRequest) {
	w := q.vm.pool.Enqueue(&Request{
		Key: q.object, Rule: s.rule[q.stream.class], Class: q.stream.class, Customer: q.stream.customer,
		Priority: q.stream.priority, Exclude: q.exclude, Arrived: s.now, Deadline: q.sentAt.Add(simTimeout),
	}, s.now)
	if w.Refused != nil {
		s.refuse(q, w.Refused)
		return
	}
	q.vm.waiting[w] = q
	s.serve(q.vm)
}

func (s *overloadSim) refuse(q *simRequest, r *Refusal) {
	q.stream.refusals++
	left := q.sentAt.Add(simTimeout).Sub(s.now)
	if q.retries > 0 || left <= 0 {
		return
	}
	q.retries++
	s.after(min(r.RetryAfter, left/3), func() { s.call(q) })
}

func (s *overloadSim) serve(vm *simVM) {
	if vm.silent {
		return
	}
	for _, w := range vm.pool.Serve(s.now) {
		q := vm.waiting[w]
		delete(vm.waiting, w)
		if w.Refused != nil {
			s.refuse(q, w.Refused)
		} else {
			s.send(q, w.Selected)
		}
	}
	if vm.scheduled || vm.pool.QueueLen() == 0 {
		return
	}
	vm.scheduled = true
	s.after(simServeEvery, func() {
		vm.scheduled = false
		s.serve(vm)
	})
}

func (s *overloadSim) send(q *simRequest, sel *Selection) {
	t := s.targets[sel.Target().Name]
	delay := simWithin
	if t.Region != q.vm.region {
		delay = simAcross
	}
	sentAt := s.now
	answer := func(r Result) {
		r.Load = &edge.Load{Running: t.running, Waiting: len(t.queue), Slots: t.Slots}
		s.after(delay, func() {
			r.Latency, r.Connect = s.now.Sub(sentAt), 2*delay
			s.answered(q, sel, r)
		})
	}
	run := func() {
		t.running++
		s.after(time.Duration((0.9+0.2*s.rand.Float64())*float64(q.stream.runTime)), func() {
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			answer(Result{})
		})
	}
	s.after(delay, func() {
		switch {
		case t.running < t.Slots:
			run()
		case len(t.queue) < simQueue:
			t.queue = append(t.queue, run)
		default:
			answer(Result{Shed: true})
		}
	})
}

func (s *overloadSim) answered(q *simRequest, sel *Selection, r Result) {
	if q.vm.silent {
		return
	}
	q.vm.pool.Release(sel, r, s.now)
	switch {
	case !r.Shed:
		if s.now.Sub(q.sentAt) <= q.stream.objective {
			q.stream.good++
		}
	case len(q.exclude) == 0:
		q.exclude = append(q.exclude, sel.Target().Name)
		s.enqueue(q)
	default:
		s.refuse(q, &Refusal{RetryAfter: minRetryAfter})
	}
	s.serve(q.vm)
}

// simEvent is a function that is called at a simulated time.
type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

func (s *overloadSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

// simEvents implements heap.Interface, with the next event first.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }

func (e simEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }

func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
