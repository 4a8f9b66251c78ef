package placement

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// The events of placement.
var (
	eventPlaced = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 401,
		Level:   logrus.InfoLevel,
		Name:    "request placed",
		Meaning: "A request goes to the target named. rank is the target's position among those of the request's object; own and others are the estimated requests there, against its slots; age_ms is the age of its load report.",
		Action:  "None.",
		Routine: true,
	})
	eventRefused = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 402,
		Level:   logrus.WarnLevel,
		Name:    "request refused",
		Meaning: "A request was refused without being run, for the reason stated. retry_after_ms is when the caller may retry; queued is the length of the queue; targets are the object's, each with the slots in use.",
		Action:  "If there are many: check the targets' load in the region, and which targets are barred.",
	})
	eventTargetNotice = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 404,
		Level:   logrus.InfoLevel,
		Name:    "target takes no requests",
		Meaning: "An answer of the target announced that it is leaving (for_ms 0), or asked for backoff. This VM sends it no more requests, or none until the backoff ends, whatever its entry in the store says.",
		Action:  "None.",
	})
	eventBarred = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 403,
		Level:   logrus.WarnLevel,
		Name:    "target barred",
		Meaning: "A target gets no requests for the time stated after consecutive failures.",
		Action:  "Inspect the target if it recurs.",
	})
)
