package forward

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// The events of the request path.
var (
	eventRequestFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 1,
		Level:   logrus.WarnLevel,
		Name:    "request failed",
		Meaning: "A request ended without a whole answer; step, peer and outcome are given. left_ms is the time that the caller gave it: one that came back after a refusal has less than others of its rule. At most some of these lines are written each second.",
		Action:  "Look at the peer that is named; when many requests fail at one step, look at the metrics by step.",
	})
	eventAnswerDropped = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 2,
		Level:   logrus.ErrorLevel,
		Name:    "answer dropped",
		Meaning: "A target sent an answer that was cut short, had no clean end, or belongs to another request. It was not given to the caller.",
		Action:  "Look into the target, or into what lies before it: it mixes up or cuts answers.",
	})
	eventAnswered = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 6,
		Level:   logrus.InfoLevel,
		Name:    "request answered",
		Meaning: "The whole answer of the target named went to the caller; status is the target's, sent_ms the time at the target; left_ms is the time that the caller gave it.",
		Action:  "None.",
		Routine: true,
	})
	eventRetried = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 5,
		Level:   logrus.InfoLevel,
		Name:    "request sent once more",
		Meaning: "The attempt before ended as stated, and the request goes to another target.",
		Action:  "None by itself; many of them point at the target named by the line before.",
	})
	eventServing = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 3,
		Level:   logrus.InfoLevel,
		Name:    "callers are served",
		Meaning: "The callers' listener is open at the given address.",
		Action:  "None.",
	})
	eventCut = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 4,
		Level:   logrus.ErrorLevel,
		Name:    "requests cut",
		Meaning: "The process was forced to stop while requests were in flight; their number is given.",
		Action:  "Wait for a planned stop to end by itself; look which requests are so long.",
	})
	eventRegions = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 7,
		Level:   logrus.InfoLevel,
		Name:    "requests by region",
		Meaning: "Requests of this VM in the two seconds that end now, by the region of their target: placed when the target was chosen, sent when they were written to its connection.",
		Action:  "None. When a region's requests seem to have moved, add up the lines of its VMs: placed tells whether other targets were chosen.",
	})
	eventRunBroken = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 9,
		Level:   logrus.WarnLevel,
		Name:    "run broken by its target",
		Meaning: "The target ended the connection of a run before its whole answer, ran_ms after it was sent. Target tells what a new connection found: ended (nobody listens), listening, or unknown. Digest is that of the whole request, the same whenever it comes again.",
		Action:  "When lines of several targets that ended carry one digest, that request may end them: look for who sends it.",
	})
	eventHeldBack = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 10,
		Level:   logrus.WarnLevel,
		Name:    "request held back",
		Meaning: "The request was rejected because targets have crashed while running it: their number, and the age of the last crash. Verdict suspect: another run holds the lease; quarantined: rejected until a trial, an answered run or an operator clears it.",
		Action:  "See 5302 lines and OPERATIONS.",
	})
	eventTargetLeaves = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 11,
		Level:   logrus.InfoLevel,
		Name:    "target is leaving",
		Meaning: "An answer of the target carries the leaving header.",
		Action:  "None.",
	})
	eventTargetBackoff = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 12,
		Level:   logrus.InfoLevel,
		Name:    "target asks for backoff",
		Meaning: "The target answered 503 with Retry-After; its value is logged unparsed.",
		Action:  "None by itself; if many targets of a service do so, the service is overloaded.",
	})
	eventAheadFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 8,
		Level:   logrus.DebugLevel,
		Name:    "connection not opened ahead",
		Meaning: "A connection to a target that is expected to get requests could not be opened. The next request there opens its own.",
		Action:  "None by itself; requests to that target tell more.",
	})
)
