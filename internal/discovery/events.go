package discovery

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// The events of discovery.
var (
	eventStoreLost = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 101,
		Level:   logrus.WarnLevel,
		Name:    "store lost",
		Meaning: "A kind of objects can no longer be read from the store or from peers. The last state stays in force.",
		Action:  "Check the platform's store and the path to it. Callers are not affected until targets leave.",
	})
	eventStoreRegained = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 102,
		Level:   logrus.InfoLevel,
		Name:    "store regained",
		Meaning: "A kind of objects is read from the store again, after the time stated.",
		Action:  "None.",
	})
	eventRelayLost = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 107,
		Level:   logrus.InfoLevel,
		Name:    "source lost",
		Meaning: "The peer named, a source of the store's state, did not answer in time or is stale. Another peer, or the store, is used.",
		Action:  "Inspect the VM if it recurs.",
	})
	eventDocument = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 201,
		Level:   logrus.InfoLevel,
		Name:    "document in force",
		Meaning: "A newer document is in force on this VM.",
		Action:  "None.",
	})
	eventDocumentBad = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 202,
		Level:   logrus.ErrorLevel,
		Name:    "document not readable",
		Meaning: "The stored document can't be decoded. The one before stays in force.",
		Action:  "Check what the operator wrote.",
	})
	eventTargetBad = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 103,
		Level:   logrus.ErrorLevel,
		Name:    "target entry not readable",
		Meaning: "A target's changed entry is invalid: a field is missing, of another type or out of range, or it can't be decoded. The error names the field. The other entries hold.",
		Action:  "Check the target's entry in the store and its writer.",
	})
	eventZoneUnknown = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 108,
		Level:   logrus.WarnLevel,
		Name:    "unknown zone evacuated",
		Meaning: "An availability zone that this deployment does not have is to be evacuated, as of the version stated. It changes nothing.",
		Action:  "Check for a mistyped name.",
	})
	eventTarget = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 104,
		Level:   logrus.InfoLevel,
		Name:    "target changed",
		Meaning: "A target came, left, is leaving, or turned cold, as of the version stated.",
		Action:  "None.",
	})
	eventZones = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 105,
		Level:   logrus.InfoLevel,
		Name:    "evacuated zones",
		Meaning: "The availability zones named get no requests; none named: all zones are in use.",
		Action:  "None.",
	})
	eventRegisterFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 106,
		Level:   logrus.WarnLevel,
		Name:    "VM not registered",
		Meaning: "This VM could not write its entry, by which new VMs find the fleet. It retries.",
		Action:  "Check the platform's store and the path to it.",
	})
)
