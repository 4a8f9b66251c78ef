package losses

import (
	"slices"
	"time"
)

// Cause is what cost a request its worth, or part of it.
type Cause string

// The causes, in the order in which they are looked for: the first that explains
// a loss by itself is named.
const (
	CauseRefused    Cause = "refused, and not back"   // not run; the caller's last try
	CauseFailed     Cause = "failed by a target"      // answered with a failure, or cut
	CauseUnanswered Cause = "no answer in its time"   // sent, and nothing came
	CauseComeback   Cause = "refused, back and late"  // its own way was short enough
	CauseSentAgain  Cause = "sent more than once"     // another target had refused or failed it
	CauseFirstRun   Cause = "first run of its object" // at that target
	CauseWaitedHere Cause = "waited at the VM"        // for room at a target
	CauseTrip       Cause = "way to another region"   // in its own region it would have been on time
	CauseWaited     Cause = "waited at the target"    // all slots were in use by the VM's estimate
	CauseLongRun    Cause = "long run"                // none of these
)

// Causes lists all causes.
func Causes() []Cause {
	return []Cause{
		CauseRefused, CauseFailed, CauseUnanswered, CauseComeback, CauseSentAgain,
		CauseFirstRun, CauseWaitedHere, CauseTrip, CauseWaited, CauseLongRun,
	}
}

// usualRuns returns the median run of each rule's requests that met nothing
// unusual: at a target of the own region that knew the object and had room.
func (log *Log) usualRuns() map[string]time.Duration {
	runs := make(map[string][]time.Duration)
	for _, r := range log.requests {
		if p := r.last(); r.served() && r.attempts == 1 && p != nil && p.known && !p.full && p.region == log.regions[r.vm] {
			runs[r.rule] = append(runs[r.rule], r.sent)
		}
	}
	out := make(map[string]time.Duration, len(runs))
	for rule, all := range runs {
		slices.Sort(all)
		out[rule] = all[len(all)/2]
	}
	return out
}

// before is how long the caller had been trying before this request came.
func (r *request) before() time.Duration {
	if r.first == nil {
		return 0
	}
	return r.arrived.Sub(r.first.arrived)
}

// firstRunFactor is the multiple of a usual run from which a run counts as the first of its object.
const firstRunFactor = 1.8

// late returns the cause of a late answer; ok is false if it was in time. Way is the round trip
// between caller and VM.
func (r *request) late(usualRun time.Duration, region string, way, trip time.Duration) (cause Cause, ok bool) {
	whole := r.before() + r.took + way
	over := whole - r.objective
	if r.objective == 0 || over <= 0 {
		return "", false
	}
	p := r.last()
	remote := p != nil && p.region != region
	run := r.sent
	if remote {
		run -= trip
	}
	switch {
	case r.before() >= over:
		return CauseComeback, true
	case r.attempts > 1:
		return CauseSentAgain, true
	case p == nil:
		return CauseLongRun, true
	case !p.known && usualRun > 0 && float64(run) > firstRunFactor*float64(usualRun):
		return CauseFirstRun, true
	case p.waited >= over:
		return CauseWaitedHere, true
	case remote && trip >= over:
		return CauseTrip, true
	case p.full:
		return CauseWaited, true
	}
	return CauseLongRun, true
}

// unserved returns the cause of a request that got no good answer, "" when the
// caller is to blame.
func (r *request) unserved() Cause {
	switch {
	case r.notRun:
		return CauseRefused
	case r.answered || r.status == 502 || r.step == "receive" || r.step == "relay":
		return CauseFailed
	default:
		return CauseUnanswered
	}
}
