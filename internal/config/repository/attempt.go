package repository

import (
	"errors"
	"fmt"

	"masticturn/internal/config"
	"masticturn/internal/platform"
)

// Step is a state in the process of applying a document.
type Step uint8

// Steps of applying a document. The last four are final.
const (
	StepRead     Step = iota // read the head
	StepChunks               // write the chunks of the client blocks that are not yet written
	StepWrite                // write the head conditionally
	StepReread               // read the head to determine the outcome of the write
	StepAccepted             // the document was accepted
	StepConflict             // another document was accepted instead
	StepUnknown              // the outcome of a write could not be determined
	StepRefused              // failed, with the guarantee that nothing was or will be written
)

// Steps returns all non-final steps.
func Steps() []Step { return []Step{StepRead, StepChunks, StepWrite, StepReread} }

// String returns the name used in errors and logs.
func (s Step) String() string {
	return [...]string{"read", "chunks", "write", "reread", "accepted", "conflict", "unknown", "refused"}[s]
}

func (s Step) isFinal() bool { return s >= StepAccepted }

// attempt is the state machine of one Apply call. It processes the results of
// store calls and determines the next step. It performs no I/O.
//
// The write is conditional on the version last read, so it can be resent safely:
// at most one copy takes effect, and none after the object has a newer version.
type attempt struct {
	writeID string
	hash    uint64            // hash of the proposed document
	base    config.Generation // generation the operator started from
	inForce config.Generation // generation in force at this daemon

	step       Step
	endedAt    Step             // step at which the attempt failed
	head       *Head            // last head read; nil if there is none
	version    platform.Version // version of head; 0 if there is none
	inDoubt    bool             // a write conditional on version may have taken or may still take effect
	superseded bool             // the store reported a conflict: version is no longer current
	result     *Record          // the accepted record
	lastErr    error
}

// onRead handles the result of StepRead. A missing head is not an error.
func (a *attempt) onRead(head *Head, version platform.Version, err error) {
	if err != nil {
		a.lastErr = err
		return
	}
	a.evaluateHead(head, version)
}

// evaluateHead chooses the next step based on the head that was read. If the
// proposed document is already in force, it is accepted without a write.
func (a *attempt) evaluateHead(head *Head, version platform.Version) {
	a.head, a.version = head, version
	a.superseded, a.inDoubt = false, false
	gen := generationOf(head)
	switch {
	case head != nil && head.Current.Hash == a.hash && gen >= max(a.base, a.inForce):
		a.accept(&head.Current)
	case gen > a.base || a.inForce > a.base:
		a.step = StepConflict
	case gen < a.base && a.inForce < a.base:
		// Either the read is stale or the base never existed.
		a.lastErr = fmt.Errorf("the store has generation %d and this daemon has %d, both older than base generation %d", gen, a.inForce, a.base)
		a.step = StepRead
	default:
		a.step = StepChunks
	}
}

func generationOf(head *Head) config.Generation {
	if head == nil {
		return 0
	}
	return head.Current.Generation
}

// nextGeneration returns the generation of the new record. It is greater than
// any generation that this daemon has seen, even if the store lost some.
func (a *attempt) nextGeneration() config.Generation {
	return max(generationOf(a.head), a.base, a.inForce) + 1
}

// onChunks handles the result of StepChunks.
func (a *attempt) onChunks(err error) {
	if err != nil {
		a.lastErr = err
		return
	}
	a.step = StepWrite
}

// onWrite handles the result of StepWrite.
func (a *attempt) onWrite(written *Record, err error) {
	a.lastErr = err
	switch {
	case err == nil:
		a.accept(written)
	case errors.Is(err, platform.ErrConflict):
		a.superseded = true
		a.step = StepReread
	case errors.Is(err, platform.ErrTooLarge):
		a.endedAt, a.step = StepWrite, StepRefused
	case errors.Is(err, platform.ErrUnavailable):
		// This copy had no effect, but an earlier one may still be in doubt.
	default:
		a.inDoubt = true
		a.step = StepReread
	}
}

func (a *attempt) accept(r *Record) {
	a.result = r
	a.step = StepAccepted
}

// onReread handles the result of StepReread. A version not newer than the one
// that the write was based on is inconclusive: the read is stale, or the write
// has not taken effect yet.
func (a *attempt) onReread(head *Head, version platform.Version, err error) {
	if err != nil {
		a.lastErr = err
		return
	}
	if head == nil || version <= a.version {
		if !a.superseded {
			a.step = StepWrite
		}
		return
	}
	if ours := head.byWriteID(a.writeID); ours != nil {
		a.head = head
		a.accept(ours)
		return
	}
	if a.inDoubt && mayHaveLeftHistory(head, a.nextGeneration()) {
		a.lastErr = fmt.Errorf("generation %d is in force, and the history no longer covers the write", head.Current.Generation)
		a.endedAt, a.step = StepReread, StepUnknown
		return
	}
	// Another write replaced the version, so this one never took effect.
	a.evaluateHead(head, version)
}

// mayHaveLeftHistory reports whether gen is older than the history of the head,
// so that its record may have been dropped.
func mayHaveLeftHistory(head *Head, gen config.Generation) bool {
	kept := head.Current.Generation
	if n := len(head.History); n > 0 {
		kept = head.History[n-1].Generation
	}
	return gen < kept
}

// onDeadline ends the attempt unless its step is already final.
func (a *attempt) onDeadline() {
	if a.step.isFinal() {
		return
	}
	a.endedAt = a.step
	a.step = StepRefused
	if a.inDoubt {
		a.step = StepUnknown
	}
}

// needsBackoff reports whether the last step made no progress, so that a delay is
// required before the next one.
func (a *attempt) needsBackoff(before Step) bool {
	return a.step == before || (before == StepReread && a.step == StepWrite)
}
