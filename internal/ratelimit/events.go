package ratelimit

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// The events of rate limits.
var (
	eventElected = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 811,
		Level:   logrus.InfoLevel,
		Name:    "granter elected",
		Meaning: "This VM grants the shares of customers' rate limits in the term stated. Until the earlier holders have reported, or their shares have expired, no share grows.",
		Action:  "None.",
	})
	eventDeposed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 812,
		Level:   logrus.InfoLevel,
		Name:    "granter resigned",
		Meaning: "This VM no longer grants shares of rate limits, as it stops or lost the lease in the store.",
		Action:  "None, unless it recurs: then check the path to the platform's store.",
	})
	eventLeaseFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 813,
		Level:   logrus.WarnLevel,
		Name:    "granter's lease failed",
		Meaning: "A call to the store for the lease of the granter of rate limits failed. Shares stay valid for some seconds.",
		Action:  "Check the platform's store and the path to it.",
	})
	eventReportFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 814,
		Level:   logrus.WarnLevel,
		Name:    "no shares from the granter",
		Meaning: "The granter of rate limits named did not answer this VM's report. The shares held stay valid for some seconds; after that, requests of customers with limits are refused as not run.",
		Action:  "Check the VM named and the path to it.",
	})
)
