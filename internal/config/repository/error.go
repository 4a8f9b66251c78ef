package repository

import (
	"errors"
	"fmt"
	"strings"

	"masticturn/internal/config"
)

// ErrNoDocument is returned while no document has ever been accepted, as far
// as the read can tell.
var ErrNoDocument = errors.New("no document has been applied yet")

// ConflictError is returned when another document was accepted since the
// generation that the operator started from. Nothing was written.
type ConflictError struct {
	Base    config.Generation // generation the operator started from
	Current Record            // what stands instead
	Theirs  []config.Change   // from the base to the current document; nil when the base is no longer kept
	Yours   []config.Change   // from the base, or else the current document, to the one proposed
}

// Error implements error.
func (e *ConflictError) Error() string {
	msg := fmt.Sprintf("conflict: started from generation %d, but generation %d of %s is in force", e.Base, e.Current.Generation, e.Current.Author)
	if len(e.Theirs) > 0 {
		msg += "; changed there: " + joinChanges(e.Theirs)
	}
	return msg
}

// maxChangesShown bounds the changes in an error's text.
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

// UnknownError is returned when a write was sent and neither its answer nor
// any read until the deadline told what became of it. It may take effect
// later. Applying the same document again on the same base is safe: at most
// one of both takes effect.
type UnknownError struct {
	WriteID string
	Step    Step
	Err     error // the last error of the store
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of write %s is unknown at step %s; it may still take effect: %v", e.WriteID, e.Step, e.Err)
}

// Unwrap returns the last error of the store.
func (e *UnknownError) Unwrap() error { return e.Err }

// NotStoredError is returned when the deadline passed and surely nothing was
// or will be written.
type NotStoredError struct {
	Step Step
	Err  error // the last error of the store
}

// Error implements error.
func (e *NotStoredError) Error() string {
	return fmt.Sprintf("document not stored at step %s, nothing was changed: %v", e.Step, e.Err)
}

// Unwrap returns the last error of the store.
func (e *NotStoredError) Unwrap() error { return e.Err }
