package regionload

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// eventLoadRejected is the log event of this package.
var eventLoadRejected = telemetry.Register(telemetry.Event{
	Number:  telemetry.RangeDiscovery + 461,
	Level:   logrus.WarnLevel,
	Name:    "load of a region rejected",
	Meaning: "The named VM sent the load of the given region, but is not in that region by this VM's member list. Its messages are ignored; they are logged once for each member list.",
	Action:  "None, if the VM has just joined. Otherwise check the region in its settings.",
})
