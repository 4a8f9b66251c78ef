package forward

import (
	"github.com/gravitational/trace"

	"masticturn/internal/outcome"
	"masticturn/internal/telemetry"
)

// faultLog logs failures of requests. The logger limits the lines.
type faultLog struct{ logger *telemetry.Logger }

func newFaultLog(l *telemetry.Logger) *faultLog { return &faultLog{logger: l} }

// note logs a dropped answer.
func (f *faultLog) note(x *exchange, end *attemptEnd) {
	if end.Fault != FaultCrossed && end.Fault != FaultShort {
		return
	}
	f.logger.Log(eventAnswerDropped,
		telemetry.Peer(end.Peer),
		telemetry.Step(string(end.Step)),
		telemetry.Value("request_id", x.id),
		telemetry.Value("fault", end.Fault.String()),
		telemetry.Err(trace.Wrap(end.Err)))
}

// failed logs a request without a complete answer.
func (f *faultLog) failed(x *exchange, err *outcome.Error) {
	fields := append(x.logFields(),
		telemetry.Peer(err.Peer),
		telemetry.Value("digest", x.digestText()),
		telemetry.Step(string(err.Step)),
		telemetry.Value("outcome", err.Outcome.String()),
		telemetry.Value("status", status(err)),
		telemetry.Value("retry_after_ms", err.RetryAfter.Milliseconds()),
		telemetry.Err(trace.Wrap(err)))
	f.logger.Log(eventRequestFailed, fields...)
}
