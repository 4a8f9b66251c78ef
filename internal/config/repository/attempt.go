package repository

import (
	"errors"
	"fmt"

	"masticturn/internal/config"
	"masticturn/internal/platform"
)

// Step is a step of applying a document.
type Step uint8

// The steps of applying a document. The last four are final.
const (
	StepRead     Step = iota // reads the head
	StepChunks               // writes the chunks of many client blocks, those not yet written
	StepWrite                // writes the head under its condition
	StepReread               // reads the head to learn what became of the write
	StepAccepted             // the document was accepted
	StepConflict             // another document was accepted instead
	StepUnknown              // the deadline passed with a write in doubt
	StepRefused              // the deadline passed, surely without effect
)

// Steps returns all steps that are not final.
func Steps() []Step { return []Step{StepRead, StepChunks, StepWrite, StepReread} }

// String returns the name used in errors and logs.
func (s Step) String() string {
	return [...]string{"read", "chunks", "write", "reread", "accepted", "conflict", "unknown", "refused"}[s]
}

func (s Step) final() bool { return s >= StepAccepted }

// attempt is the state machine of one call of Apply. It takes the results of
// store calls and tells the next step; it does no I/O.
//
// The write is conditional on the version last read, so that sending it again
// is idempotent: at most one of the copies takes effect, and none once the
// version was passed.
type attempt struct {
	writeID string
	hash    uint64            // of the proposed document
	base    config.Generation // generation the operator started from
	inForce config.Generation // generation in force at this daemon

	step    Step
	ended   Step             // step at which the deadline came
	head    *Head            // last read; nil when there is none
	version platform.Version // version of head, 0 when there is none
	inDoubt bool             // a write at version may take effect
	moved   bool             // the store said that version was passed
	result  *Record          // the accepted record
	lastErr error
}

// onRead takes the result of StepRead. A missing head is no error.
func (a *attempt) onRead(head *Head, version platform.Version, err error) {
	if err != nil {
		a.lastErr = err
		return
	}
	a.consider(head, version)
}

// consider decides by a head that the write may be based on. A document that
// is already in force is accepted as it stands.
func (a *attempt) consider(head *Head, version platform.Version) {
	a.head, a.version = head, version
	a.moved, a.inDoubt = false, false
	gen := generationOf(head)
	switch {
	case head != nil && head.Current.Hash == a.hash && gen >= max(a.base, a.inForce):
		a.accept(&head.Current)
	case gen > a.base || a.inForce > a.base:
		a.step = StepConflict
	case gen < a.base && a.inForce < a.base:
		// Either the read is stale or the base never existed.
		a.lastErr = fmt.Errorf("the store shows generation %d and this daemon has %d, both before generation %d", gen, a.inForce, a.base)
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

// next returns the generation of the new record. It is above every
// generation that this daemon has seen, also when the store lost some.
func (a *attempt) next() config.Generation {
	return max(generationOf(a.head), a.base, a.inForce) + 1
}

// onChunks takes the result of StepChunks.
func (a *attempt) onChunks(err error) {
	if err != nil {
		a.lastErr = err
		return
	}
	a.step = StepWrite
}

// onWrite takes the result of StepWrite.
func (a *attempt) onWrite(written *Record, err error) {
	a.lastErr = err
	switch {
	case err == nil:
		a.accept(written)
	case errors.Is(err, platform.ErrConflict):
		a.moved = true
		a.step = StepReread
	case errors.Is(err, platform.ErrTooLarge):
		a.ended, a.step = StepWrite, StepRefused
	case errors.Is(err, platform.ErrUnavailable):
		// No effect of this copy; an earlier one may still be in doubt.
	default:
		a.inDoubt = true
		a.step = StepReread
	}
}

func (a *attempt) accept(r *Record) {
	a.result = r
	a.step = StepAccepted
}

// onReread takes the result of StepReread. Versions up to the one that the
// write was based on tell nothing: the read is stale, or the write has not
// taken effect yet.
func (a *attempt) onReread(head *Head, version platform.Version, err error) {
	if err != nil {
		a.lastErr = err
		return
	}
	if head == nil || version <= a.version {
		if !a.moved {
			a.step = StepWrite
		}
		return
	}
	if ours := head.byWriteID(a.writeID); ours != nil {
		a.head = head
		a.accept(ours)
		return
	}
	if a.inDoubt && beyondHistory(head, a.next()) {
		a.lastErr = fmt.Errorf("generation %d is in force; the history no longer tells", head.Current.Generation)
		a.ended, a.step = StepReread, StepUnknown
		return
	}
	// The version was passed by another write: ours never took effect.
	a.consider(head, version)
}

// beyondHistory reports whether a record of a generation may have left the
// history of the head.
func beyondHistory(head *Head, gen config.Generation) bool {
	kept := head.Current.Generation
	if n := len(head.History); n > 0 {
		kept = head.History[n-1].Generation
	}
	return gen < kept
}

// onDeadline ends an attempt that is not final.
func (a *attempt) onDeadline() {
	if a.step.final() {
		return
	}
	a.ended = a.step
	a.step = StepRefused
	if a.inDoubt {
		a.step = StepUnknown
	}
}

// stuck reports whether the step taken led nowhere new, so that a wait is due
// before the next one.
func (a *attempt) stuck(before Step) bool {
	return a.step == before || (before == StepReread && a.step == StepWrite)
}
