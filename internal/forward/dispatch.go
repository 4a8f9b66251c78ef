package forward

import (
	"errors"
	"net/http"
	"time"

	"masticturn/internal/outcome"
)

// Fault is why an attempt ended without a complete answer.
type Fault uint8

// The faults of an attempt.
const (
	FaultNone        Fault = iota
	FaultRefused           // no slot, no connection, or the request was not accepted
	FaultBroken            // the connection ended or was reset
	FaultSilent            // nothing came for too long
	FaultShort             // the answer was cut, or its end is unknown
	FaultCrossed           // the answer carries the id of another request
	FaultShed              // the target said that it did not run the request
	FaultUnavailable       // the target answered 503 and does not say that it did not run it
	FaultCallerGone        // the caller left
	FaultCallerSlow        // the caller's body or its reading stopped for too long
	FaultDeadline          // the request's deadline has passed
	FaultHeld              // the request is suspect or in quarantine
	faultCount
)

// String returns the name used in answers, logs and metrics.
func (f Fault) String() string {
	return [...]string{
		"none", "refused", "connection broken", "target silent", "answer cut short",
		"answer of another request", "shed by the target", "target unavailable",
		"caller left", "caller too slow", "deadline passed", "held back",
	}[f]
}

// Faults lists all faults of an attempt.
func Faults() []Fault {
	all := make([]Fault, 0, faultCount)
	for f := FaultNone; f < faultCount; f++ {
		all = append(all, f)
	}
	return all
}

// Steps lists the steps of a dispatch, in order.
func Steps() []outcome.Step {
	return []outcome.Step{
		outcome.StepParse, outcome.StepRoute, outcome.StepScreen, outcome.StepClaim, outcome.StepAdmit,
		outcome.StepConnect, outcome.StepSend, outcome.StepWait, outcome.StepReceive,
		outcome.StepRelay, outcome.StepRecord, outcome.StepComplete,
	}
}

// attemptEnd is how one attempt ended.
type attemptEnd struct {
	Step       outcome.Step
	Fault      Fault
	Peer       string // target, empty when none was chosen
	Sent       bool   // a byte of the request may have reached a target
	Consumed   bool   // the body was read from the caller and is not kept
	Relayed    bool   // a byte of the answer may have reached the caller
	RetryAfter time.Duration
	Backoff    time.Duration // Retry-After of the target; 0: none
	Status     int           // HTTP status for the caller; 0: by fault
	// Misdirected: another instance than expected has the target's address.
	Misdirected bool
	// SlotsFree: the refusal reported free slots.
	SlotsFree bool
	// NoListener: nobody listens at the target's address.
	NoListener bool
	// Stale: the target had closed the idle connection; the attempt does not count.
	Stale bool
	Err   error
}

// verdict is the next step after an attempt.
type verdict uint8

const (
	verdictDone  verdict = iota // the caller has the whole answer
	verdictRetry                // try again after the wait
	verdictFail                 // answer with the error
	verdictAbort                // break the caller's connection
)

// decision is the verdict with its data.
type decision struct {
	verdict verdict
	wait    time.Duration
	err     *outcome.Error
}

// retryRule limits the attempts of one request.
type retryRule struct {
	repeatable  bool // it may run more than once
	maxAttempts int
	deadline    time.Time
	// spend takes a retry from a target's budget; false if it is exhausted. Target is empty if none
	// was reached.
	spend func(target string) bool
	// backoff returns the wait before the next attempt.
	backoff func() time.Duration
}

// dispatch decides after each attempt of a request on the next step and the final answer. It does
// no I/O.
type dispatch struct {
	rule     retryRule
	attempts int
	stale    int  // of them, those on a stale connection
	mayRun   bool // an attempt of this request may have run
	last     attemptEnd
}

// begin records the start of an attempt.
func (d *dispatch) begin() { d.attempts++ }

// hedged records the end of a first attempt that its hedge replaces.
func (d *dispatch) hedged(first attemptEnd) {
	d.attempts++
	if first.Sent && first.Fault != FaultShed {
		d.mayRun = true
	}
}

// end decides after an attempt.
func (d *dispatch) end(a attemptEnd, now time.Time) decision {
	if a.Fault == FaultNone {
		return decision{verdict: verdictDone}
	}
	if a.Sent && a.Fault != FaultShed {
		d.mayRun = true
	}
	if a.Step == outcome.StepAdmit && a.Fault == FaultRefused && d.attempts > 1 {
		return decision{verdict: verdictFail, err: d.noTargetLeft(a)}
	}
	d.last = a
	if a.Stale {
		d.stale++
	}
	if a.Relayed {
		return decision{verdict: verdictAbort, err: d.failure(a)}
	}
	if wait, ok := d.retry(a, now); ok {
		return decision{verdict: verdictRetry, wait: wait}
	}
	return decision{verdict: verdictFail, err: d.failure(a)}
}

// retryable reports whether another attempt respects the request's guarantees.
func (d *dispatch) retryable(a attemptEnd) bool {
	switch a.Fault {
	case FaultCallerGone, FaultCallerSlow, FaultDeadline, FaultHeld:
		return false
	}
	if a.Step == outcome.StepAdmit {
		return false // admission has given up for good
	}
	if a.Consumed {
		return false
	}
	return d.rule.repeatable || !(d.mayRun || a.Sent && a.Fault != FaultShed)
}

// mayRetry reports whether another attempt is allowed after such an end, budget and deadline aside.
func (d *dispatch) mayRetry(a attemptEnd) bool {
	return d.retryable(a) && d.tries() < d.rule.maxAttempts
}

// tries returns the attempts that count: stale connections don't, unless only one is allowed.
func (d *dispatch) tries() int {
	if d.rule.maxAttempts == 1 {
		return d.attempts
	}
	return d.attempts - d.stale
}

func (d *dispatch) retry(a attemptEnd, now time.Time) (time.Duration, bool) {
	if !d.mayRetry(a) {
		return 0, false
	}
	wait := d.rule.backoff()
	if !now.Add(wait).Before(d.rule.deadline) {
		return 0, false
	}
	return wait, d.rule.spend(a.Peer)
}

// notRunRetryAfter is the Retry-After if neither the target nor admission has one.
const notRunRetryAfter = 100 * time.Millisecond

// freeRetryAfter is the Retry-After if the target refused despite free slots, as no run has to end
// first.
const freeRetryAfter = 10 * time.Millisecond

// noTargetLeft is the failure of a request without another target: the last attempt's, with the time
// at which a target is expected to be available.
func (d *dispatch) noTargetLeft(a attemptEnd) *outcome.Error {
	e := d.failure(d.last)
	if e.Outcome != outcome.NotRun {
		return e
	}
	var cause *outcome.Error
	if errors.As(a.Err, &cause) && cause.RetryAfter > 0 {
		e.RetryAfter = cause.RetryAfter
	} else if d.last.Backoff > 0 {
		e.RetryAfter = d.last.Backoff
	}
	return e
}

// failure returns a failed request's error with its outcome.
func (d *dispatch) failure(a attemptEnd) *outcome.Error {
	o := outcome.NotRun
	if d.mayRun {
		o = outcome.Unknown
	}
	e := &outcome.Error{
		Outcome:    o,
		Step:       a.Step,
		Peer:       a.Peer,
		Reason:     a.Fault.String(),
		RetryAfter: a.RetryAfter,
		Status:     statusOf(a, o),
		Err:        a.Err,
	}
	var cause *outcome.Error
	if errors.As(a.Err, &cause) {
		e.Reason = cause.Reason
		e.Err = cause.Err
		e.RetryAfter = max(e.RetryAfter, cause.RetryAfter)
	}
	if o == outcome.NotRun && e.RetryAfter == 0 && a.Fault != FaultCallerGone && a.Fault != FaultHeld {
		e.RetryAfter = notRunRetryAfter
		if a.SlotsFree {
			e.RetryAfter = freeRetryAfter
		}
	}
	return e
}

// statusOf returns the HTTP status of a failure.
func statusOf(a attemptEnd, o outcome.Outcome) int {
	if a.Status != 0 && !(a.Fault == FaultHeld && o != outcome.NotRun) {
		return a.Status
	}
	switch a.Fault {
	case FaultCallerSlow:
		return http.StatusRequestTimeout
	case FaultDeadline, FaultSilent:
		return http.StatusGatewayTimeout
	}
	if o == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
