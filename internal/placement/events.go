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
		Meaning: "A request goes to the target named. rank is the target's place in the order of the request's object; own and others are the requests believed to run there, of so many slots; age_ms is the age of that belief.",
		Action:  "None.",
		Routine: true,
	})
	eventRefused = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 402,
		Level:   logrus.WarnLevel,
		Name:    "request refused",
		Meaning: "A request was told that it was not run, for the reason stated, with the time after which it may come back. queued is how many waited; targets are the object's, each with what is believed to run there of its slots.",
		Action:  "When there are many: look at the targets' load in the region, and at which targets are barred.",
	})
	eventTargetNotice = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 404,
		Level:   logrus.InfoLevel,
		Name:    "target takes no requests",
		Meaning: "An answer of the target announced that it is leaving (for_ms 0), or asked for backoff. This VM sends it nothing more, or nothing until then, whatever its entry in the store says.",
		Action:  "None.",
	})
	eventBarred = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 403,
		Level:   logrus.WarnLevel,
		Name:    "target barred",
		Meaning: "A target gets no request for the time stated, since requests there failed.",
		Action:  "Look into the target when it is named again and again.",
	})
)
