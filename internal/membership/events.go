package membership

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// The events of membership. Numbers of the peer range from 100 up.
var (
	eventJoined = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 101, Level: logrus.InfoLevel, Name: "joined the fleet",
		Meaning: "This daemon has the table of another daemon, or started alone since none answered (field alone).",
		Action:  "When it started alone but should not have, check the seeds and the platform's list of VMs.",
	})
	eventMemberState = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 102, Level: logrus.InfoLevel, Name: "member changed state",
		Meaning: "A daemon is alive, suspect (late heartbeats), leaving or gone (field state).",
		Action:  "For one that is gone without a planned stop, look at its VM.",
	})
	eventAwake = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 103, Level: logrus.WarnLevel, Name: "this process was paused",
		Meaning: "The daemon did not run for the time given; what others granted to it was dropped before it acted.",
		Action:  "When it recurs, look at the VM's processor and its host.",
	})
	eventOneWay = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 104, Level: logrus.WarnLevel, Name: "peer does not hear this daemon",
		Meaning: "Heartbeats of the peer arrive, but it says that ours do not (field over: the way is mended).",
		Action:  "Look at the network from this VM to the peer.",
	})
	eventRenewed = telemetry.Register(telemetry.Event{
		Number: telemetry.RangePeer + 105, Level: logrus.WarnLevel, Name: "took a higher incarnation",
		Meaning: "Others held this daemon for gone, or remember a later process of this VM.",
		Action:  "None after a long pause or cut. When it recurs each second, two processes run under one VM name.",
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
		Number: telemetry.RangePeer + 108, Level: logrus.ErrorLevel, Name: "record of a VM not readable",
		Meaning: "A record of the platform's list of VMs changed and names no VM: it can't be read, has another name or no address. The others hold.",
		Action:  "Look at the record in the store and at who wrote it.",
	})
)
