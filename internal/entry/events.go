package entry

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

var eventListenerFailed = telemetry.Register(telemetry.Event{
	Number:  telemetry.RangeDiscovery + 301,
	Level:   logrus.ErrorLevel,
	Name:    "listener ended",
	Meaning: "A listener for look-ups or readiness ended though the process goes on.",
	Action:  "Restart the process; look at its descriptors.",
})
