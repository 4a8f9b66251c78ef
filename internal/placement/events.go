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
	eventUnwanted = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 404,
		Level:   logrus.InfoLevel,
		Name:    "target wants no requests",
		Meaning: "The target has said in an answer that it leaves (for_ms 0), or wants nothing for so long. This VM sends nothing more to this start of it, for good or until then, whatever the store says.",
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
