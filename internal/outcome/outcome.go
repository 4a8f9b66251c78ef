// Package outcome defines the outcome of a request for its caller: answered, not
// run, or unknown, with the step and the peer of an error.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what became of a request.
type Outcome uint8

// The outcomes. NotRun is said only when no byte of the request reached a
// target, or when the target itself said by protocol that it did not run it.
// Everything else that is not a whole answer is Unknown.
const (
	Unknown Outcome = iota
	Answered
	NotRun
)

// String returns the wire name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Step is a step of the request path at which an error can arise.
type Step string

// The steps of the request path, in order.
const (
	StepParse    Step = "parse"    // the caller's request is read and checked
	StepRoute    Step = "route"    // service and route are found
	StepIdentify Step = "identify" // the customer is found by its key
	StepLimit    Step = "limit"    // the customer's rate limit is checked
	StepScreen   Step = "screen"   // requests that crash targets are held back
	StepClaim    Step = "claim"    // the idempotency key is claimed
	StepAdmit    Step = "admit"    // waiting for a slot at a target
	StepConnect  Step = "connect"  // a connection to the target is opened or proven
	StepSend     Step = "send"     // request head and body go to the target
	StepWait     Step = "wait"     // waiting for the answer's first byte
	StepReceive  Step = "receive"  // the answer's body comes from the target
	StepRelay    Step = "relay"    // the answer goes to the caller
	StepRecord   Step = "record"   // the answer is kept under its key
	StepComplete Step = "complete" // nothing is left to do
)

// Error is an error of the request path. It carries the step and the peer at
// which it arose and what may be told to the caller.
type Error struct {
	Outcome    Outcome
	Step       Step
	Peer       string        // name of the VM or target, empty for this VM
	Reason     string        // for people; never parsed
	RetryAfter time.Duration // zero: no advice
	Status     int           // HTTP status for the caller; zero: derived from the outcome
	Err        error         // cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s at step %s", e.Outcome, e.Step)
	if e.Peer != "" {
		msg += " with " + e.Peer
	}
	if e.Reason != "" {
		msg += ": " + e.Reason
	}
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// From returns the *Error in err's chain, or wraps err as Unknown at step.
func From(err error, step Step) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Outcome: Unknown, Step: step, Err: err}
}
