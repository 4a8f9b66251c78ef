package roster

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Events of this package. Their numbers start at 120 in the peer range.
var (
	eventComplete = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 120, Level: logrus.InfoLevel, Name: "list of VMs complete",
		Meaning: "This VM knows all VMs that may be running (vms), from the named VM or, without a name, from the store, after_ms after its start. Until then it sends no requests to cold targets.",
		Action:  "None.",
	})
	eventStored = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 121, Level: logrus.InfoLevel, Name: "list of VMs stored",
		Meaning: "This VM has brought the store's list of its region up to date; it has the given number of VMs.",
		Action:  "None.",
	})
	eventStoreFailed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 122, Level: logrus.WarnLevel, Name: "list of VMs not available from the store",
		Meaning: "The store's list of VMs could not be read or written (field step). It is tried again. VMs that have no complete list, and new VMs that are not in it yet, send no requests to cold targets.",
		Action:  "Check the platform's store. If the list is damaged, delete its object; it is written again.",
	})
	eventPeerFailed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 123, Level: logrus.DebugLevel, Name: "list of VMs not available from a VM",
		Meaning: "The VM did not answer, or has no complete list itself. Another one is asked.",
		Action:  "None.",
	})
)
