package forward

import (
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"masticturn/internal/outcome"
	"masticturn/internal/telemetry"
)

// Lines of failed requests are bounded, since a fault of a target is a fault
// of thousands of requests.
const (
	failuresPerSecond = 20
	failuresBurst     = 50
)

// faultLog writes what went wrong with requests.
type faultLog struct {
	logger  *telemetry.Logger
	limiter *rate.Limiter
}

func newFaultLog(l *telemetry.Logger) *faultLog {
	return &faultLog{logger: l, limiter: rate.NewLimiter(failuresPerSecond, failuresBurst)}
}

// note writes an answer that was dropped.
func (f *faultLog) note(x *exchange, end *attemptEnd) {
	if end.Fault != FaultCrossed && end.Fault != FaultShort || !f.limiter.Allow() {
		return
	}
	f.logger.Log(eventAnswerDropped,
		telemetry.Peer(end.Peer),
		telemetry.Step(string(end.Step)),
		telemetry.Value("request_id", x.id),
		telemetry.Value("fault", end.Fault.String()),
		telemetry.Err(trace.Wrap(end.Err)))
}

// failed writes a request that ended without a whole answer.
func (f *faultLog) failed(x *exchange, err *outcome.Error) {
	if !f.limiter.Allow() {
		return
	}
	f.logger.Log(eventRequestFailed,
		telemetry.Peer(err.Peer),
		telemetry.Step(string(err.Step)),
		telemetry.Value("outcome", err.Outcome.String()),
		telemetry.Value("request_id", x.id),
		telemetry.Err(trace.Wrap(err)))
}
