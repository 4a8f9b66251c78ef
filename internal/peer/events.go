package peer

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Log events of the peer network.
var (
	eventConnected = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 1, Level: logrus.DebugLevel, Name: "peer connected",
		Meaning: "A connection to or from another daemon was established.",
		Action:  "None.",
	})
	eventClosed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 2, Level: logrus.DebugLevel, Name: "peer connection closed",
		Meaning: "A connection to another daemon ended; the error field says why.",
		Action:  "None. The next message opens a new connection.",
	})
	eventConnectionSilent = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 3, Level: logrus.WarnLevel, Name: "peer connection is silent",
		Meaning: "The peer stopped acknowledging frames, but the connection was not closed. It is replaced by a new one. The fields name the large frame that was being received, if any, and the bytes that were not written yet.",
		Action:  "If it recurs, check firewalls and address translation between the two VMs.",
	})
	eventMalformedFrame = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 4, Level: logrus.WarnLevel, Name: "peer sent a malformed frame",
		Meaning: "A received frame violated the protocol. Its connection was closed; other connections are not affected.",
		Action:  "Check which process connects to the peer listener, and the versions of the two daemons.",
	})
	eventRefused = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 5, Level: logrus.WarnLevel, Name: "peer refused",
		Meaning: "A connection was refused: different protocol version, missing or invalid certificate, or a different VM than expected.",
		Action:  "Check the keys, the addresses in the platform's list of VMs and the version of the named daemon.",
	})
	eventDialFailed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 6, Level: logrus.DebugLevel, Name: "cannot connect to peer",
		Meaning: "Opening a connection failed. Further messages cause new attempts, with backoff.",
		Action:  "None, unless the VM is expected to be running.",
	})
	eventKeysReloaded = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 7, Level: logrus.InfoLevel, Name: "peer keys reloaded",
		Meaning: "The key files changed. New connections use the new keys.",
		Action:  "None.",
	})
	eventKeysInvalid = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 8, Level: logrus.ErrorLevel, Name: "peer keys are invalid",
		Meaning: "The key files cannot be read or are invalid. The previous keys stay in use.",
		Action:  "Install valid key files before the previous keys expire.",
	})
	eventUnhandledMessage = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 9, Level: logrus.WarnLevel, Name: "cannot handle peer message",
		Meaning: "A one-way message from another daemon was dropped because this daemon does not know its kind or cannot decode it, for example while two releases run side by side. Logged once per kind and connection.",
		Action:  "Run the same release on both VMs.",
	})
)
