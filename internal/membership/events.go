package membership

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// The events of membership. Numbers of the peer range from 100 up.
var (
	eventJoined = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 101, Level: logrus.InfoLevel, Name: "joined the fleet",
		Meaning: "This daemon has the table of another one, or started alone as none answered (field alone).",
		Action:  "If it should not have started alone, check the seeds and the platform's list of VMs.",
	})
	eventMemberState = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 102, Level: logrus.InfoLevel, Name: "member changed state",
		Meaning: "A daemon is alive, suspect (late heartbeats), leaving or gone (field state).",
		Action:  "If a VM is gone without a planned stop, inspect it.",
	})
	eventAwake = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 103, Level: logrus.WarnLevel, Name: "this process was paused",
		Meaning: "The process did not run for the time stated. Grants from others were dropped before it acted.",
		Action:  "If it recurs, inspect the VM's CPU and its host.",
	})
	eventOneWay = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 104, Level: logrus.WarnLevel, Name: "one-way link",
		Meaning: "The peer's heartbeats arrive, but it reports that ours do not (field over: the link works again).",
		Action:  "Check the network from this VM to the peer.",
	})
	eventRenewed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 105, Level: logrus.WarnLevel, Name: "took a higher incarnation",
		Meaning: "Others hold this daemon for gone, or know a later process of this VM.",
		Action:  "None after a long pause or partition. If it recurs each second, two processes run under one VM name.",
	})
	eventJoinFailed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 106, Level: logrus.DebugLevel, Name: "join attempt failed",
		Meaning: "A candidate did not answer; the next one is tried.",
		Action:  "None.",
	})
	eventHintsFailed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 107, Level: logrus.DebugLevel, Name: "list of VMs not read",
		Meaning: "The platform's list of VMs could not be read; seeds and known members are used.",
		Action:  "None; see the platform's health.",
	})
	eventRecordBad = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 108, Level: logrus.ErrorLevel, Name: "VM record not readable",
		Meaning: "A changed record in the platform's list of VMs is invalid: it can't be decoded, has another name or no address. The others hold.",
		Action:  "Check the record in the store and its writer.",
	})
)
