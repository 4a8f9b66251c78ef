package peer

import (
	"errors"
	"fmt"
)

// Step is the stage of sending or calling at which an error occurred.
type Step string

// Steps, in the order in which a message passes through them.
const (
	StepRoute   Step = "route"   // looking up the VM's address
	StepEncode  Step = "encode"  // encoding the message
	StepConnect Step = "connect" // opening a connection
	StepQueue   Step = "queue"   // adding the message to the write queue
	StepAnswer  Step = "answer"  // waiting for the response
	StepRemote  Step = "remote"  // running the handler at the peer
	StepDecode  Step = "decode"  // decoding the response
)

// Causes of errors, in addition to errors of contexts and of the operating system.
var (
	// ErrNoRoute means that no address of the VM is known.
	ErrNoRoute = errors.New("no known address")
	// ErrQueueFull means that the write queue to the VM is full.
	ErrQueueFull = errors.New("write queue is full")
	// ErrClosed means that the connection or the network was closed.
	ErrClosed = errors.New("connection is closed")
	// ErrSilent means that the peer did not acknowledge frames within
	// Options.DeadAfter.
	ErrSilent = errors.New("peer stopped acknowledging frames")
	// ErrTooLarge means that the message exceeds Options.MaxFrameBytes.
	ErrTooLarge = errors.New("message is too large")
	// ErrMalformed means that a received frame violates the protocol.
	ErrMalformed = errors.New("malformed frame")
	// ErrRefused means that the handshake failed: the TLS handshake, the protocol
	// version, the VM name or the certificate.
	ErrRefused = errors.New("peer refused")
	// ErrBusy means that the peer already handles Options.MaxCalls calls of this
	// connection.
	ErrBusy = errors.New("too many calls in flight")
)

// Error reports that a message could not be sent or a call failed.
type Error struct {
	Peer string
	Step Step
	Err  error
}

// Error returns the peer, the step and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Step, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether the message is known not to have been sent.
func (e *Error) NotSent() bool {
	switch e.Step {
	case StepRoute, StepEncode, StepConnect, StepQueue:
		return true
	}
	return false
}

// NotSent reports whether err means that the message is known not to have been
// sent.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotSent()
}

// RemoteError is an error reported by the peer, with its message.
type RemoteError struct {
	Message string
}

// Error returns the message sent by the peer.
func (e *RemoteError) Error() string { return e.Message }
