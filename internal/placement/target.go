package placement

import (
	"math"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
)

const (
	// minReportTTL is the least validity of a target's load report.
	minReportTTL = 600 * time.Millisecond
	// reportRuns is the validity in multiples of the time that the reported load takes
	// to run.
	reportRuns = 1.5
)

// targetState is the state of one target at this VM.
type targetState struct {
	*config.TargetIndex
	id        uint32 // shortID of its name
	coldUntil time.Time
	evacuated bool

	own       int           // running requests of this VM
	others    int           // requests of others at the last load report
	shared    int           // running requests of the region's other VMs, by load reports
	reported  time.Time     // time of the load report
	reportTTL time.Duration // validity of the load report

	notice      *notice   // what it announced
	barredUntil time.Time // after failures
	failures    int       // in a row
	gone        bool      // its address serves another instance
	endedUntil  time.Time // after a refused connection without an answer since
	coldSent    time.Time // last request of this VM while it was cold
	coldFleet   uint64    // fleetVersion of coldSender; 0: none
	coldSender  bool      // this VM may send to it while it is cold
	usedAt      time.Time // last request from the region
	objects     objects
	slow        slowness
}

// busy estimates the target's running and queued requests. Its own report and the
// region's usage count the same requests, each incompletely, so that the larger one is
// taken.
func (t *targetState) busy(now time.Time) int { return t.own + max(t.shared, t.othersAt(now)) }

// othersAt estimates the requests of others by the last load report, which decays after
// its TTL so that the target is tried again.
func (t *targetState) othersAt(now time.Time) int {
	over := now.Sub(t.reported) - t.reportTTL
	if over <= 0 || t.others == 0 {
		return t.others
	}
	return int(math.Round(float64(t.others) * math.Exp(-float64(over)/float64(t.reportTTL))))
}

// report applies a load report, at which own requests of this VM were running.
func (t *targetState) report(load *edge.Load, own int, ttl time.Duration, now time.Time) {
	t.others = max(0, load.Running+load.Waiting-own)
	t.reported = now
	t.reportTTL = ttl
}

// reportAge is the age of the last load report; -1 ms if there is none.
func (t *targetState) reportAge(now time.Time) time.Duration {
	if t.reported.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(t.reported)
}

// endedTTL is how long a target that refused a connection is expected to restart under
// its old entry.
const endedTTL = 10 * time.Second

// cold reports whether the target bears few requests only. One that had ended is taken
// for cold before its new entry arrives.
func (t *targetState) cold(now time.Time) bool {
	return now.Before(t.coldUntil) || now.Before(t.endedUntil)
}

// answered records a successful answer.
func (t *targetState) answered(coldTime time.Duration, now time.Time) {
	if now.Before(t.endedUntil) {
		t.coldUntil = later(t.coldUntil, now.Add(coldTime))
	}
	t.endedUntil = time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxRequests bounds the requests at the target, running and queued.
func (t *targetState) maxRequests() int {
	return int(math.Ceil(float64(t.Slots) * (1 + maxQueuedPerSlot)))
}

// usable reports whether the target may get any request at all.
func (t *targetState) usable(now time.Time) bool {
	return t.inService() && t.notice.accepting(now) && !now.Before(t.barredUntil)
}

// inService reports whether the target is to get requests, backoffs aside.
func (t *targetState) inService() bool {
	return !t.Leaving && !t.evacuated && !t.gone && !t.notice.leaving
}
