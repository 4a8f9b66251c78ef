package bench

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/promise"
	"masticturn/internal/steering"
)

// SteeringRun is what one policy did in a scenario. Classes and times are of
// what was sent after the warm-up.
type SteeringRun struct {
	Policy           steering.PolicyName `json:"policy"`
	Seconds          float64             `json:"seconds"`
	CapExceeded      int                 `json:"cap_exceeded"`      // shifts beyond a cap, in the worst windows
	RegionOverloaded int                 `json:"region_overloaded"` // requests that came to a region whose slots were all taken
	TargetFull       int                 `json:"target_full"`       // requests that came to a target whose slots were all taken
	Attempts         int                 `json:"attempts"`          // requests that reached targets
	Shifted          int                 `json:"shifted"`           // of them, to another region than the caller's
	ShareShifted     float64             `json:"share_shifted"`
	Classes          []SteeringClass     `json:"classes"` // by priority
	Regions          []SteeringRegion    `json:"regions"`
	SettleMS         float64             `json:"settle_ms"` // from the event until the share answered of the first class stays
	Reversals        int                 `json:"reversals"` // turns of the shifted share, by more than reversalSize
	Overruns         int                 `json:"overruns"`  // not sent, because callers had too many open
	Promises         promise.Report      `json:"promises"`
	Series           []SteeringPoint     `json:"series"`
	EventMS          int64               `json:"event_ms"` // length of the event, which begins with the end of the warm-up
	Use              []SteeringUse       `json:"use"`      // by region
	Shifts           []SteeringShift     `json:"shifts"`   // by cap
}

// SteeringClass is what became of the requests of a class.
type SteeringClass struct {
	Class         string  `json:"class"`
	Requests      int     `json:"requests"`
	Answered      int     `json:"answered"`
	NotRun        int     `json:"not_run"`
	Unknown       int     `json:"unknown"`
	ShareAnswered float64 `json:"share_answered"`
	P50MS         float64 `json:"p50_ms"` // of those answered
	P99MS         float64 `json:"p99_ms"`
	P999MS        float64 `json:"p999_ms"`
}

// SteeringRegion is the use of a region's slots.
type SteeringRegion struct {
	Region       string  `json:"region"`
	Slots        int     `json:"slots"`
	Utilisation  float64 `json:"utilisation"`   // mean over the measured time
	HeadroomKept float64 `json:"headroom_kept"` // part of the slots that was free in the busiest second
}

// SteeringPoint is one step of the run.
type SteeringPoint struct {
	AtMS          int64   `json:"at_ms"` // since the end of the warm-up
	Requests      int     `json:"requests"`
	ShareAnswered float64 `json:"share_answered"` // of the first class
	ShareShifted  float64 `json:"share_shifted"`
}

// newSteeringRun reads the run off the notes of the callers and the logs of
// the targets, never from the daemons.
func newSteeringRun(l *steeringLoad, policy steering.PolicyName) *SteeringRun {
	tries := l.cluster.Notes.Tries()
	check := newSteeringCheck(l, tries, l.cluster.Log.Records())
	requests := requestsOf(tries)
	run := &SteeringRun{
		Policy:   policy,
		Seconds:  time.Since(l.began).Seconds(),
		Attempts: len(check.arrivals),
		Overruns: l.cluster.Notes.Overruns(),
		Promises: l.cluster.Check(),
		Classes:  steeringClasses(l, requests),
	}
	run.CapExceeded = check.capExceeded()
	run.RegionOverloaded, run.TargetFull = check.overloaded()
	run.Shifted = check.shifted()
	run.ShareShifted = float64(run.Shifted) / float64(max(1, run.Attempts))
	run.Regions = check.regions()
	run.Series = check.series(requests)
	run.EventMS = l.sc.event.Milliseconds()
	run.Use = check.use()
	run.Shifts = check.shifts()
	run.SettleMS = settleTime(run.Series, l.sc.event)
	run.Reversals = reversals(run.Series)
	return run
}

func (l *steeringLoad) measured(at time.Time) bool { return !at.Before(l.began.Add(l.sc.warm)) }

func steeringClasses(l *steeringLoad, requests []caller.Note) []SteeringClass {
	classes := slices.Clone(l.cluster.Document.Classes)
	slices.SortFunc(classes, func(a, b classOf) int { return cmp.Compare(a.Priority, b.Priority) })
	var out []SteeringClass
	for _, c := range classes {
		out = append(out, steeringClass(l, requests, c.Name))
	}
	return out
}

func steeringClass(l *steeringLoad, requests []caller.Note, class string) SteeringClass {
	r := SteeringClass{Class: class}
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range requests {
		n := &requests[i]
		if n.Class != class || !l.measured(n.Started) {
			continue
		}
		r.Requests++
		switch n.Told {
		case caller.ToldAnswered:
			r.Answered++
			_ = latency.RecordValue(n.Ended.Sub(n.Started).Microseconds())
		case caller.ToldNotRun:
			r.NotRun++
		default:
			r.Unknown++
		}
	}
	r.ShareAnswered = float64(r.Answered) / float64(max(1, r.Requests))
	r.P50MS = float64(latency.ValueAtQuantile(50)) / microsPerMilli
	r.P99MS = float64(latency.ValueAtQuantile(99)) / microsPerMilli
	r.P999MS = float64(latency.ValueAtQuantile(99.9)) / microsPerMilli
	return r
}

// requestsOf joins the tries of each request: it starts with the first one
// and ends, with what was told, with the last one.
func requestsOf(tries []caller.Note) []caller.Note {
	sorted := slices.Clone(tries)
	slices.SortFunc(sorted, func(a, b caller.Note) int { return a.Started.Compare(b.Started) })
	index := make(map[string]int)
	var out []caller.Note
	for _, n := range sorted {
		id := n.RequestID[:strings.LastIndexByte(n.RequestID, '-')]
		at, known := index[id]
		if !known {
			index[id] = len(out)
			out = append(out, n)
			continue
		}
		out[at].Told, out[at].Ended = n.Told, n.Ended
	}
	return out
}

// Steps of the series, and what counts as settled and as a turn.
const (
	seriesStep   = 500 * time.Millisecond
	settledBand  = 0.05
	settledLast  = 4 // steps whose mean is where the share stays
	reversalSize = 0.05
)

// settleTime returns how long after the warm-up the share answered of the
// first class comes to stay where it is at the end of the event.
func settleTime(series []SteeringPoint, event time.Duration) float64 {
	n := min(len(series), int(event/seriesStep))
	if n < settledLast {
		return 0
	}
	final := 0.0
	for _, p := range series[n-settledLast : n] {
		final += p.ShareAnswered / settledLast
	}
	settled := 0
	for i, p := range series[:n] {
		if p.ShareAnswered < final-settledBand || p.ShareAnswered > final+settledBand {
			settled = i + 1
		}
	}
	return float64((time.Duration(settled) * seriesStep).Milliseconds())
}

// reversals counts the turns of the shifted share from rising to falling and
// back, beyond the first rise and the fall after it.
func reversals(series []SteeringPoint) int {
	turns, direction, extreme := 0, 0, 0.0
	for _, p := range series {
		moved := p.ShareShifted - extreme
		switch {
		case direction >= 0 && moved > 0 || direction <= 0 && moved < 0:
			extreme = p.ShareShifted
		}
		if d := sign(moved); moved*float64(d) > reversalSize && d != direction {
			turns++
			direction = d
			extreme = p.ShareShifted
		}
	}
	const riseAndFall = 2
	return max(0, turns-riseAndFall)
}

func sign(f float64) int {
	if f < 0 {
		return -1
	}
	return 1
}
