package forward

import (
	"errors"
	"net/http"
	"time"

	"masticturn/internal/outcome"
)

// Fault is the reason why an attempt ended without a complete response.
type Fault uint8

// Faults of an attempt.
const (
	FaultNone             Fault = iota
	FaultRefused                // no slot, no connection, or the request was not accepted
	FaultConnectionBroken       // the connection was closed or reset
	FaultTargetTimeout          // the target made no progress within a timeout
	FaultTruncated              // the response was truncated, or its end can't be determined
	FaultMismatched             // the response carries the ID of another request
	FaultShed                   // the target reported that it did not run the request
	FaultUnavailable            // a 5xx status other than 504, without a report that the request was not run
	FaultCallerGone             // the caller disconnected
	FaultCallerSlow             // the caller's body stopped for too long, or is too large
	FaultDeadline               // the request's deadline has passed
	FaultQuarantined            // the request is suspect or in quarantine
	FaultMalformed              // the response is not valid
	faultCount
)

// String returns the text used in error responses, logs and metrics.
func (f Fault) String() string {
	return [...]string{
		"none", "refused", "connection broken", "target silent", "answer cut short",
		"answer of another request", "shed by the target", "target unavailable",
		"caller left", "caller too slow", "deadline passed", "held back", "malformed answer",
	}[f]
}

// Faults lists all faults, including FaultNone.
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

// attemptResult describes how one attempt ended.
type attemptResult struct {
	Step       outcome.Step
	Fault      Fault
	Peer       string // target name; empty if none was chosen
	Sent       bool   // a byte of the request may have reached a target
	Consumed   bool   // the caller's body was read and not buffered, so it can't be sent again
	Relayed    bool   // a byte of the response may have reached the caller
	RetryAfter time.Duration
	Backoff    time.Duration // Retry-After of the target; 0: none
	Status     int           // HTTP status for the caller; 0: derived from Fault
	// Misdirected: the target's address belongs to another instance than expected.
	Misdirected bool
	// SlotsFree: the target refused the request although it reported free slots.
	SlotsFree bool
	// NoListener: the target's address refused the connection.
	NoListener bool
	// Stale: the target had already closed the idle connection, so the attempt does not count.
	Stale bool
	Err   error
}

// action is the next step after an attempt.
type action uint8

const (
	actionDone  action = iota // the caller has the complete response
	actionRetry               // make another attempt after the wait
	actionFail                // respond with the error
	actionAbort               // abort the caller's connection
)

// decision is an action with its parameters.
type decision struct {
	action action
	wait   time.Duration
	err    *outcome.Error
}

// retryPolicy limits the attempts of one request.
type retryPolicy struct {
	repeatable  bool // the request may run more than once
	maxAttempts int
	deadline    time.Time
	// withdraw takes one retry from a target's budget; false if it is exhausted. target is empty if
	// none was reached.
	withdraw func(target string) bool
	// backoff returns the wait before the next attempt.
	backoff func() time.Duration
}

// dispatch is the retry state machine of one request. After each attempt it decides whether to finish,
// retry, fail or abort. It does no I/O.
type dispatch struct {
	policy        retryPolicy
	attempts      int
	staleAttempts int  // those of attempts that met a stale connection
	mayHaveRun    bool // an attempt may have run the request
	last          attemptResult
}

// startAttempt records the start of an attempt.
func (d *dispatch) startAttempt() { d.attempts++ }

// recordHedgeWon records the result of a first attempt that its hedge replaces.
func (d *dispatch) recordHedgeWon(first attemptResult) {
	d.attempts++
	if first.Sent && first.Fault != FaultShed {
		d.mayHaveRun = true
	}
}

// decide returns the next step after an attempt.
func (d *dispatch) decide(a attemptResult, now time.Time) decision {
	if a.Fault == FaultNone {
		return decision{action: actionDone}
	}
	if a.Sent && a.Fault != FaultShed {
		d.mayHaveRun = true
	}
	if a.Step == outcome.StepAdmit && a.Fault == FaultRefused && d.attempts > 1 {
		return decision{action: actionFail, err: d.noTargetLeft(a)}
	}
	d.last = a
	if a.Stale {
		d.staleAttempts++
	}
	if a.Relayed {
		return decision{action: actionAbort, err: d.failure(a)}
	}
	if wait, ok := d.retry(a, now); ok {
		return decision{action: actionRetry, wait: wait}
	}
	return decision{action: actionFail, err: d.failure(a)}
}

// retryable reports whether another attempt can help and is safe: the body must still be available, and
// a request that is not repeatable must not run twice.
func (d *dispatch) retryable(a attemptResult) bool {
	switch a.Fault {
	case FaultCallerGone, FaultCallerSlow, FaultDeadline, FaultQuarantined:
		return false
	}
	if a.Step == outcome.StepAdmit {
		return false // a refusal by admission is final
	}
	if a.Consumed {
		return false
	}
	return d.policy.repeatable || !(d.mayHaveRun || a.Sent && a.Fault != FaultShed)
}

// mayRetry reports whether another attempt is allowed after this result, apart from budget and deadline.
func (d *dispatch) mayRetry(a attemptResult) bool {
	return d.retryable(a) && d.countedAttempts() < d.policy.maxAttempts
}

// countedAttempts returns the number of attempts that count towards the limit. Those on stale
// connections don't, unless only one attempt is allowed.
func (d *dispatch) countedAttempts() int {
	if d.policy.maxAttempts == 1 {
		return d.attempts
	}
	return d.attempts - d.staleAttempts
}

func (d *dispatch) retry(a attemptResult, now time.Time) (time.Duration, bool) {
	if !d.mayRetry(a) {
		return 0, false
	}
	wait := d.policy.backoff()
	if !now.Add(wait).Before(d.policy.deadline) {
		return 0, false
	}
	return wait, d.policy.withdraw(a.Peer)
}

// notRunRetryAfter is the Retry-After of a request that was not run if neither the target nor
// admission suggests one.
const notRunRetryAfter = 100 * time.Millisecond

// freeSlotsRetryAfter is the Retry-After if the target refused despite free slots: the caller need not
// wait for another run to end.
const freeSlotsRetryAfter = 10 * time.Millisecond

// noTargetLeft returns the error of a request that has no further target to try: that of the last
// attempt. If it was not run, its Retry-After is the one of admission or of the target.
func (d *dispatch) noTargetLeft(a attemptResult) *outcome.Error {
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

// failure returns the error of a failed request, with its outcome.
func (d *dispatch) failure(a attemptResult) *outcome.Error {
	o := outcome.NotRun
	if d.mayHaveRun {
		o = outcome.Unknown
	}
	e := &outcome.Error{
		Outcome:    o,
		Step:       a.Step,
		Peer:       a.Peer,
		Reason:     a.Fault.String(),
		RetryAfter: a.RetryAfter,
		Status:     failureStatus(a, o),
		Err:        a.Err,
	}
	var cause *outcome.Error
	if errors.As(a.Err, &cause) {
		e.Reason = cause.Reason
		e.Err = cause.Err
		e.RetryAfter = max(e.RetryAfter, cause.RetryAfter)
	}
	if o == outcome.NotRun && e.RetryAfter == 0 && a.Fault != FaultCallerGone && a.Fault != FaultQuarantined {
		e.RetryAfter = notRunRetryAfter
		if a.SlotsFree {
			e.RetryAfter = freeSlotsRetryAfter
		}
	}
	return e
}

// failureStatus returns the HTTP status of a failure.
func failureStatus(a attemptResult, o outcome.Outcome) int {
	if a.Status != 0 && !(a.Fault == FaultQuarantined && o != outcome.NotRun) {
		return a.Status
	}
	switch a.Fault {
	case FaultCallerSlow:
		return http.StatusRequestTimeout
	case FaultDeadline, FaultTargetTimeout:
		return http.StatusGatewayTimeout
	}
	if o == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
