package confsync

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

const eventBase = telemetry.RangeConfig + 100

var (
	eventAdopted = telemetry.Register(telemetry.Event{
		Number:  eventBase,
		Level:   logrus.InfoLevel,
		Name:    "document in force",
		Meaning: "This VM has put a higher generation of the document in force.",
		Action:  "None.",
	})
	eventStale = telemetry.Register(telemetry.Event{
		Number:  eventBase + 1,
		Level:   logrus.InfoLevel,
		Name:    "stale document ignored",
		Meaning: "The platform's store answered with a lower generation than the one in force here. The answer was ignored.",
		Action:  "None if it is rare. If it persists, the store has lost writes: apply the document again from the fleet's generation.",
	})
	eventUnreadable = telemetry.Register(telemetry.Event{
		Number:  eventBase + 2,
		Level:   logrus.ErrorLevel,
		Name:    "document cannot be read",
		Meaning: "A document of a higher generation arrived damaged, or this build cannot read it. The one in force stays.",
		Action:  "Compare the builds of the VMs; upgrade the one that reports this.",
	})
	eventConflict = telemetry.Register(telemetry.Event{
		Number:  eventBase + 3,
		Level:   logrus.ErrorLevel,
		Name:    "two documents of one generation",
		Meaning: "Another source has a different document under the generation in force. Conditional writes rule this out unless the store lost writes. The document that the store holds is put in force.",
		Action:  "Check the history for a gap, and the store for a fail-over; apply the wanted document again.",
	})
	eventStoreLost = telemetry.Register(telemetry.Event{
		Number:  eventBase + 4,
		Level:   logrus.WarnLevel,
		Name:    "store does not answer for the document",
		Meaning: "A VM that watches the document in the store got no answer. The document in force stays; daemons still distribute higher generations among themselves.",
		Action:  "Check the platform's store.",
	})
	eventStoreRecovered = telemetry.Register(telemetry.Event{
		Number:  eventBase + 5,
		Level:   logrus.InfoLevel,
		Name:    "store answers again for the document",
		Meaning: "Watching the document has resumed.",
		Action:  "None.",
	})
	eventWatcher = telemetry.Register(telemetry.Event{
		Number:  eventBase + 6,
		Level:   logrus.DebugLevel,
		Name:    "watching the document",
		Meaning: "This VM is one of the two of its region that watch the document in the store.",
		Action:  "None.",
	})
	eventPaused = telemetry.Register(telemetry.Event{
		Number:  eventBase + 7,
		Level:   logrus.WarnLevel,
		Name:    "process was paused",
		Meaning: "This process did not run for some seconds. It is not ready until the store or a peer has confirmed the document.",
		Action:  "Check the VM for steal time, memory pressure or migration.",
	})
)
