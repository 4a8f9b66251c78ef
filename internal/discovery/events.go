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
		Meaning: "A kind of objects can't be read from the store any more. What is believed of it stays in force.",
		Action:  "Look at the platform's store and the way to it. Nothing changes for callers until targets leave unseen.",
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
		Name:    "VM does not tell of the store",
		Meaning: "The VM named, from which this one hears of the store, did not answer in time or is out of touch itself. Another one, or the store, is asked.",
		Action:  "None by itself; look at the VM when it is named again and again.",
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
		Action:  "Look at what the operator wrote.",
	})
	eventTargetBad = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 103,
		Level:   logrus.ErrorLevel,
		Name:    "target entry not readable",
		Meaning: "A target's entry changed and names no target to use any more: a field is missing, of another type or out of range, or it can't be read at all. The error names the field. The other entries hold.",
		Action:  "Look at the target's entry in the store and at who wrote it.",
	})
	eventZoneUnknown = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 108,
		Level:   logrus.WarnLevel,
		Name:    "unknown zone evacuated",
		Meaning: "An availability zone that this deployment does not have is to be evacuated, as of the version stated. It changes nothing.",
		Action:  "Look for a mistyped name in what the operator wrote.",
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
		Meaning: "The availability zones named are to get no requests; none means that all take part.",
		Action:  "None.",
	})
	eventRegisterFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 106,
		Level:   logrus.WarnLevel,
		Name:    "VM not registered",
		Meaning: "This VM could not write its entry, by which others that start find it. It tries on.",
		Action:  "Look at the platform's store and the way to it.",
	})
)
