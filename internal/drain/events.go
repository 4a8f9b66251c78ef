package drain

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Log events of a planned stop.
var (
	eventInFlight = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 200,
		Level:   logrus.WarnLevel,
		Name:    "requests still in flight",
		Meaning: "Requests are still in flight although a planned stop has lasted longer than drain.grace_ms, or was forced. The event states their number.",
		Action:  "Wait; no request is cut unless a second signal forces the stop. Raise drain.grace_ms if uploads are usually longer.",
	})
	eventLeaveUnacknowledged = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 201,
		Level:   logrus.WarnLevel,
		Name:    "stop not acknowledged",
		Meaning: "Not all neighbors acknowledged in time that this VM is leaving. The stop continues.",
		Action:  "Check the links between the regions. VMs in a partitioned part may name this VM in look-ups until they detect that it is gone.",
	})
)
