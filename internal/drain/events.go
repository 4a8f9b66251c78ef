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
	eventNotTold = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 201,
		Level:   logrus.WarnLevel,
		Name:    "others not told of the stop",
		Meaning: "Not all neighbors acknowledged in time that this VM leaves. The stop goes on.",
		Action:  "Look at the links between the regions; callers of the cut off part may be sent here until they see it is gone.",
	})
)
