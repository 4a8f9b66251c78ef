package membership

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Events of this package. Their numbers start at 100 in the peer range.
var (
	eventJoined = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 101, Level: logrus.InfoLevel, Name: "joined the fleet",
		Meaning: "This daemon received the member table from another daemon, or started alone because none responded (field alone). members is the number of records that it knows now.",
		Action:  "If it should not have started alone, check the seeds and the platform's list of VMs.",
	})
	eventMemberState = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 102, Level: logrus.InfoLevel, Name: "member changed state",
		Meaning: "A daemon is alive, suspect (late heartbeats), leaving or gone (field state).",
		Action:  "If a VM is gone without a planned stop, inspect it.",
	})
	eventPaused = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 103, Level: logrus.WarnLevel, Name: "this process was paused",
		Meaning: "The process did not run for the stated time (field away). Grants from other daemons were dropped before it resumed work.",
		Action:  "If this recurs, check the CPU of the VM and its host.",
	})
	eventOneWay = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 104, Level: logrus.WarnLevel, Name: "one-way link",
		Meaning: "The peer's heartbeats arrive, but it reports that it does not receive ours. If field over is true, the link has recovered.",
		Action:  "Check the network from this VM to the peer.",
	})
	eventNewIncarnation = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 105, Level: logrus.WarnLevel, Name: "incarnation increased",
		Meaning: "Other daemons consider this daemon gone, or know a later process of this VM.",
		Action:  "None after a long pause or partition. If this recurs every second, two processes are running under one VM name.",
	})
	eventJoinFailed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 106, Level: logrus.DebugLevel, Name: "join attempt failed",
		Meaning: "A candidate did not respond; the next one is tried.",
		Action:  "None.",
	})
	eventVMListFailed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 107, Level: logrus.DebugLevel, Name: "reading the VM list failed",
		Meaning: "The platform's list of VMs could not be read; seeds and known members are used.",
		Action:  "None; check the health of the platform.",
	})
	eventInvalidRecord = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 108, Level: logrus.ErrorLevel, Name: "invalid VM record",
		Meaning: "A new or changed record in the platform's list of VMs is invalid: it can't be decoded, contains another name, or has no valid address. The other records remain in effect.",
		Action:  "Check the record in the store and the program that wrote it.",
	})
)
