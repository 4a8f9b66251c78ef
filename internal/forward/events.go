package forward

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Log events of the request path.
var (
	eventRequestFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 1,
		Level:   logrus.WarnLevel,
		Name:    "request failed",
		Meaning: "A request ended without a complete response; step, peer and outcome are given. left_ms is the time that the caller allowed; a retry by the caller after a refusal has less than other requests of its rule. The rate of these lines is limited.",
		Action:  "Check the named peer; if many requests fail at one step, check the metrics by step.",
	})
	eventAnswerDropped = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 2,
		Level:   logrus.ErrorLevel,
		Name:    "answer dropped",
		Meaning: "A target sent a response that was malformed, truncated, had no recognizable end, or belongs to another request. It was not passed to the caller as a complete response.",
		Action:  "Check the target and any proxy in front of it: responses are mixed up or truncated.",
	})
	eventRequestAnswered = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 6,
		Level:   logrus.InfoLevel,
		Name:    "request answered",
		Meaning: "The complete response of the named target was sent to the caller; status is the target's, sent_ms the time at the target, left_ms the time that the caller allowed.",
		Action:  "None.",
		Routine: true,
	})
	eventRequestRetried = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 5,
		Level:   logrus.InfoLevel,
		Name:    "request retried",
		Meaning: "The previous attempt ended as stated, and the request is sent again, to another target unless a connection was stale.",
		Action:  "None by itself; if there are many, check the target of the previous attempt.",
	})
	eventServing = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 3,
		Level:   logrus.InfoLevel,
		Name:    "listening for callers",
		Meaning: "The callers' listener is open at the given address.",
		Action:  "None.",
	})
	eventRequestsAborted = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 4,
		Level:   logrus.ErrorLevel,
		Name:    "requests aborted on stop",
		Meaning: "The process was forced to stop while requests were in flight; their number is given.",
		Action:  "Let planned stops end by themselves; find out which requests take so long.",
	})
	eventRequestsByRegion = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 7,
		Level:   logrus.InfoLevel,
		Name:    "requests by region",
		Meaning: "Numbers of requests of this VM in the two seconds that end now: received by the region of their caller; by the region of their target, placed when it is chosen, connected when a connection to it had to be opened first, sent when they are written to a connection.",
		Action:  "None. If a region's requests seem to have moved, add up the lines of its VMs: received shows whether callers moved to other VMs, placed whether other targets were chosen. If only sent changes, connected tells how many requests waited for their connection.",
	})
	eventRunBroken = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 9,
		Level:   logrus.WarnLevel,
		Name:    "run broken by its target",
		Meaning: "The target closed the connection of a run before the complete response, ran_ms after the request was sent. Target is the result of a new connection: ended (connection refused), listening, or unknown. Digest identifies the whole request and is the same for each repetition.",
		Action:  "If lines of several ended targets have the same digest, that request may crash them: find its sender.",
	})
	eventRequestHeldBack = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 10,
		Level:   logrus.WarnLevel,
		Name:    "request held back",
		Meaning: "The request was rejected because targets have crashed while running it; their number and the age of the last crash are given. Verdict suspect: another run holds the lease; quarantined: rejected until a trial, an answered run or an operator clears it.",
		Action:  "See 5302 lines and OPERATIONS.",
	})
	eventTargetDraining = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 11,
		Level:   logrus.InfoLevel,
		Name:    "target is leaving",
		Meaning: "A response of the target has the header that announces its leaving.",
		Action:  "None.",
	})
	eventTargetBackoff = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 12,
		Level:   logrus.InfoLevel,
		Name:    "target requested backoff",
		Meaning: "The target responded with 503 and Retry-After; the value is logged unparsed.",
		Action:  "None by itself; if many targets of a service do so, the service is overloaded.",
	})
	eventOpenAheadFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 8,
		Level:   logrus.DebugLevel,
		Name:    "connection not opened ahead",
		Meaning: "A connection to a target that is expected to get requests could not be opened ahead of them. The next request to it opens its own.",
		Action:  "None by itself; see whether requests to that target fail.",
	})
)
