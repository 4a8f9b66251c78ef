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
	eventColdRequest = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 406,
		Level:   logrus.InfoLevel,
		Name:    "request to a cold target",
		Meaning: "The request is sent to a target that is cold for another cold_for_ms. Of the vms that this VM knows, those with a rank below senders may send it requests, each one in 1.1 s; rank is this VM's, and since_ms is the time since its last such request (-1: none).",
		Action:  "If a cold target gets more requests than its limit, compare vms and rank at all VMs.",
	})
	eventTargetSpeed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 405,
		Level:   logrus.InfoLevel,
		Name:    "speed of target changed",
		Meaning: "Runs at the target take about the given multiple (slowness, a power of two) of the time that they take at a target of mean speed, by the runs of all VMs of the region; before is the last such value. Objects are sent to slow targets less often. Only the VM that sums the region's load reports logs it.",
		Action:  "If a target stays slow (slowness 2 or more), check its machine.",
	})
	eventSplitSwitched = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 451,
		Level:   logrus.InfoLevel,
		Name:    "split over regions switched",
		Meaning: "For the service, the root of the region's VMs has set another split of the region's requests over regions than the default (on true), or has returned to the default; reason says why. VMs move toward the split by 0.05 a second.",
		Action:  "If it is on for long, add targets in this region.",
	})
	eventOverloadSwitched = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 411,
		Level:   logrus.InfoLevel,
		Name:    "admission by priority and customer switched",
		Meaning: "The document in force calls for admission by priority and customer for the service (on true), or no longer does; reason says why. While it is on and capacity is short, requests are refused by the fractions that the root of the region's VMs computes.",
		Action:  "None.",
	})
	eventFractionLimited = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 412,
		Level:   logrus.WarnLevel,
		Name:    "service short of capacity",
		Meaning: "The capacity of the service's targets is too small for the requests of the region's callers: of the requests of the priority only the fraction is admitted. The VM that logs this decides for its region.",
		Action:  "If it lasts, add targets, or check for slow ones.",
	})
	eventFractionRestored = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 413,
		Level:   logrus.InfoLevel,
		Name:    "service has capacity for a priority again",
		Meaning: "All requests of the priority have been admitted again for 5 s.",
		Action:  "None.",
	})
	eventTargetEjected = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 403,
		Level:   logrus.WarnLevel,
		Name:    "target ejected",
		Meaning: "After consecutive failures the target gets no requests from this VM for the time given.",
		Action:  "If it recurs, check the target.",
	})
)
