package emulation

import (
	"math"
	"slices"
	"time"

	"masticturn/internal/placement"
)

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeFailed
)

// average accumulates values, such as the worth of requests, for their mean.
type average struct {
	count int
	sum   float64
}

// mean returns the mean, or 1 if there are no values.
func (a *average) mean() float64 {
	if a.count == 0 {
		return 1
	}
	return a.sum / float64(a.count)
}

// tally collects the data for a Result.
type tally struct {
	workload  *Workload
	all       average
	windows   []average
	regions   map[string]*average
	runs      map[string][]map[string]int // number by callers' region, window and target's region
	latencies []time.Duration
	inTime    int
	late      int
	refused   int
	failed    int
	shed      int
	arrivals  int
	coldRuns  int

	crashes       int
	leavingSince  map[vmTarget]time.Time // when the VM learned that the target is leaving
	backoffUntil  map[vmTarget]time.Time // end of the backoff that the target requested from the VM
	afterLeaving  int
	duringBackoff int
}

// vmTarget is a pair of a VM and a target.
type vmTarget struct {
	vm     *vm
	target *target
}

// recordArrival counts arrivals that the target's earlier notices should have prevented.
func (t *tally) recordArrival(a *attempt, now time.Time) {
	key := vmTarget{a.vm, a.target}
	if at, ok := t.leavingSince[key]; ok && a.sentAt.After(at) {
		t.afterLeaving++
	}
	if a.sentAt.Before(t.backoffUntil[key]) {
		t.duringBackoff++
	}
}

func newTally(w *Workload) tally {
	windows := int(w.Length/windowLength) + 1
	t := tally{
		workload: w, regions: make(map[string]*average), windows: make([]average, windows), runs: make(map[string][]map[string]int),
		leavingSince: make(map[vmTarget]time.Time), backoffUntil: make(map[vmTarget]time.Time),
	}
	for _, r := range w.Regions {
		t.regions[r.Name] = &average{}
		t.runs[r.Name] = make([]map[string]int, windows)
		for i := range windows {
			t.runs[r.Name][i] = make(map[string]int)
		}
	}
	return t
}

func (t *tally) windowOf(q *request) *average {
	return &t.windows[q.sentAt.Sub(startTime)/windowLength]
}

func (t *tally) recordRequest(q *request) {
	t.all.count++
	t.windowOf(q).count++
	t.regions[q.region].count++
}

// recordRun records the region in which a request runs.
func (t *tally) recordRun(a *attempt, now time.Time) {
	if i := int(now.Sub(startTime) / windowLength); i < len(t.windows) {
		t.runs[a.req.region][i][a.target.region]++
	}
}

// maxShift returns the largest share of a region's requests that moved to other regions from one
// window to the next.
func (t *tally) maxShift() float64 {
	largest := 0.0
	for _, windows := range t.runs {
		for i := 1; i < len(windows)-1; i++ {
			largest = max(largest, shiftBetween(windows[i-1], windows[i]))
		}
	}
	return largest
}

const (
	// significantDeviations is the number of standard deviations above which a difference of
	// shares is significant.
	significantDeviations = 3
	// maxShareDeviation is the largest standard deviation of a Bernoulli variable, reached at
	// a probability of one half.
	maxShareDeviation = 0.5
)

// finalShift returns the largest share of a region's requests that moved to other regions when
// callers stopped. The last window contains only runs of requests that were in flight then, so
// the sampling error of these few is subtracted.
func (t *tally) finalShift() float64 {
	largest := 0.0
	for _, windows := range t.runs {
		last := len(windows) - 1
		if sumRuns(windows[last]) == 0 || sumRuns(windows[last-1]) == 0 {
			continue
		}
		deviation := maxShareDeviation / math.Sqrt(float64(sumRuns(windows[last])))
		largest = max(largest, shiftBetween(windows[last-1], windows[last])-significantDeviations*deviation)
	}
	return largest
}

// shiftBetween returns the share of runs that moved between regions from one window to another.
// The arguments are the numbers of runs by region.
func shiftBetween(before, after map[string]int) float64 {
	totalBefore, totalAfter := sumRuns(before), sumRuns(after)
	if totalBefore == 0 || totalAfter == 0 {
		return 0
	}
	gained := 0.0
	for region, n := range after {
		gained += max(0, float64(n)/float64(totalAfter)-float64(before[region])/float64(totalBefore))
	}
	return gained
}

func sumRuns(runs map[string]int) int {
	n := 0
	for _, k := range runs {
		n += k
	}
	return n
}

func (t *tally) recordOutcome(q *request, o outcome, now time.Time) {
	if q.crash != nil {
		return
	}
	worth := 0.0
	switch o {
	case outcomeRefused:
		t.refused++
	case outcomeFailed:
		t.failed++
	case outcomeAnswered:
		latency := now.Sub(q.sentAt)
		t.latencies = append(t.latencies, latency)
		if latency <= t.workload.Objective {
			t.inTime++
			worth = 1
		} else {
			t.late++
			worth = t.workload.LateWorth
		}
	}
	t.all.sum += worth
	t.windowOf(q).sum += worth
	t.regions[q.region].sum += worth
}

// minWindowShare is the share of the mean number of requests that a window needs to count for
// WorstWindow, as the last window is shorter than the others.
const minWindowShare = 0.5

func (t *tally) summary(policy placement.Policy, targets []*target) *Result {
	r := &Result{
		Workload: t.workload.Name, Policy: policy, Requests: t.all.count, InTime: t.inTime, Late: t.late, Refused: t.refused, Failed: t.failed,
		Shed: t.shed, Arrivals: t.arrivals, ColdRuns: t.coldRuns, Worth: t.all.mean(), WorstWindow: 1, WorstRegion: 1,
		BusiestTarget: busiestTarget(targets), MaxShift: t.maxShift(), FinalShift: t.finalShift(),
		Crashes: t.crashes, AfterLeaving: t.afterLeaving, DuringBackoff: t.duringBackoff,
	}
	for i := range t.windows {
		if float64(t.windows[i].count) >= minWindowShare*float64(t.all.count)/float64(len(t.windows)) {
			r.WorstWindow = min(r.WorstWindow, t.windows[i].mean())
		}
	}
	for _, e := range t.regions {
		r.WorstRegion = min(r.WorstRegion, e.mean())
	}
	slices.Sort(t.latencies)
	if n := len(t.latencies); n > 0 {
		r.Median = t.latencies[n/2]
		r.P99 = t.latencies[n*99/100]
	}
	return r
}

// busiestTarget returns the largest number of arrivals at a target, divided by the mean of its
// region. Removed targets are left out.
func busiestTarget(targets []*target) float64 {
	sums := make(map[string]average)
	for _, t := range targets {
		if !t.removed {
			s := sums[t.region]
			sums[t.region] = average{count: s.count + 1, sum: s.sum + float64(t.arrivals)}
		}
	}
	largest := 0.0
	for _, t := range targets {
		if s := sums[t.region]; !t.removed && s.sum > 0 {
			largest = max(largest, float64(t.arrivals)*float64(s.count)/s.sum)
		}
	}
	return largest
}
