package forward

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/measure"
	"masticturn/internal/outcome"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// checkHead checks the head of the response before any byte is sent to the caller.
func (a *attempt) checkHead() attemptResult {
	h := a.resp.Header
	a.readTargetReport(h)
	result := attemptResult{Step: outcome.StepReceive, Sent: true, Consumed: a.revokeUpload()}
	if id := headerValue(h, a.x.h.deps.Dialect.TargetRequestID); id != "" && id != a.x.id {
		result.Fault = FaultMismatched
		result.Err = fmt.Errorf("response carries request ID %q", id)
		return result
	}
	a.notifyRateLimit(h)
	if a.notRun() {
		result.Fault = FaultShed
		result.Misdirected = a.resp.StatusCode == http.StatusMisdirectedRequest
		result.SlotsFree = a.load != nil && a.load.Running < a.load.Slots
		result.Err = errTargetRefused
		result.Backoff = a.backoff
		return result
	}
	if a.resp.StatusCode >= http.StatusInternalServerError {
		return a.serverError(result)
	}
	if a.resp.StatusCode == http.StatusSwitchingProtocols {
		result.Fault = FaultTruncated
		result.Err = errors.New("the target switched protocols unasked")
		return result
	}
	if targetconn.IsCloseDelimited(a.resp) && !a.x.h.deps.Dialect.CloseDelimitedResponses {
		result.Fault = FaultTruncated
		result.Err = errors.New("the answer has neither a length nor chunks, so that its end can't be told from a cut")
		return result
	}
	return attemptResult{}
}

var errTargetRefused = errors.New("the target answered that it did not run the request")

// notRun reports whether the target states that it did not run the request: by a header, or by status
// 421 if a certain instance was expected. A 400 is always relayed.
func (a *attempt) notRun() bool {
	switch a.resp.StatusCode {
	case http.StatusBadRequest:
		return false
	case http.StatusMisdirectedRequest:
		if a.target.Instance != "" {
			return true
		}
	}
	return headerValue(a.resp.Header, a.x.h.deps.Dialect.TargetNotRun) != ""
}

// serverError handles a 5xx response of the target. It is relayed unless another attempt is possible.
// A 504 is always relayed, as no time would be left for another attempt.
func (a *attempt) serverError(result attemptResult) attemptResult {
	if a.resp.StatusCode == http.StatusGatewayTimeout {
		return attemptResult{}
	}
	result.Fault = FaultUnavailable
	if !a.hedged && a.x.dispatch.mayRetry(result) && a.x.retryAllowed(a.target.Name) {
		return result
	}
	return attemptResult{}
}

// readTargetReport reads the load and the notices that the target reports in its headers.
func (a *attempt) readTargetReport(h http.Header) {
	d := a.x.h.deps.Dialect
	if value := headerValue(h, d.TargetLoad); value != "" {
		if load, ok := d.ParseLoad(value); ok {
			a.load = &load
		} else {
			a.x.h.series.unreadableLoads.Inc()
		}
	}
	if timeout := keepAliveTimeout(h.Get("Keep-Alive")); timeout > 0 {
		a.conn.SetKeepAliveTimeout(timeout)
	}
	a.draining = headerValue(h, d.TargetDraining) == "1"
	if a.resp.StatusCode == http.StatusServiceUnavailable {
		a.backoff = min(parseRetryAfter(headerValue(h, "Retry-After"), a.x.h.deps.Clock.Now()), maxBackoff)
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

// notifyAdmission passes the target's notice to admission, unless another instance responded.
func (a *attempt) notifyAdmission() {
	receiver, ok := a.permit.(admission.NoticeReceiver)
	if !ok || a.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if notice := (admission.Notice{Leaving: a.draining, Backoff: a.backoff}); notice != (admission.Notice{}) {
		receiver.Notify(notice)
	}
}

// notifyRateLimit passes what the response says of the target's rate limit to admission, unless another
// instance responded. A response to a request that was not run, or a 5xx, does not end a limit by
// naming none.
func (a *attempt) notifyRateLimit(h http.Header) {
	receiver, ok := a.permit.(admission.RateLimitReceiver)
	d := a.x.h.deps.Dialect
	if !ok || d.TargetRateLimit == "" || a.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	values := h[d.TargetRateLimit]
	if len(values) == 0 {
		if !a.notRun() && a.resp.StatusCode < http.StatusInternalServerError {
			receiver.NotifyRateLimit(admission.RateLimit{}, a.sentAt)
		}
		return
	}
	perSecond, ok := d.ParseRateLimit(values)
	if !ok {
		a.x.h.series.unreadableRateLimits.Inc()
		return
	}
	receiver.NotifyRateLimit(admission.RateLimit{Named: true, PerSecond: perSecond}, a.sentAt)
	if a.carrier != "" && a.x.h.deps.ShareLimit != nil {
		a.x.h.deps.ShareLimit(a.carrier, a.target.Name, perSecond)
	}
}

// logNotice logs and counts the target's notices.
func (a *attempt) logNotice(h http.Header) {
	if a.draining {
		a.x.h.series.leavingNotices.Inc()
		a.x.h.deps.Logger.Log(eventTargetDraining, telemetry.Peer(a.target.Name), telemetry.Value("request_id", a.x.id))
	}
	if after := headerValue(h, "Retry-After"); after != "" && a.resp.StatusCode == http.StatusServiceUnavailable {
		a.x.h.series.backoffNotices.Inc()
		a.x.h.deps.Logger.Log(eventTargetBackoff, telemetry.Peer(a.target.Name), telemetry.Value("request_id", a.x.id),
			telemetry.Value("retry_after", after[:min(len(after), maxLoggedHeader)]))
	}
}

// maxBackoff limits a target's Retry-After.
const maxBackoff = 10 * time.Minute

// maxLoggedHeader limits the logged part of a header value, in bytes.
const maxLoggedHeader = 64

// reportedLoad returns the load reported with the response; -1 and 0 if there was none.
func (a *attempt) reportedLoad() (inFlight, slots int) {
	if a.load == nil {
		return -1, 0
	}
	return a.load.Running + a.load.Waiting, a.load.Slots
}
