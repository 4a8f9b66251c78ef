package idempotency

import (
	"errors"
	"net/http"
	"time"

	"masticturn/internal/outcome"
	"masticturn/internal/platform"
)

// callResult classifies the result of a call to the platform store.
type callResult uint8

const (
	callSucceeded callResult = iota
	callConflict
	callUnknown
	callNotFound
	callFailed
)

func classify(err error) callResult {
	switch {
	case err == nil:
		return callSucceeded
	case errors.Is(err, platform.ErrConflict):
		return callConflict
	case errors.Is(err, platform.ErrUnknownOutcome):
		return callUnknown
	case errors.Is(err, platform.ErrNotFound):
		return callNotFound
	}
	return callFailed
}

// retryAfter is the Retry-After value if the state of a key is not available now.
const retryAfter = 2 * time.Second

// claimError returns the caller's error for a verdict other than VerdictRun and
// VerdictReplay. This call never ran the request; the outcome is NotRun only if no
// earlier call with the key ran it either.
func claimError(v Verdict, owner string, cause error) *outcome.Error {
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
	case VerdictResponseDropped:
		e.Reason = "an earlier request under the key was answered; its answer is no longer kept"
	case VerdictUnknown:
		e.Reason = "an earlier request under the key ended without a known result"
	case VerdictExpired:
		e.Reason = "the key is too old to know whether it was run"
	case VerdictOwnerGone:
		e.Reason = "the process that knew whether the key was run is gone"
	default:
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, retryAfter
		e.Reason = "whether the key was run can't be told now; this call ran nothing"
	}
	return e
}
