package measure

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

var eventTargetLeaving = telemetry.Register(telemetry.Event{
	Number:  telemetry.RangeAdmission + 500,
	Level:   logrus.InfoLevel,
	Name:    "target is leaving",
	Meaning: "A target said on an answer, or the platform's list says, that it is leaving. It gets no new work.",
	Action:  "None. If the target should stay, look at its own log.",
})
