package peer

import (
	"errors"
	"fmt"
)

// Step is the step of a message at which an error arose.
type Step string

// The steps of a message, in order.
const (
	StepRoute   Step = "route"   // the VM's address is looked up
	StepEncode  Step = "encode"  // the message is encoded
	StepConnect Step = "connect" // a connection is opened
	StepQueue   Step = "queue"   // the message is put into the write queue
	StepAnswer  Step = "answer"  // the answer is awaited
	StepRemote  Step = "remote"  // the peer's handler failed
	StepDecode  Step = "decode"  // the answer is decoded
)

// The causes of errors besides those of the context and the system.
var (
	// ErrNoRoute: no address of the VM is known.
	ErrNoRoute = errors.New("no address is known")
	// ErrQueueFull: the write queue to the VM is full.
	ErrQueueFull = errors.New("write queue is full")
	// ErrClosed: the connection or the network was closed.
	ErrClosed = errors.New("connection is closed")
	// ErrSilent: nothing was heard from the peer for too long.
	ErrSilent = errors.New("connection is silent")
	// ErrTooLarge: the message is larger than a frame may be.
	ErrTooLarge = errors.New("message is too large")
	// ErrMalformed: a frame does not follow the format.
	ErrMalformed = errors.New("frame is malformed")
	// ErrRefused: the peer is not the one expected, or is not let in.
	ErrRefused = errors.New("peer is refused")
	// ErrBusy: the peer handles too many calls of this daemon already.
	ErrBusy = errors.New("too many calls in flight")
)

// Error is the failure of one message.
type Error struct {
	Peer string
	Step Step
	Err  error
}

// Error names the step and the peer.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Step, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether the message surely never left this daemon.
func (e *Error) NotSent() bool {
	switch e.Step {
	case StepRoute, StepEncode, StepConnect, StepQueue:
		return true
	}
	return false
}

// NotSent reports whether err says that the message surely never left this
// daemon.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotSent()
}

// RemoteError is the text of an error that a peer's handler returned.
type RemoteError struct {
	Message string
}

// Error returns the peer's text.
func (e *RemoteError) Error() string { return e.Message }
