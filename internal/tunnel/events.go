package tunnel

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Log events of tunnels.
var (
	eventPartitioned = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 501,
		Level:   logrus.WarnLevel,
		Name:    "partitioned from targets",
		Meaning: "This VM has failed to connect to several targets that other VMs reach at the same time; the last one and the VM that reached it are given, and for how long no target has sent anything. Connections now go through other VMs, and look-ups name others while most of the region's VMs are not partitioned.",
		Action:  "Check the network between this VM and the targets. See 5502 for its end.",
	})
	eventReachable = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 502,
		Level:   logrus.InfoLevel,
		Name:    "targets reached again",
		Meaning: "This VM connects to targets itself again; the last one that it reached is given, and how long the partition has lasted since a target last sent anything.",
		Action:  "None.",
	})
	eventNotCarried = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 503,
		Level:   logrus.InfoLevel,
		Name:    "connection not carried",
		Meaning: "The named VM did not open a connection to the target for this VM, or, without a target, no ready tunnel. Another VM is asked.",
		Action:  "None by itself; if there are many, see whether the named VM is partitioned or busy.",
	})
	eventCarried = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 504,
		Level:   logrus.InfoLevel,
		Name:    "connection carried",
		Meaning: "This VM has carried a connection to the target for the named VM, whose 5006 and 5001 lines of the requests have the same tunnel.",
		Action:  "None.",
		Routine: true,
	})
	eventRequestInvalid = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 505,
		Level:   logrus.ErrorLevel,
		Name:    "tunnel request unreadable",
		Meaning: "A request of another VM to carry a connection could not be decoded.",
		Action:  "Check the builds of both VMs.",
	})
	eventCarrierSilent = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 507,
		Level:   logrus.WarnLevel,
		Name:    "carrying VM silent",
		Meaning: "The named VM did not tell in time whether it connected to the target of a ready tunnel. It is asked last for a while, and the ready tunnels to its region are closed. The request under way stays; 5508 reports a late response.",
		Action:  "See whether the named VM is gone or frozen, its link or this VM's is full, or the way between the regions is lost.",
	})
	eventCarrierLate = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 508,
		Level:   logrus.InfoLevel,
		Name:    "carrying VM responded late",
		Meaning: "The named VM told whether it connected to the target of a ready tunnel after it had been reported as silent (5507). after_ms is the time since the request was sent to it; the carrying VM's 5509 line of the same tunnel tells when it arrived there and how long the connect took.",
		Action:  "See whether the links of either VM are full, or the named VM is short of processor time.",
	})
	eventSlowConnect = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 509,
		Level:   logrus.InfoLevel,
		Name:    "connect for another VM was slow",
		Meaning: "This VM took long to connect to the target of a ready tunnel of the named VM, or could not. connect_ms is counted from the arrival of the request.",
		Action:  "None by itself; if there are many, see whether this VM's link is full.",
	})
	eventNoticeNotSent = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeForward + 506,
		Level:   logrus.WarnLevel,
		Name:    "notice of a target not sent",
		Meaning: "What a target has announced could not be passed on to a VM with which this one shares tunnels.",
		Action:  "Check the connection to the named VM.",
	})
)
