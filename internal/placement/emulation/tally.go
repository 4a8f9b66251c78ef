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

// earned is what a group of requests earned of what they could.
type earned struct {
	asked int
	worth float64
}

func (e *earned) part() float64 {
	if e.asked == 0 {
		return 1
	}
	return e.worth / float64(e.asked)
}

// tally collects what callers got.
type tally struct {
	load     *Load
	all      earned
	windows  []earned
	regions  map[string]*earned
	runs     map[string][]map[string]int // by region of the callers, window and region of the target
	took     []time.Duration
	inTime   int
	late     int
	refused  int
	failed   int
	shed     int
	arrivals int
	fresh    int

	lost          int
	leavingSince  map[path]time.Time // when the target announced to the VM that it leaves
	backoffUntil  map[path]time.Time // end of the backoff that the target asked of the VM
	afterLeaving  int
	duringBackoff int
}

// path is from a VM to a target.
type path struct {
	vm     *vm
	target *target
}

// arrive records that a request has reached a target.
func (t *tally) arrive(y *try, now time.Time) {
	w := path{y.vm, y.target}
	if at, ok := t.leavingSince[w]; ok && y.sent.After(at) {
		t.afterLeaving++
	}
	if y.sent.Before(t.backoffUntil[w]) {
		t.duringBackoff++
	}
}

func newTally(l *Load) tally {
	windows := int(l.Length/windowLength) + 1
	t := tally{
		load: l, regions: make(map[string]*earned), windows: make([]earned, windows), runs: make(map[string][]map[string]int),
		leavingSince: make(map[path]time.Time), backoffUntil: make(map[path]time.Time),
	}
	for _, r := range l.Regions {
		t.regions[r.Name] = &earned{}
		t.runs[r.Name] = make([]map[string]int, windows)
		for i := range windows {
			t.runs[r.Name][i] = make(map[string]int)
		}
	}
	return t
}

func (t *tally) window(q *request) *earned { return &t.windows[q.asked.Sub(start)/windowLength] }

func (t *tally) ask(q *request) {
	t.all.asked++
	t.window(q).asked++
	t.regions[q.region].asked++
}

// run records where a request runs.
func (t *tally) run(y *try, now time.Time) {
	if i := int(now.Sub(start) / windowLength); i < len(t.windows) {
		t.runs[y.req.region][i][y.target.region]++
	}
}

// mostShifted returns the largest part of a region's requests that changed the
// region in which they run from one window to the next.
func (t *tally) mostShifted() float64 {
	most := 0.0
	for _, windows := range t.runs {
		for i := 1; i < len(windows)-1; i++ {
			most = max(most, shifted(windows[i-1], windows[i]))
		}
	}
	return most
}

const (
	// certainty is how many standard deviations a share must differ for the
	// difference to count as shown.
	certainty = 3
	// maxShareDeviation is the largest standard deviation of one request's membership
	// in a share, which is that of one half.
	maxShareDeviation = 0.5
)

// endShift returns the largest part of a region's requests that is shown to have
// changed the region when callers stop: the last window holds only what was under
// way then. A difference within what so few requests can show does not count.
func (t *tally) endShift() float64 {
	most := 0.0
	for _, windows := range t.runs {
		last := len(windows) - 1
		if total(windows[last]) == 0 || total(windows[last-1]) == 0 {
			continue
		}
		deviation := maxShareDeviation / math.Sqrt(float64(total(windows[last])))
		most = max(most, shifted(windows[last-1], windows[last])-certainty*deviation)
	}
	return most
}

// shifted returns by how much two windows' shares of the regions differ.
func shifted(before, after map[string]int) float64 {
	was, is := total(before), total(after)
	if was == 0 || is == 0 {
		return 0
	}
	gained := 0.0
	for region, n := range after {
		gained += max(0, float64(n)/float64(is)-float64(before[region])/float64(was))
	}
	return gained
}

func total(runs map[string]int) int {
	n := 0
	for _, k := range runs {
		n += k
	}
	return n
}

func (t *tally) decide(q *request, o outcome, now time.Time) {
	if q.crashing != nil {
		return
	}
	worth := 0.0
	switch o {
	case outcomeRefused:
		t.refused++
	case outcomeFailed:
		t.failed++
	case outcomeAnswered:
		took := now.Sub(q.asked)
		t.took = append(t.took, took)
		if took <= t.load.Objective {
			t.inTime++
			worth = 1
		} else {
			t.late++
			worth = t.load.LateWorth
		}
	}
	t.all.worth += worth
	t.window(q).worth += worth
	t.regions[q.region].worth += worth
}

// minWindowShare is the share of the mean number of requests that a window needs to
// count, as the last one is cut short.
const minWindowShare = 0.5

func (t *tally) summary(policy placement.Policy, targets []*target) *Result {
	r := &Result{
		Load: t.load.Name, Policy: policy, Asked: t.all.asked, InTime: t.inTime, Late: t.late, Refused: t.refused, Failed: t.failed,
		Shed: t.shed, Arrivals: t.arrivals, Fresh: t.fresh, Worth: t.all.part(), WorstWindow: 1, WorstRegion: 1,
		Busiest: busiest(targets), MostShifted: t.mostShifted(), EndShift: t.endShift(),
		Lost: t.lost, AfterLeaving: t.afterLeaving, DuringBackoff: t.duringBackoff,
	}
	for i := range t.windows {
		if float64(t.windows[i].asked) >= minWindowShare*float64(t.all.asked)/float64(len(t.windows)) {
			r.WorstWindow = min(r.WorstWindow, t.windows[i].part())
		}
	}
	for _, e := range t.regions {
		r.WorstRegion = min(r.WorstRegion, e.part())
	}
	slices.Sort(t.took)
	if n := len(t.took); n > 0 {
		r.Median = t.took[n/2]
		r.P99 = t.took[n*99/100]
	}
	return r
}

// busiest returns the most arrivals at a target that stayed, against the mean
// of those of its region.
func busiest(targets []*target) float64 {
	sums := make(map[string]earned)
	for _, t := range targets {
		if !t.gone {
			s := sums[t.region]
			sums[t.region] = earned{asked: s.asked + 1, worth: s.worth + float64(t.arrivals)}
		}
	}
	most := 0.0
	for _, t := range targets {
		if s := sums[t.region]; !t.gone && s.worth > 0 {
			most = max(most, float64(t.arrivals)*float64(s.asked)/s.worth)
		}
	}
	return most
}
