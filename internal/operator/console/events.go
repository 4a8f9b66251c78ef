package console

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

var eventPageFailed = telemetry.Register(telemetry.Event{
	Number:  telemetry.RangeOperator + 101,
	Level:   logrus.ErrorLevel,
	Name:    "console page failed",
	Meaning: "A page of the console could not be rendered, which is a fault of the program.",
	Action:  "Use the command line, and report the page and the error.",
})
