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
		Meaning: "A planned stop began: look-ups stop naming this VM, and requests in flight continue.",
		Action:  "None. Event 1003 reports the end.",
	})
	eventReloaded = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeKernel + 4,
		Level:   logrus.InfoLevel,
		Name:    "settings reloaded",
		Meaning: "The settings file was reread on SIGHUP. Changed lists the sections that differ from the settings in force; they are not applied.",
		Action:  "If sections are listed, restart the process to apply them.",
	})
	eventReloadFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeKernel + 5,
		Level:   logrus.ErrorLevel,
		Name:    "settings reload failed",
		Meaning: "The settings file could not be read on SIGHUP. The settings in force stay unchanged.",
		Action:  "Correct the settings file; the error names the field.",
	})
	eventDrained = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeKernel + 3,
		Level:   logrus.InfoLevel,
		Name:    "drain ended",
		Meaning: "No requests are in flight any more; the process exits.",
		Action:  "None. If took_ms is large, check for long uploads during the drain.",
	})
)
