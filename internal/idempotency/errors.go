package idempotency

import (
	"errors"
	"net/http"
	"time"

	"masticturn/internal/outcome"
	"masticturn/internal/platform"
)

// callResult is what an error of the platform means for a claim.
type callResult uint8

const (
	writeDone callResult = iota
	writeConflict
	writeUnknown
	readNotFound
	callFailed
)

func kindOf(err error) callResult {
	switch {
	case err == nil:
		return writeDone
	case errors.Is(err, platform.ErrConflict):
		return writeConflict
	case errors.Is(err, platform.ErrUnknownOutcome):
		return writeUnknown
	case errors.Is(err, platform.ErrNotFound):
		return readNotFound
	}
	return callFailed
}

// retryAfter is the advice when the owner or the platform can't be asked now.
const retryAfter = 2 * time.Second

// refusal turns a verdict that is neither a run nor an answer into the error
// for the caller. This call ran nothing in all cases; the outcome is NotRun
// only when no earlier call under the key ran it either.
func refusal(v Verdict, owner string, cause error) *outcome.Error {
	e := &outcome.Error{Outcome: outcome.Unknown, Step: outcome.StepClaim, Peer: owner, Status: http.StatusConflict, Err: cause}
	switch v {
	case VerdictMismatch:
		e.Outcome, e.Status = outcome.NotRun, http.StatusUnprocessableEntity
		e.Reason = "the key was used for a different request"
	case VerdictFull:
		e.Outcome, e.Status, e.RetryAfter = outcome.NotRun, http.StatusServiceUnavailable, retryAfter
		e.Reason = "too many keys are held"
	case VerdictInvalid:
		e.Outcome, e.Status = outcome.NotRun, http.StatusBadRequest
		e.Reason = "the key's ticket was never issued"
	case VerdictBusy:
		e.RetryAfter = retryAfter
		e.Reason = "an earlier request under the key is still running"
	case VerdictDropped:
		e.Reason = "an earlier request under the key was answered; its answer is no longer kept"
	case VerdictLost:
		e.Reason = "an earlier request under the key ended without a known result"
	case VerdictExpired:
		e.Reason = "the key is too old to know whether it was run"
	case VerdictGone:
		e.Reason = "the process that knew whether the key was run is gone"
	default:
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, retryAfter
		e.Reason = "whether the key was run can't be told now; this call ran nothing"
	}
	return e
}
