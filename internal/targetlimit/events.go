package targetlimit

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Log events of targets' rate limits.
var (
	eventLimitNamed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 501,
		Level:   logrus.InfoLevel,
		Name:    "rate limit of a target",
		Meaning: "The target named a rate limit, or another one than before (previous), in requests/s of all VMs together. by is the VM that was told; empty: this one, by a response.",
		Action:  "None. If it stays, find out what the target lacks.",
	})
	eventLimitEnded = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 502,
		Level:   logrus.InfoLevel,
		Name:    "rate limit of a target ended",
		Meaning: "The target answered without a rate limit. previous is the last one; by is the VM that was told; empty: this one.",
		Action:  "None.",
	})
	eventGranterFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 503,
		Level:   logrus.WarnLevel,
		Name:    "no response on tokens",
		Meaning: "The named VM, which grants tokens under the target's rate limit, did not respond. Until one does, this VM sends the target nothing; other targets get its requests.",
		Action:  "None by itself. If it recurs, check the named VM.",
	})
)
