package admission

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

var (
	eventTermBegan = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeAdmission + 1,
		Level:   logrus.InfoLevel,
		Name:    "broker term began",
		Meaning: "This VM became broker of a service in its region. It asks all members what they hold; requests wait meanwhile.",
		Action:  "None.",
	})
	eventBrokerServes = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeAdmission + 2,
		Level:   logrus.InfoLevel,
		Name:    "broker serves",
		Meaning: "The broker gives out slots. With complete=false some member did not tell what it held within a second; for some seconds load that targets report and nobody explains counts as taken.",
		Action:  "None. If complete=false comes often, look at the peer connections of the region.",
	})
	eventBrokerPaused = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeAdmission + 3,
		Level:   logrus.WarnLevel,
		Name:    "broker was paused",
		Meaning: "Nothing ran in this process for half a second or more. The broker drops its credits and begins a new term.",
		Action:  "Look at what stops the VM: its host, its memory, its processor share.",
	})
	eventTargetEjected = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeAdmission + 4,
		Level:   logrus.WarnLevel,
		Name:    "target ejected",
		Meaning: "Requests sent to a target failed in a row, or half of them did. It gets no work for a while, longer each time.",
		Action:  "Look at the target. It comes back on its own when requests succeed again.",
	})
)

// note is an event that a state machine wants logged.
type note struct {
	event  *telemetry.Event
	fields []telemetry.Field
}

// Keys of fields.
const (
	fieldService  = "service"
	fieldTarget   = "target"
	fieldComplete = "complete"
	fieldTook     = "took_ms"
)

func (n note) log(l *telemetry.Logger, service string) {
	l.Log(n.event, append(n.fields, telemetry.Value(fieldService, service))...)
}
