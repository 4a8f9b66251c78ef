package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/outcome"
)

// writeError sends an error response, with the details in a JSON body and, if the dialect has them, in
// headers.
func writeError(w http.ResponseWriter, id string, e *outcome.Error, d *edge.Dialect) {
	raw, _ := json.Marshal(edge.ErrorBody{
		Outcome:      e.Outcome.String(),
		Step:         string(e.Step),
		Peer:         e.Peer,
		Reason:       e.Reason,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    id,
	})
	h := w.Header()
	setHeader(h, "Content-Type", "application/json")
	setHeader(h, "Content-Length", strconv.Itoa(len(raw)))
	if id != "" {
		setHeader(h, d.RequestID, id)
	}
	if d.AddOutcomeHeaders {
		setOutcomeHeaders(h, e)
	}
	if e.RetryAfter > 0 {
		setHeader(h, "Retry-After", formatRetryAfter(e.RetryAfter, d.FractionalRetryAfter))
	}
	if errorStatus(e) == http.StatusUnauthorized {
		setHeader(h, "Www-Authenticate", d.CustomerKey) // RFC 9110, section 11.6.1
	}
	w.WriteHeader(errorStatus(e))
	_, _ = w.Write(raw)
}

func setOutcomeHeaders(h http.Header, e *outcome.Error) {
	setHeader(h, edge.HeaderOutcome, e.Outcome.String())
	setHeader(h, edge.HeaderStep, string(e.Step))
	if e.Peer != "" {
		setHeader(h, edge.HeaderPeer, e.Peer)
	}
}

// formatRetryAfter formats a duration in seconds, rounded up if fractions are not allowed.
func formatRetryAfter(d time.Duration, fractional bool) string {
	if fractional {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func errorStatus(e *outcome.Error) int {
	switch {
	case e.Status != 0:
		return e.Status
	case e.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
