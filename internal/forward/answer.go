package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/outcome"
)

// writeError gives an error answer: headers for programs, JSON for both.
func writeError(w http.ResponseWriter, id string, e *outcome.Error) {
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
	setOne(h, edge.HeaderRequestID, id)
	setOne(h, edge.HeaderOutcome, e.Outcome.String())
	setOne(h, edge.HeaderStep, string(e.Step))
	if e.Peer != "" {
		setOne(h, edge.HeaderPeer, e.Peer)
	}
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		setOne(h, "Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(status(e))
	_, _ = w.Write(raw)
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
