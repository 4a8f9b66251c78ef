package operator

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

var eventKeysInvalid = telemetry.Register(telemetry.Event{
	Number:  telemetry.RangeOperator + 2,
	Level:   logrus.ErrorLevel,
	Name:    "operators' keys are invalid",
	Meaning: "The key files of the operators' listener changed but cannot be used; the keys read before stay in use.",
	Action:  "Put valid keys in place before the old ones expire.",
})

var eventListenerFailed = telemetry.Register(telemetry.Event{
	Number:  telemetry.RangeOperator + 1,
	Level:   logrus.ErrorLevel,
	Name:    "operators' listener failed",
	Meaning: "The operators' listener no longer accepts connections. Callers are still served.",
	Action:  "Drain and restart this VM's process.",
})
