package placement

import (
	"math"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
)

const (
	// minReportTTL is the minimum validity of a target's load report.
	minReportTTL = 600 * time.Millisecond
	// reportTTLRuns is the validity of a load report, in multiples of the time that the
	// target needs to run the reported load.
	reportTTLRuns = 1.5
)

// targetState is what this VM knows of one target instance.
type targetState struct {
	*config.TargetIndex
	id          uint32  // shortID of its name
	weight      float64 // in rankings: its slots, corrected for differences in speed
	listVersion uint64  // Pool.listVersion of the last list that had the target
	coldUntil   time.Time
	evacuated   bool
	slotWeight  float64 // weight of a slot in the ranking of an object's targets

	ownRequests      int           // requests of this VM at the target
	reportedRequests int           // requests of other VMs at the target's last load report
	peerRequests     int           // requests of the region's other VMs, by their load reports
	reportedAt       time.Time     // time of the target's last load report
	reportTTL        time.Duration // validity of that report

	notice            *notice   // what the target announced in its answers
	ejectedUntil      time.Time // no requests until then, after failures or a refusal
	failures          int       // consecutive failures
	failedAt          time.Time // last failure; zero: none
	replaced          bool      // another instance has its address
	restartingUntil   time.Time // set by a refused connection, cleared by an answer
	lastColdRequest   time.Time // last request of this VM while the target was cold
	coldSenderVersion uint64    // fleetVersion for which coldSenderRank was computed; 0: none
	coldSenderRank    int       // this VM's rank among the senders while the target is cold; -1: unknown
	lastRequest       time.Time // last request of this VM or another of the region
	objects           objects
	slowness          slowness
	workFactor        workFactor
}

// load estimates the number of running and queued requests at the target. The target's load
// reports and those of the region's VMs count the same requests, each incompletely, so the
// larger number is used.
func (t *targetState) load(now time.Time) int {
	return t.ownRequests + max(t.peerRequests, t.decayedReport(now))
}

// decayedReport estimates the requests of other VMs by the target's last load report. The
// number decays exponentially after the report's TTL, so that the target is tried again.
func (t *targetState) decayedReport(now time.Time) int {
	overdue := now.Sub(t.reportedAt) - t.reportTTL
	if overdue <= 0 || t.reportedRequests == 0 {
		return t.reportedRequests
	}
	return int(math.Round(float64(t.reportedRequests) * math.Exp(-float64(overdue)/float64(t.reportTTL))))
}

// applyReport applies a load report that includes own requests of this VM.
func (t *targetState) applyReport(load *edge.Load, own int, ttl time.Duration, now time.Time) {
	t.reportedRequests = max(0, load.Running+load.Waiting-own)
	t.reportedAt = now
	t.reportTTL = ttl
	t.workFactor.report(load.WorkPercent, now)
}

// reportAge returns the age of the last load report; -1 ms if there is none.
func (t *targetState) reportAge(now time.Time) time.Duration {
	if t.reportedAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(t.reportedAt)
}

// restartTTL is how long a target that refused a connection is taken to be restarting. The
// new process may answer under the old entry for that time.
const restartTTL = 10 * time.Second

// cold reports whether the target has started so recently that its request rate is limited.
// A target that refused a connection counts as cold before its new entry arrives.
func (t *targetState) cold(now time.Time) bool {
	return now.Before(t.coldUntil) || now.Before(t.restartingUntil)
}

// recordSuccess records a successful answer. After a refused connection it comes from a new
// process, which is cold from now on.
func (t *targetState) recordSuccess(coldDuration time.Duration, now time.Time) {
	if now.Before(t.restartingUntil) {
		t.coldUntil = later(t.coldUntil, now.Add(coldDuration))
	}
	t.restartingUntil = time.Time{}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxRequests returns the maximum number of requests at the target, running and queued.
func (t *targetState) maxRequests() int {
	return int(math.Ceil(float64(t.Slots) * (1 + maxQueuedPerSlot)))
}

// usable reports whether the target may get requests now.
func (t *targetState) usable(now time.Time) bool {
	return t.inService() && t.notice.accepting(now) && !now.Before(t.ejectedUntil)
}

// inService reports whether the target may get requests, now or after a backoff or an
// ejection.
func (t *targetState) inService() bool {
	return !t.Leaving && !t.evacuated && !t.replaced && !t.notice.leaving
}
