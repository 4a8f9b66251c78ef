package forward

import (
	"github.com/gravitational/trace"

	"masticturn/internal/outcome"
	"masticturn/internal/telemetry"
)

// faultLog logs failed requests. The logger limits the rate of lines.
type faultLog struct{ logger *telemetry.Logger }

func newFaultLog(l *telemetry.Logger) *faultLog { return &faultLog{logger: l} }

// logDropped logs an attempt whose response was dropped as invalid.
func (f *faultLog) logDropped(x *exchange, result *attemptResult) {
	switch result.Fault {
	case FaultMismatched, FaultTruncated, FaultMalformed:
	default:
		return
	}
	f.logger.Log(eventAnswerDropped,
		telemetry.Peer(result.Peer),
		telemetry.Step(string(result.Step)),
		telemetry.Value("request_id", x.id),
		telemetry.Value("fault", result.Fault.String()),
		telemetry.Err(trace.Wrap(result.Err)))
}

// logFailed logs a request that ended without a complete response.
func (f *faultLog) logFailed(x *exchange, err *outcome.Error) {
	fields := append(x.logFields(),
		telemetry.Peer(err.Peer),
		telemetry.Value("digest", x.digestText()),
		telemetry.Step(string(err.Step)),
		telemetry.Value("outcome", err.Outcome.String()),
		telemetry.Value("status", errorStatus(err)),
		telemetry.Value("retry_after_ms", err.RetryAfter.Milliseconds()),
		telemetry.Err(trace.Wrap(err)))
	f.logger.Log(eventRequestFailed, fields...)
}
