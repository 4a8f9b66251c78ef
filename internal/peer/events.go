package peer

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// The events of the peer network.
var (
	eventConnected = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 1, Level: logrus.DebugLevel, Name: "peer connected",
		Meaning: "A connection to or from another daemon stands.",
		Action:  "None.",
	})
	eventClosed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 2, Level: logrus.DebugLevel, Name: "peer connection closed",
		Meaning: "A connection to another daemon ended; the error field says why.",
		Action:  "None; the next message opens a new one.",
	})
	eventSilent = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 3, Level: logrus.WarnLevel, Name: "peer connection is silent",
		Meaning: "A connection stopped acknowledging without being closed. It is replaced by a new one.",
		Action:  "When it recurs, look at firewalls and address translation between the two VMs.",
	})
	eventMalformed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 4, Level: logrus.WarnLevel, Name: "peer sent a malformed frame",
		Meaning: "A frame did not follow the format. Its connection was closed; nothing else is affected.",
		Action:  "Look at what connects to the peer listener, and at the versions of the two daemons.",
	})
	eventRefused = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 5, Level: logrus.WarnLevel, Name: "peer refused",
		Meaning: "A connection was refused: other protocol version, no or wrong certificate, or another VM than the one expected.",
		Action:  "Check the keys, the addresses in the platform's list and the version of the daemon named.",
	})
	eventDialFailed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 6, Level: logrus.DebugLevel, Name: "peer cannot be reached",
		Meaning: "Opening a connection failed; it is tried again with backoff while there are messages.",
		Action:  "None, unless the VM should be there.",
	})
	eventKeysReloaded = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 7, Level: logrus.InfoLevel, Name: "peer keys reloaded",
		Meaning: "The key files changed and new connections use the new keys.",
		Action:  "None.",
	})
	eventKeysInvalid = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 8, Level: logrus.ErrorLevel, Name: "peer keys are invalid",
		Meaning: "The key files changed but cannot be used; the keys read before stay in use.",
		Action:  "Put valid keys in place before the old ones expire.",
	})
	eventUnread = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 9, Level: logrus.WarnLevel, Name: "peer message not understood",
		Meaning: "A daemon sent a one-way message of a kind or form that this one does not know, such as while two releases run side by side. Told once a kind and connection; it is dropped.",
		Action:  "Bring both VMs to the same release.",
	})
)
