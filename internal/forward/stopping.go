package forward

import (
	"errors"

	"masticturn/internal/admission"
	"masticturn/internal/outcome"
)

// errStopping is the cause of an attempt that ends because of StopSending.
var errStopping = errors.New("this VM is about to stop")

// StopSending makes the handler reject requests that were not sent to a target yet as not run, because the time until
// this process exits does not suffice for their responses. Requests that were sent are not affected.
func (h *Handler) StopSending() {
	h.sendingStopped.Store(true)
	h.unadmitted.cancel(errStopping)
}

// stoppedResult returns the result of an attempt that was not sent before StopSending.
func stoppedResult() attemptResult {
	return attemptResult{Step: outcome.StepAdmit, Fault: FaultRefused, Err: stoppingError(outcome.StepAdmit)}
}

// checkStopping refuses a request that is about to be sent after StopSending.
func (a *attempt) checkStopping() attemptResult {
	if !a.x.h.sendingStopped.Load() {
		return attemptResult{}
	}
	a.permit.Release(admission.Result{Outcome: outcome.NotRun, Step: outcome.StepConnect, InFlight: -1, Canceled: true})
	a.released = true
	return stoppedResult()
}
