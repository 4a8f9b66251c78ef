package operator

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

var eventListenerFailed = telemetry.Register(telemetry.Event{
	Number:  telemetry.RangeOperator + 1,
	Level:   logrus.ErrorLevel,
	Name:    "operators' listener failed",
	Meaning: "The operators' listener no longer accepts connections. Callers are still served.",
	Action:  "Drain and restart this VM's process.",
})
