package platform

import (
	"errors"
	"fmt"
)

// CallError is the error of one call: which operation on which object at
// which peer failed, with one of the typed errors as Code.
type CallError struct {
	Op    Op
	Kind  Kind
	Name  string // empty for lists and watches
	Peer  string // host:port of the platform
	Code  error  // one of the typed errors of this package
	Cause error  // what was seen, may be nil
}

// Error implements error.
func (e *CallError) Error() string {
	msg := fmt.Sprintf("%v: %s %s/%s at %s", e.Code, e.Op, e.Kind, e.Name, e.Peer)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the typed error and the cause.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Code}
	}
	return []error{e.Code, e.Cause}
}

// errorLabels gives the metrics label of each typed error.
var errorLabels = []struct {
	code  error
	label string
}{
	{ErrNotFound, "not_found"},
	{ErrConflict, "conflict"},
	{ErrUnavailable, "unavailable"},
	{ErrUnknownOutcome, "unknown_outcome"},
	{ErrTooLarge, "too_large"},
	{ErrCompacted, "compacted"},
}

// ResultLabel returns the metrics label of a call's result.
func ResultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	for _, l := range errorLabels {
		if errors.Is(err, l.code) {
			return l.label
		}
	}
	return "other"
}
