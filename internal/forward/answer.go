package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/outcome"
)

// writeError writes an error answer: headers for programs, JSON for both.
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
	setOne(h, "Content-Type", "application/json")
	setOne(h, "Content-Length", strconv.Itoa(len(raw)))
	if id != "" {
		setOne(h, d.RequestID, id)
	}
	if d.ExplainAnswers {
		explain(h, e)
	}
	if e.RetryAfter > 0 {
		setOne(h, "Retry-After", formatRetryAfter(e.RetryAfter, d.FractionalSeconds))
	}
	if status(e) == http.StatusUnauthorized {
		setOne(h, "Www-Authenticate", d.CustomerKey) // RFC 9110, section 11.6.1
	}
	w.WriteHeader(status(e))
	_, _ = w.Write(raw)
}

func explain(h http.Header, e *outcome.Error) {
	setOne(h, edge.HeaderOutcome, e.Outcome.String())
	setOne(h, edge.HeaderStep, string(e.Step))
	if e.Peer != "" {
		setOne(h, edge.HeaderPeer, e.Peer)
	}
}

// formatRetryAfter formats seconds, rounded up if fractions are not allowed.
func formatRetryAfter(d time.Duration, fractional bool) string {
	if fractional {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func status(e *outcome.Error) int {
	switch {
	case e.Status != 0:
		return e.Status
	case e.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
