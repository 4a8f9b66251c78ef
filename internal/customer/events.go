package customer

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Log events of this package.
var (
	eventKeysRefused = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 801,
		Level:   logrus.WarnLevel,
		Name:    "keys refused",
		Meaning: "This VM can't prove that its document is recent enough to include all key removals; age_ms is an upper bound on the document's age. Requests with keys are refused as not run, public routes are served, and look-ups return other VMs.",
		Action:  "Check the platform's store and the network path to it, and the paths to the other VMs.",
	})
	eventKeysServed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 802,
		Level:   logrus.InfoLevel,
		Name:    "keys served again",
		Meaning: "The document is recent enough again; requests with keys are served.",
		Action:  "None.",
	})
)
