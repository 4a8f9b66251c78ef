package repository

import (
	"errors"
	"fmt"
	"strings"

	"masticturn/internal/config"
)

// ErrNoDocument is returned if the store has no document. The read may be stale.
var ErrNoDocument = errors.New("no document has been applied yet")

// ConflictError is returned if another document was accepted after the generation
// that the operator started from. Nothing was written.
type ConflictError struct {
	Base    config.Generation // generation the operator started from
	Current Record            // the record in force
	Theirs  []config.Change   // changes from the base to the current document; nil if the base is no longer available
	Yours   []config.Change   // changes from the base, or from the current document if the base is unavailable, to the proposed one
}

// Error implements error.
func (e *ConflictError) Error() string {
	msg := fmt.Sprintf("conflict: based on generation %d, but generation %d by %s is in force", e.Base, e.Current.Generation, e.Current.Author)
	if len(e.Theirs) > 0 {
		msg += "; changes since then: " + joinChanges(e.Theirs)
	}
	return msg
}

// maxChangesShown is the maximum number of changes listed in an error message.
const maxChangesShown = 20

func joinChanges(changes []config.Change) string {
	lines := make([]string, 0, min(len(changes), maxChangesShown)+1)
	for i, c := range changes {
		if i == maxChangesShown {
			lines = append(lines, fmt.Sprintf("and %d more", len(changes)-i))
			break
		}
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "; ")
}

// UnknownOutcomeError is returned if a write was sent and its outcome could not be
// determined, neither from its response nor from later reads. The write may still
// take effect. Applying the same document again on the same base is safe: at most
// one of the two writes takes effect.
type UnknownOutcomeError struct {
	WriteID string
	Step    Step
	Err     error // last error returned by the store
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of write %s is unknown at step %s; it may still take effect: %v", e.WriteID, e.Step, e.Err)
}

// Unwrap returns the last error returned by the store.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// NotStoredError is returned if the document could not be stored and it is
// certain that nothing was or will be written.
type NotStoredError struct {
	Step Step
	Err  error // last error returned by the store
}

// Error implements error.
func (e *NotStoredError) Error() string {
	return fmt.Sprintf("document not stored: failed at step %s, nothing was changed: %v", e.Step, e.Err)
}

// Unwrap returns the last error returned by the store.
func (e *NotStoredError) Unwrap() error { return e.Err }
