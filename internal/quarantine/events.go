package quarantine

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Log events of the quarantine.
var (
	eventSuspect = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 301,
		Level:   logrus.WarnLevel,
		Name:    "request is suspect",
		Meaning: "Targets have crashed one after the other while running the request with this digest, and no run of it was answered since. Until the next outcome it runs one at a time across the fleet.",
		Action:  "None yet; 5009 lines with the digest name the targets.",
	})
	eventQuarantined = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 302,
		Level:   logrus.ErrorLevel,
		Name:    "request is in quarantine",
		Meaning: "Enough targets have crashed while running the request with this digest that all VMs reject it. Cause is the local event or the VM that reported it. Trials follow after a while.",
		Action:  "Find the request by its digest in 5001 and 5009 lines; fix the targets or stop its sender. To lift the quarantine, see OPERATIONS.",
	})
	eventCleared = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 303,
		Level:   logrus.WarnLevel,
		Name:    "request is cleared",
		Meaning: "The request with this digest may run again. Cause: a run was answered, the quarantine was lifted, or the VM that reported it.",
		Action:  "None.",
	})
	eventStoreFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 304,
		Level:   logrus.DebugLevel,
		Name:    "quarantine not stored",
		Meaning: "A call to the store about requests in quarantine failed and will be retried. Replication between VMs does not depend on it.",
		Action:  "None while the store is unavailable.",
	})
	eventObjectBad = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 305,
		Level:   logrus.ErrorLevel,
		Name:    "quarantine object unreadable",
		Meaning: "An object of the quarantine's kind is malformed and ignored.",
		Action:  "Delete the object.",
	})
)
