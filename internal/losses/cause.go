package losses

import (
	"slices"
	"time"
)

// Cause is the reason why a request lost all or part of its worth.
type Cause string

// The causes, in the order in which they are checked. A loss is attributed to the
// first one that explains it alone.
const (
	CauseRefused          Cause = "refused, and not back"   // not run, and the caller did not retry
	CauseFailed           Cause = "failed by a target"      // error response, or the response was cut off
	CauseUnanswered       Cause = "no answer in its time"   // sent, without a response
	CauseRetriedLate      Cause = "refused, back and late"  // without the earlier tries it would have been on time
	CauseMultipleAttempts Cause = "sent more than once"     // another target refused it or failed
	CauseFirstRun         Cause = "first run of its object" // on that target
	CauseWaitedAtVM       Cause = "waited at the VM"        // for a free slot at a target
	CauseRemoteRegion     Cause = "way to another region"   // on time without the round trip between regions
	CauseWaitedAtTarget   Cause = "waited at the target"    // the VM estimated that all slots were in use
	CauseSlowTarget       Cause = "long run"                // none of the above
)

// Causes returns all causes in the order in which they are checked.
func Causes() []Cause {
	return []Cause{
		CauseRefused, CauseFailed, CauseUnanswered, CauseRetriedLate, CauseMultipleAttempts,
		CauseFirstRun, CauseWaitedAtVM, CauseRemoteRegion, CauseWaitedAtTarget, CauseSlowTarget,
	}
}

// typicalLatencies returns the median target latency for each rule. It covers requests that were
// served on the first attempt by a target in the VM's region that knew the object and had a free slot.
func (log *Log) typicalLatencies() map[string]time.Duration {
	latencies := make(map[string][]time.Duration)
	for _, r := range log.requests {
		if p := r.lastPlacement(); r.served() && r.attempts == 1 && p != nil && p.known && !p.full && p.region == log.regions[r.vm] {
			latencies[r.rule] = append(latencies[r.rule], r.targetLatency)
		}
	}
	out := make(map[string]time.Duration, len(latencies))
	for rule, all := range latencies {
		slices.Sort(all)
		out[rule] = all[len(all)/2]
	}
	return out
}

// sinceFirstTry returns the time between the caller's first try and this one.
func (r *request) sinceFirstTry() time.Duration {
	if r.firstTry == nil {
		return 0
	}
	return r.arrived.Sub(r.firstTry.arrived)
}

// firstRunLatencyRatio is the ratio to the typical latency above which a run counts as the first run of its object.
const firstRunLatencyRatio = 1.8

// lateCause returns the cause of a late answer; ok is false if the answer was in time. callerRTT is the
// round trip between caller and VM, regionRTT the one between two regions.
func (r *request) lateCause(typicalLatency time.Duration, region string, callerRTT, regionRTT time.Duration) (cause Cause, ok bool) {
	total := r.sinceFirstTry() + r.duration + callerRTT
	excess := total - r.objective
	if r.objective == 0 || excess <= 0 {
		return "", false
	}
	p := r.lastPlacement()
	remote := p != nil && p.region != region
	targetLatency := r.targetLatency
	if remote {
		targetLatency -= regionRTT
	}
	switch {
	case r.sinceFirstTry() >= excess:
		return CauseRetriedLate, true
	case r.attempts > 1:
		return CauseMultipleAttempts, true
	case p == nil:
		return CauseSlowTarget, true
	case !p.known && typicalLatency > 0 && float64(targetLatency) > firstRunLatencyRatio*float64(typicalLatency):
		return CauseFirstRun, true
	case p.waited >= excess:
		return CauseWaitedAtVM, true
	case remote && regionRTT >= excess:
		return CauseRemoteRegion, true
	case p.full:
		return CauseWaitedAtTarget, true
	}
	return CauseSlowTarget, true
}

// failureCause returns the cause of a request without a good answer.
func (r *request) failureCause() Cause {
	switch {
	case r.notRun:
		return CauseRefused
	case r.answered || r.status == 502 || r.step == "receive" || r.step == "relay":
		return CauseFailed
	default:
		return CauseUnanswered
	}
}
