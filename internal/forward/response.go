package forward

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/measure"
	"masticturn/internal/outcome"
	"masticturn/internal/telemetry"
)

// check checks the head of the answer before any byte is sent to the caller.
func (a *attempt) check() attemptEnd {
	h := a.resp.Header
	a.observe(h)
	end := attemptEnd{Step: outcome.StepReceive, Sent: true, Consumed: a.consumed()}
	if id := first(h, a.x.h.deps.Dialect.TargetRequestID); id != "" && id != a.x.id {
		end.Fault = FaultCrossed
		end.Err = fmt.Errorf("the answer carries request id %q", id)
		return end
	}
	if a.notRun() {
		end.Fault = FaultShed
		end.Misdirected = a.resp.StatusCode == http.StatusMisdirectedRequest
		end.SlotsFree = a.load != nil && a.load.Running < a.load.Slots
		end.Err = errTargetRefused
		end.Backoff = a.backoff
		return end
	}
	if a.resp.StatusCode >= http.StatusInternalServerError {
		return a.serverError(end)
	}
	if a.resp.StatusCode == http.StatusSwitchingProtocols {
		end.Fault = FaultShort
		end.Err = errors.New("the target switched protocols unasked")
		return end
	}
	if a.undelimited() && !a.x.h.deps.Dialect.UndelimitedAnswers {
		end.Fault = FaultShort
		end.Err = errors.New("the answer has neither a length nor chunks, so that its end can't be told from a cut")
		return end
	}
	return attemptEnd{}
}

var errTargetRefused = errors.New("the target answered that it did not run the request")

// notRun reports whether the target states that it did not run the request: by header, or by status if
// another instance has the address. A 400 is always relayed.
func (a *attempt) notRun() bool {
	switch a.resp.StatusCode {
	case http.StatusBadRequest:
		return false
	case http.StatusMisdirectedRequest:
		if a.target.Instance != "" {
			return true
		}
	}
	return first(a.resp.Header, a.x.h.deps.Dialect.TargetNotRun) != ""
}

// undelimited reports whether the answer ends with its connection.
func (a *attempt) undelimited() bool {
	return a.resp.ContentLength < 0 && len(a.resp.TransferEncoding) == 0 && a.resp.Body != http.NoBody
}

// serverError handles a failure answered by the target. It is relayed unless another attempt is
// possible. A gateway timeout would leave another one no time.
func (a *attempt) serverError(end attemptEnd) attemptEnd {
	if a.resp.StatusCode == http.StatusGatewayTimeout {
		return attemptEnd{}
	}
	end.Fault = FaultUnavailable
	if !a.hedged && a.x.dispatch.mayRetry(end) && a.x.retryAllowed(a.target.Name) {
		return end
	}
	return attemptEnd{}
}

// observe reads the target's load report.
func (a *attempt) observe(h http.Header) {
	d := a.x.h.deps.Dialect
	if load, ok := d.ParseLoad(first(h, d.TargetLoad)); ok {
		a.load = &load
	}
	if keeps := keepAliveTimeout(h.Get("Keep-Alive")); keeps > 0 {
		a.conn.TargetKeeps(keeps)
	}
	a.draining = first(h, d.TargetDraining) == "1"
	if a.resp.StatusCode == http.StatusServiceUnavailable {
		a.backoff = min(parseRetryAfter(first(h, "Retry-After"), a.x.h.deps.Clock.Now()), maxBackoff)
	}
	a.logNotice(h)
	a.notifyAdmission()
	shed := a.notRun()
	if !a.draining && !shed {
		return
	}
	inFlight, slots := a.reportedLoad()
	a.x.h.deps.Measure.Observe(measure.Observation{
		Target:   a.target.Name,
		Draining: a.draining,
		Shed:     shed,
		InFlight: inFlight,
		Slots:    slots,
	})
}

// notifyAdmission passes the target's notice on, unless another instance answered.
func (a *attempt) notifyAdmission() {
	hearer, ok := a.permit.(admission.NoticeReceiver)
	if !ok || a.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if w := (admission.Notice{Leaving: a.draining, Backoff: a.backoff}); w != (admission.Notice{}) {
		hearer.Notify(w)
	}
}

// logNotice logs what the target announces.
func (a *attempt) logNotice(h http.Header) {
	if a.draining {
		a.x.h.series.leaving.Inc()
		a.x.h.deps.Logger.Log(eventTargetLeaves, telemetry.Peer(a.target.Name), telemetry.Value("request_id", a.x.id))
	}
	if after := first(h, "Retry-After"); after != "" && a.resp.StatusCode == http.StatusServiceUnavailable {
		a.x.h.series.backoffs.Inc()
		a.x.h.deps.Logger.Log(eventTargetBackoff, telemetry.Peer(a.target.Name), telemetry.Value("request_id", a.x.id),
			telemetry.Value("retry_after", after[:min(len(after), maxLoggedHeader)]))
	}
}

// maxBackoff bounds a target's Retry-After.
const maxBackoff = 10 * time.Minute

// maxLoggedHeader bounds the logged part of a header, in bytes.
const maxLoggedHeader = 64

// reportedLoad returns the load reported with the answer; -1 and 0 if there was none.
func (a *attempt) reportedLoad() (inFlight, slots int) {
	if a.load == nil {
		return -1, 0
	}
	return a.load.Running + a.load.Waiting, a.load.Slots
}
