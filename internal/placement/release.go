package placement

import (
	"time"

	"masticturn/internal/edge"
)

// Ejection of targets: a target that fails repeatedly or is full gets no requests for some
// time.
const (
	// failuresToEject is the number of consecutive failures after which a target is ejected.
	failuresToEject = 2
	// baseEjection is the first ejection time; each further failure doubles it up to
	// maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 4 * time.Second
	// maxEjectionDoublings is the number of doublings from baseEjection to maxEjection.
	maxEjectionDoublings = 3
	// minShedEjection is the shortest ejection of a full target.
	minShedEjection = 100 * time.Millisecond
)

// Result is the result of a request at a target.
type Result struct {
	Load              *edge.Load    // load reported by the target; nil: none
	Connect           time.Duration // time to open a connection; 0: none was opened
	Latency           time.Duration // from sending to the end of the answer
	Failed            bool          // the connection or the answer failed
	Shed              bool          // the target refused it because it was full
	Misdirected       bool          // another instance has the target's address
	ConnectionRefused bool          // the connection was refused
	Canceled          bool          // canceled by the caller; says nothing about the target's health
}

// shedEjection returns how long a full target is ejected: about the time until one of its
// slots is free.
func (p *Pool) shedEjection(t *targetState) time.Duration {
	return max(minShedEjection, p.runTimes.expect(true, 0)/time.Duration(max(1, t.Slots)))
}

// Release records the end of a request. It returns for how long the target is ejected
// because of failures; 0 if it is not.
func (p *Pool) Release(sel *Selection, r Result, now time.Time) (ejected time.Duration) {
	t := sel.target
	t.ownRequests--
	if t.ownRequests == 0 {
		delete(p.inUse, t)
	}
	if sel.usesSpare {
		p.spare.release(sel.index.Region)
	}
	if r.Load != nil {
		t.applyReport(r.Load, t.ownRequests, p.reportTTL(t, r.Load), now)
	}
	if r.Connect > 0 {
		p.recordRoundTrip(t.Region, r.Connect)
	}
	if r.ConnectionRefused {
		t.restartingUntil = now.Add(restartTTL)
		t.failedAt = now
	}
	switch {
	case r.Canceled:
	case r.Misdirected:
		t.replaced = true
	case r.Shed:
		t.ejectedUntil = now.Add(p.shedEjection(t))
	case r.Failed:
		t.failures++
		t.failedAt = now
		if t.failures >= failuresToEject {
			ejected = min(baseEjection<<min(t.failures-failuresToEject, maxEjectionDoublings), maxEjection)
			t.ejectedUntil = now.Add(ejected)
		}
	default:
		p.observeRun(sel, r.Latency, now)
		t.failures = 0
		t.recordSuccess(p.coldDuration, now)
		p.returns.recordCompletion(now)
		p.recordClassRun(sel, &r, now)
		p.recordRun(sel, &r, now)
	}
	return ejected
}

// reportTTL returns how long a target's load report is valid: a multiple of the time that
// the target needs to run the reported load. If reports expired sooner, VMs would send more
// requests to a target whose queue is still long.
func (p *Pool) reportTTL(t *targetState, load *edge.Load) time.Duration {
	if t.Slots == 0 {
		return minReportTTL
	}
	queueRuns := reportTTLRuns * float64(max(1, load.Running+load.Waiting-t.ownRequests)) / float64(t.Slots)
	return max(minReportTTL, time.Duration(queueRuns*float64(p.runTimes.expect(true, 0))))
}

// recordRoundTrip records the time to connect to a target of a region as its round-trip time.
func (p *Pool) recordRoundTrip(region string, d time.Duration) {
	m := p.roundTrips[region]
	m.observe(d)
	p.roundTrips[region] = m
}

// recordRun records the run time of a request, without the work factor that the target reported with
// the answer. The means are of the time that a run takes at a target of mean speed. Requests that were queued at the target are left out, as their latency includes the wait.
func (p *Pool) recordRun(sel *Selection, r *Result, now time.Time) {
	t := sel.target
	runTime := max(r.Latency-time.Duration(p.roundTrips[t.Region]), time.Millisecond)
	runTime = time.Duration(float64(runTime) / t.workFactor.at(now))
	if !t.cold(now) {
		p.recordSpeed(sel, runTime, r.Load, now)
	}
	if sel.queued {
		return
	}
	if times, ok := p.observedTimesOf(sel.class); ok && sel.known && times.expect(true, 0) > 0 {
		t.slowness.observe(float64(runTime)/float64(times.expect(true, 0)), now)
	}
	if !t.cold(now) {
		usual := time.Duration(float64(runTime) / t.slowness.shared.at(now))
		p.runTimes.observe(sel.known, sel.rank, usual)
		p.classTimes.observe(sel.class, sel.known, sel.rank, usual)
	}
}

// ForgetFailures ends the ejections of targets that have failed since a time, and no longer takes them to be
// restarting.
func (p *Pool) ForgetFailures(since time.Time) {
	for _, t := range p.targets {
		if t.failedAt.IsZero() || t.failedAt.Before(since) {
			continue
		}
		t.failures = 0
		t.ejectedUntil, t.restartingUntil, t.failedAt = time.Time{}, time.Time{}, time.Time{}
	}
}
