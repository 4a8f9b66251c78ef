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
		Meaning: "A kind of objects can no longer be read from the store or from peers. The last known state stays in force.",
		Action:  "Check the platform's store and the path to it. Callers are not affected until targets leave.",
	})
	eventStoreRegained = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 102,
		Level:   logrus.InfoLevel,
		Name:    "store regained",
		Meaning: "A kind of objects can be read again from the store or from peers, after an outage of the given duration.",
		Action:  "None.",
	})
	eventSourceLost = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 107,
		Level:   logrus.InfoLevel,
		Name:    "source lost",
		Meaning: "The given peer, from which this VM receives the store's state, did not answer in time or its state is stale. Another peer or the store is used instead.",
		Action:  "Inspect the VM if it recurs.",
	})
	eventDeltaRefused = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 110,
		Level:   logrus.InfoLevel,
		Name:    "delta refused",
		Meaning: "The given peer described a changed object by its differences from a version that this VM does not have. The whole object is requested.",
		Action:  "None, unless it recurs with the same peer.",
	})
	eventDocumentInForce = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 201,
		Level:   logrus.InfoLevel,
		Name:    "document in force",
		Meaning: "A newer document is in force on this VM. It came over the given number of VMs, whose state had the given age, in an answer of the given size; it took the given time to decode.",
		Action:  "None.",
	})
	eventDocumentInvalid = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 202,
		Level:   logrus.ErrorLevel,
		Name:    "document not readable",
		Meaning: "The stored document can't be decoded. The previous document stays in force.",
		Action:  "Correct the document in the store.",
	})
	eventTargetInvalid = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 103,
		Level:   logrus.ErrorLevel,
		Name:    "target entry not readable",
		Meaning: "A target's changed entry is invalid: a field is missing, of another type or out of range, or it can't be decoded. The error names the field. Other entries are not affected.",
		Action:  "Check the target's entry in the store and its writer.",
	})
	eventUnknownZone = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 108,
		Level:   logrus.WarnLevel,
		Name:    "unknown zone evacuated",
		Meaning: "The store lists an availability zone as evacuated that this deployment does not have, as of the given version. It is ignored.",
		Action:  "Check for a mistyped name.",
	})
	eventTargetChanged = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 104,
		Level:   logrus.InfoLevel,
		Name:    "target changed",
		Meaning: "A target was added or removed, is leaving, or became cold, as of the given version.",
		Action:  "None.",
	})
	eventTargetsListed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 109,
		Level:   logrus.InfoLevel,
		Name:    "targets listed",
		Meaning: "This VM has received its first list of targets, with the given number of entries, as of the given version.",
		Action:  "None.",
	})
	eventZonesEvacuated = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 105,
		Level:   logrus.InfoLevel,
		Name:    "evacuated zones",
		Meaning: "The listed availability zones receive no requests. An empty list means that all zones are in use.",
		Action:  "None.",
	})
	eventObjectWithheld = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 111,
		Level:   logrus.InfoLevel,
		Name:    "object withheld",
		Meaning: "The store has come back from a copy, and this VM takes an object of it for one that had been deleted: it counts as deleted until it is written again, or for a limited time. last is the version that this VM knew before the deletion, 0 if it knew none; deleted is that of the deletion. The object came over the given number of VMs, in a complete list or as a change.",
		Action:  "If an operator has written the object since the store's return, write it again.",
	})
	eventRegisterFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 106,
		Level:   logrus.WarnLevel,
		Name:    "VM not registered",
		Meaning: "This VM could not write its entry in the store, by which new VMs find the fleet. It retries.",
		Action:  "Check the platform's store and the path to it.",
	})
)
