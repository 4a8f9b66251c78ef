package daemon

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

var (
	eventStarted = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeKernel + 1,
		Level:   logrus.InfoLevel,
		Name:    "daemon started",
		Meaning: "All services run and the listeners are open.",
		Action:  "None.",
	})
	eventDraining = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeKernel + 2,
		Level:   logrus.InfoLevel,
		Name:    "drain started",
		Meaning: "A planned stop began: look-ups stop naming this VM, requests in flight go on.",
		Action:  "None. The next event tells when it is over.",
	})
	eventReloaded = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeKernel + 4,
		Level:   logrus.InfoLevel,
		Name:    "settings read again",
		Meaning: "The settings file was read on SIGHUP; changed names the sections that differ from those in force.",
		Action:  "When a section is named, restart the process to put it in force.",
	})
	eventReloadFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeKernel + 5,
		Level:   logrus.ErrorLevel,
		Name:    "settings not readable",
		Meaning: "The settings file could not be read on SIGHUP. Those in force stay so.",
		Action:  "Correct the settings file; the error names the field.",
	})
	eventDrained = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeKernel + 3,
		Level:   logrus.InfoLevel,
		Name:    "drain ended",
		Meaning: "Nothing is in flight any more; the process ends.",
		Action:  "None. If it took long, look at took_ms and at the uploads of that time.",
	})
)
