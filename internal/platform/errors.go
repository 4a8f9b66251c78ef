package platform

import (
	"errors"
	"fmt"
)

// CallError is the error of a failed call. It names the operation, the object and the
// peer, and wraps one of the typed errors.
type CallError struct {
	Op    Op
	Kind  Kind
	Name  string // empty for lists and watches
	Peer  string // host:port of the platform
	Code  error  // one of the typed errors of this package
	Cause error  // underlying error; may be nil
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

// errorLabels maps the typed errors to their metrics labels.
var errorLabels = []struct {
	sentinel error
	label    string
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
		if errors.Is(err, l.sentinel) {
			return l.label
		}
	}
	return "other"
}
