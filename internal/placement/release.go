package placement

import (
	"time"

	"masticturn/internal/edge"
)

// Consecutive failures that bar a target, and for how long.
const (
	barAfter = 2
	barFirst = 500 * time.Millisecond
	maxBar   = 4 * time.Second
	// barDoublings is the number of doublings from barFirst to maxBar.
	barDoublings = 3
	// minShedBar is the shortest time that a full target is barred.
	minShedBar = 100 * time.Millisecond
)

// Result is how a request at a target ended.
type Result struct {
	Load    *edge.Load    // reported by the target; nil: none
	Connect time.Duration // opening a connection; 0: none was opened
	Latency time.Duration // from sending to the end of the answer
	Failed  bool          // connection or answer failed
	Shed    bool          // refused for lack of room
	Gone    bool          // another instance has its address
	Ended   bool          // the connection was refused
	Left    bool          // canceled by the caller; no sign of the target's health
}

// shedTime is how long a full target is barred: until about one slot is free again.
func (p *Pool) shedTime(t *targetState) time.Duration {
	return max(minShedBar, p.runs.expect(true, 0)/time.Duration(max(1, t.Slots)))
}

// Release records the end of a request. It returns how long the target is barred for it;
// 0: it is not.
func (p *Pool) Release(at *Selection, r Result, now time.Time) (barred time.Duration) {
	t := at.target
	t.own--
	if r.Load != nil {
		t.report(r.Load, t.own, p.reportTTL(t, r.Load), now)
	}
	if r.Connect > 0 {
		p.recordRoundTrip(t.Region, r.Connect)
	}
	if r.Ended {
		t.endedUntil = now.Add(endedTTL)
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
			barred = min(barFirst<<min(t.failures-barAfter, barDoublings), maxBar)
			t.barredUntil = now.Add(barred)
		}
	default:
		t.failures = 0
		t.answered(p.coldTime, now)
		p.recordRun(at, r.Latency, now)
	}
	return barred
}

// reportTTL returns the validity of a target's load report: a multiple of the time that
// the reported load takes to run. VMs that dropped it sooner would refill a long queue.
func (p *Pool) reportTTL(t *targetState, load *edge.Load) time.Duration {
	if t.Slots == 0 {
		return minReportTTL
	}
	runs := reportRuns * float64(max(1, load.Running+load.Waiting-t.own)) / float64(t.Slots)
	return max(minReportTTL, time.Duration(runs*float64(p.runs.expect(true, 0))))
}

func (p *Pool) recordRoundTrip(region string, d time.Duration) {
	m := p.roundTrips[region]
	m.observe(d)
	p.roundTrips[region] = m
}

// recordRun records a run time, except of requests that queued at the target.
func (p *Pool) recordRun(at *Selection, took time.Duration, now time.Time) {
	if at.queued {
		return
	}
	took = max(took-time.Duration(p.roundTrips[at.target.Region]), time.Millisecond)
	if plain := p.runs.expect(true, 0); at.known && plain > 0 {
		at.target.slow.observe(float64(took)/float64(plain), now)
	}
	if !at.target.cold(now) {
		p.runs.observe(at.known, at.rank, took)
	}
}
