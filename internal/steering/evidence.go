package steering

import (
	"time"

	"masticturn/internal/measure"
)

// Times of evidence.
const (
	// successTrusted is how long an own success at a target outweighs probes
	// that find it down.
	successTrusted = 2 * time.Second
	// trialEvery is how long one target that is believed down is tried before
	// the next one is, while most are.
	trialEvery = time.Second
)

// panicPart is the part of the slots that may be taken out of use because
// probes find their targets down, before that is doubted.
const panicPart = 0.5

// Evidence is what own dispatches have shown of targets, lately.
type Evidence struct {
	targets map[string]outcomeTimes
}

type outcomeTimes struct{ success, failure time.Time }

// NewEvidence returns evidence of nothing.
func NewEvidence() *Evidence { return &Evidence{targets: make(map[string]outcomeTimes)} }

// Observe takes an outcome in.
func (e *Evidence) Observe(target string, ok bool, now time.Time) {
	o := e.targets[target]
	if ok {
		o.success = now
	} else {
		o.failure = now
	}
	e.targets[target] = o
}

// Forget drops what is known of a target.
func (e *Evidence) Forget(target string) { delete(e.targets, target) }

// Weigh corrects a belief that a target is down: an own success, no longer ago
// than successTrusted and not followed by a failure, outweighs it.
//
// Property: other beliefs are not changed.
func (e *Evidence) Weigh(target string, s measure.TargetState, usable, slots int, now time.Time) int {
	if s.Health != measure.Down {
		return usable
	}
	o := e.targets[target]
	if o.success.After(o.failure) && now.Sub(o.success) < successTrusted {
		return slots
	}
	return usable
}

// Trials chooses, while most slots are believed down and the probes themselves
// are doubted, one target after the other to be tried with one request at a
// time.
//
// Property: one target is tried at a time, for trialEvery.
type Trials struct {
	target string
	since  time.Time
}

// Next returns the target to try now, "" for none. down lists the targets that
// get no work because they are believed down, in a fixed order.
func (t *Trials) Next(down []string, mostDown bool, now time.Time) string {
	if !mostDown || len(down) == 0 {
		t.target = ""
		return ""
	}
	if t.target != "" && now.Sub(t.since) < trialEvery {
		return t.target
	}
	next := down[0]
	for i, name := range down {
		if name == t.target {
			next = down[(i+1)%len(down)]
		}
	}
	t.target, t.since = next, now
	return next
}

// MostDown reports whether more slots are believed down than probes alone may
// take out of use.
func MostDown(down, all int) bool { return float64(down) > panicPart*float64(all) }
