package forward

import (
	"context"

	"masticturn/internal/admission"
	"masticturn/internal/outcome"
)

// whileSending returns a context that also ends with StopSending. release must be called.
func (h *Handler) whileSending(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(h.sending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// checkStopping refuses a request that is about to be sent after StopSending.
func (a *attempt) checkStopping() attemptResult {
	if a.x.h.sending.Err() == nil {
		return attemptResult{}
	}
	a.permit.Release(admission.Result{Outcome: outcome.NotRun, Step: outcome.StepConnect, InFlight: -1, Canceled: true})
	a.released = true
	return attemptResult{Step: outcome.StepAdmit, Fault: FaultRefused, Err: stoppingError(outcome.StepAdmit)}
}
