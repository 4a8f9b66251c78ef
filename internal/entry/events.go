package entry

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

var eventListenerFailed = telemetry.Register(telemetry.Event{
	Number:  telemetry.RangeDiscovery + 301,
	Level:   logrus.ErrorLevel,
	Name:    "listener ended",
	Meaning: "The listener for look-ups or readiness checks failed while the process kept running.",
	Action:  "Restart the process; check its number of open file descriptors.",
})
