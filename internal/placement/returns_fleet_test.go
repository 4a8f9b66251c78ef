package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
)

// returnFleet plays VMs, their targets and callers that return as told, in steps of a millisecond. Callers
// have 2 s and an objective of 400 ms.
type returnFleet struct {
	pools   []*Pool
	targets map[string]*returnTarget
	run     time.Duration
	rand    *rand.Rand
	once    bool           // callers return only once
	returns []returnCaller // to come
	waiting map[*WaitingRequest]returnCaller

	callers, served, unserved int
	refusals, lateRefusals    int         // lateRefusals: after a wait of more than returnToldAtOnce
	returnsAt                 []time.Time // times of all returns
}

type returnCaller struct {
	at, deadline time.Time
	returns      int
	exclude      []string // targets that were full
}

type returnTarget struct {
	slots          int
	running, queue []*returnRun
}

type returnRun struct {
	pool             *Pool
	sel              *Selection
	caller           returnCaller
	sentAt, finishAt time.Time
}

const (
	returnSlots   = 4
	returnTimeout = 2 * time.Second
	// returnToldAtOnce is the longest wait after which a caller counts as told at once.
	returnToldAtOnce = 200 * time.Millisecond
	// returnQueue is the length of a target's queue.
	returnQueue = 6
)

func newReturnFleet(t *testing.T, vms, targets int, run time.Duration, seed uint64) *returnFleet {
	f := &returnFleet{targets: make(map[string]*returnTarget), waiting: make(map[*WaitingRequest]returnCaller), run: run, rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range vms {
		view, svc := targetLayout{perRegion: map[string]int{"ros": targets}, slots: returnSlots}.view(t)
		o := testOptions("ros")
		o.Rand = rand.New(rand.NewPCG(seed, uint64(i)+2))
		p := NewPool(o)
		p.SetTargets(svc, view)
		p.runTimes = runTimes{cached: movingAverage(run), uncached: movingAverage(run)}
		f.pools = append(f.pools, p)
		for _, target := range svc.AllTargets {
			f.targets[target.Name] = &returnTarget{slots: target.Slots}
		}
	}
	return f
}

// play sends rate requests/s for a time, and goes on until all callers are served or refused.
func (f *returnFleet) play(rate float64, length time.Duration) {
	due := 0.0
	for ms := range (length + 2*returnTimeout).Milliseconds() {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		f.finishRuns(now)
		if ms%ReportInterval.Milliseconds() == 0 {
			f.report(now)
		}
		if now.Sub(start) < length {
			for due += rate / 1000; due >= 1; due-- {
				f.callers++
				f.arrive(returnCaller{at: now, deadline: now.Add(returnTimeout)}, now)
			}
		}
		var arriving []returnCaller
		f.returns = slices.DeleteFunc(f.returns, func(c returnCaller) bool {
			if c.at.After(now) {
				return false
			}
			arriving = append(arriving, c)
			return true
		})
		for _, c := range arriving {
			f.arrive(c, now)
		}
		if ms%serveInterval.Milliseconds() == 0 {
			for _, p := range f.pools {
				f.serve(p, now)
			}
		}
	}
}

// report passes the usage of all VMs to all of them.
func (f *returnFleet) report(now time.Time) {
	total := newUsage()
	for _, p := range f.pools {
		total.addRunning(p.ReportUsage())
	}
	for _, p := range f.pools {
		p.ApplyUsage(total, 3*ReportInterval, now)
	}
}

// arrive delivers a request to a random VM.
func (f *returnFleet) arrive(c returnCaller, now time.Time) {
	c.at = now
	f.enqueue(f.pools[f.rand.IntN(len(f.pools))], c, now)
}

func (f *returnFleet) enqueue(p *Pool, c returnCaller, now time.Time) {
	w := p.Enqueue(&Request{
		Priority: 1, Arrived: c.at, Deadline: c.deadline, Exclude: c.exclude,
		Rule: &config.Rule{Name: "r", ObjectiveMS: 400},
	}, now)
	if w.Refused != nil {
		f.refused(w, c, now)
		return
	}
	f.waiting[w] = c
	f.serve(p, now)
}

func (f *returnFleet) serve(p *Pool, now time.Time) {
	for _, w := range p.Serve(now) {
		c := f.waiting[w]
		delete(f.waiting, w)
		if w.Refused != nil {
			f.refused(w, c, now)
			continue
		}
		r := &returnRun{pool: p, sel: w.Selected, sentAt: now, caller: c}
		t := f.targets[w.Selected.index.Name]
		switch {
		case len(t.running) < t.slots:
			r.finishAt = now.Add(f.run)
			t.running = append(t.running, r)
		case len(t.queue) < returnQueue:
			t.queue = append(t.queue, r)
		default:
			p.Release(r.sel, Result{Load: t.load(), Shed: true}, now)
			c.exclude = append(slices.Clone(c.exclude), r.sel.index.Name)
			f.enqueue(p, c, now)
		}
	}
}

func (t *returnTarget) load() *edge.Load {
	return &edge.Load{Running: len(t.running), Waiting: len(t.queue), Slots: t.slots}
}

// refused lets the caller return as told.
func (f *returnFleet) refused(w *WaitingRequest, c returnCaller, now time.Time) {
	f.refusals++
	if now.Sub(c.at) > returnToldAtOnce {
		f.lateRefusals++
	}
	left := c.deadline.Sub(now)
	if f.once && c.returns == 1 || left < f.run {
		f.unserved++
		return
	}
	c.at, c.exclude = now.Add(min(w.Refused.RetryAfter, left/3)), nil
	c.returns++
	f.returnsAt = append(f.returnsAt, c.at)
	f.returns = append(f.returns, c)
}

// finishRuns ends the runs whose time has come and starts queued ones.
func (f *returnFleet) finishRuns(now time.Time) {
	for _, name := range sortedKeys(f.targets) {
		t := f.targets[name]
		ended := slices.Clone(t.running)
		t.running = slices.DeleteFunc(t.running, func(r *returnRun) bool { return !r.finishAt.After(now) })
		for len(t.running) < t.slots && len(t.queue) > 0 {
			r := t.queue[0]
			t.queue = t.queue[1:]
			r.finishAt = now.Add(f.run)
			t.running = append(t.running, r)
		}
		for _, r := range ended {
			if r.finishAt.After(now) {
				continue
			}
			r.pool.Release(r.sel, Result{Load: t.load(), Latency: now.Sub(r.sentAt)}, now)
			if now.After(r.caller.deadline) {
				f.unserved++
			} else {
				f.served++
			}
			f.serve(r.pool, now)
		}
	}
}

func sortedKeys(m map[string]*returnTarget) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// A burst of 1.3 times the capacity for 2 s must be served if callers return as told while they have the time
// of a run left.
func TestBurstIsServedByReturns(t *testing.T) { testBurst(t, false) }

// The burst must be served although callers return only once.
func TestBurstIsServedByOneReturn(t *testing.T) { testBurst(t, true) }

func testBurst(t *testing.T, once bool) {
	const unservedMax = 6
	for _, vms := range []int{1, 6, 24} {
		f := newReturnFleet(t, vms, 20, 140*time.Millisecond, 1) // capacity for 571/s
		f.once = once
		f.play(742, 2*time.Second)
		t.Logf("%d VMs, %d callers: %d served, %d not", vms, f.callers, f.served, f.unserved)
		if f.unserved > unservedMax || f.served+f.unserved != f.callers {
			t.Errorf("%d VMs, %d callers: %d served, %d not; want %d or fewer not served", vms, f.callers, f.served, f.unserved, unservedMax)
		}
	}
}

// At twice the capacity for 3 s many callers can't be served. All refusals must come at once, and more
// callers be served than with Retry-After by the queue's length: 2056 and 1993 with 6 and 24 VMs.
func TestCallersBeyondTheCapacityAreToldAtOnce(t *testing.T) {
	for _, vms := range []int{6, 24} {
		f := newReturnFleet(t, vms, 20, 140*time.Millisecond, 1) // capacity for 571/s
		f.once = true
		f.play(1142, 3*time.Second)
		t.Logf("%d VMs, %d callers: %d served, %d not", vms, f.callers, f.served, f.unserved)
		if f.lateRefusals > 0 {
			t.Errorf("%d VMs: %d of %d refusals came after more than %v", vms, f.lateRefusals, f.refusals, returnToldAtOnce)
		}
		if f.served < 2150 || f.served+f.unserved != f.callers {
			t.Errorf("%d VMs, %d callers: %d served, %d not; want 2150 served", vms, f.callers, f.served, f.unserved)
		}
	}
}

// Returns must come spread whatever the number of VMs that plan them.
func TestReturnsAreSpreadOverTheFleet(t *testing.T) {
	const interval = 100 * time.Millisecond // capacity for 57
	for _, vms := range []int{6, 24} {
		f := newReturnFleet(t, vms, 20, 140*time.Millisecond, 1)
		f.once = true
		f.play(742, 2*time.Second)
		perInterval := make(map[time.Duration]int)
		most := 0
		for _, at := range f.returnsAt {
			i := at.Sub(start) / interval
			perInterval[i]++
			most = max(most, perInterval[i])
		}
		if most > 57 {
			t.Errorf("%d VMs: %d of %d returns in %v, which has capacity for 57", vms, most, len(f.returnsAt), interval)
		}
	}
}
