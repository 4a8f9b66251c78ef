package drain

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// The events of a planned stop.
var (
	eventInFlight = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 200,
		Level:   logrus.WarnLevel,
		Name:    "requests still in flight",
		Meaning: "A planned stop has lasted longer than drain.grace_ms, or was forced, and requests are still in flight; their number is given.",
		Action:  "Wait; nothing is cut unless a second signal forces the stop. Raise drain.grace_ms if uploads are usually longer.",
	})
	eventLeaveUnacknowledged = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 201,
		Level:   logrus.WarnLevel,
		Name:    "stop not acknowledged",
		Meaning: "Not all neighbors acknowledged in time that this VM leaves. The stop continues.",
		Action:  "Check the links between the regions. Look-ups of the partitioned part may name this VM until they detect that it is gone.",
	})
)
