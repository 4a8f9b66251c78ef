// Package outcome defines the outcomes of a request that a caller is told
// (answered, not run or unknown) and the errors that carry them.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Outcome states whether a request was run, as far as this is known.
type Outcome uint8

// The outcomes.
const (
	// Unknown is the outcome of all requests that are neither Answered nor NotRun.
	Unknown Outcome = iota
	// Answered means that the answer was complete.
	Answered
	// NotRun means that no byte of the request reached a target, or that the
	// target stated by protocol that it did not run the request.
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

// Step is a step of the request path, recorded with an error that occurs there.
type Step string

// The steps of the request path, in order.
const (
	StepParse    Step = "parse"    // reading and validating the caller's request
	StepRoute    Step = "route"    // looking up the service and the route
	StepIdentify Step = "identify" // looking up the customer by its API key
	StepLimit    Step = "limit"    // checking the customer's rate limit
	StepScreen   Step = "screen"   // holding back requests that crash targets
	StepClaim    Step = "claim"    // claiming the idempotency key
	StepAdmit    Step = "admit"    // waiting for a slot at a target
	StepConnect  Step = "connect"  // opening a connection to the target, or verifying an open one
	StepSend     Step = "send"     // sending the request's head and body to the target
	StepWait     Step = "wait"     // waiting for the first byte of the answer
	StepReceive  Step = "receive"  // receiving the answer's body from the target
	StepRelay    Step = "relay"    // sending the answer to the caller
	StepRecord   Step = "record"   // storing the answer under its idempotency key
	StepComplete Step = "complete" // the request is complete
)

// Error is an error of the request path. It records the step and the peer at
// which it occurred, and what the caller is told.
type Error struct {
	Outcome    Outcome
	Step       Step
	Peer       string        // name of the VM or target; empty: this VM
	Reason     string        // human-readable, not to be parsed
	RetryAfter time.Duration // zero: none is sent
	Status     int           // HTTP status for the caller; zero: derived from the outcome
	Err        error         // cause; may be nil
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

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Err }

// From returns the first *Error in err's chain. If there is none, it wraps err
// with the outcome Unknown and the given step.
func From(err error, step Step) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Outcome: Unknown, Step: step, Err: err}
}
