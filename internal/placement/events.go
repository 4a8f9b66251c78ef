package placement

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// The log events of this package.
var (
	eventPlaced = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 401,
		Level:   logrus.InfoLevel,
		Name:    "request placed",
		Meaning: "The request is sent to the named target. rank is the target's position among those of the request's object; own and others are the numbers of requests there of this VM and of others, compared with its slots; age_ms is the age of its load report.",
		Action:  "None.",
		Routine: true,
	})
	eventRefused = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 402,
		Level:   logrus.WarnLevel,
		Name:    "request refused",
		Meaning: "The request was refused without being run, for the reason given. retry_after_ms is the time after which the caller may retry; queued is the length of the queue; targets are those of the request's object, each with its slots in use.",
		Action:  "If it occurs often, check the load of the region's targets and which targets are ejected.",
	})
	eventTargetNotice = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 404,
		Level:   logrus.InfoLevel,
		Name:    "target stopped accepting requests",
		Meaning: "The target announced with an answer that it is leaving (for_ms 0) or asked for backoff. This VM sends it no more requests, or none until the backoff ends, even if its entry in the store says otherwise.",
		Action:  "None.",
	})
	eventTargetSpeed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 405,
		Level:   logrus.InfoLevel,
		Name:    "speed of target changed",
		Meaning: "Runs at the target take about the given multiple (slowness, a power of two) of the time that they take at a target of mean speed, by the runs of all VMs of the region; before is the last such value. Objects are sent to slow targets less often. Only the VM that sums the region's load reports logs it.",
		Action:  "If a target stays slow (slowness 2 or more), check its machine.",
	})
	eventTargetEjected = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 403,
		Level:   logrus.WarnLevel,
		Name:    "target ejected",
		Meaning: "After consecutive failures the target gets no requests from this VM for the time given.",
		Action:  "If it recurs, check the target.",
	})
)
