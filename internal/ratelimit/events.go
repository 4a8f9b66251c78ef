package ratelimit

import (
	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

// Log events of this package.
var (
	eventElected = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 811,
		Level:   logrus.InfoLevel,
		Name:    "granter elected",
		Meaning: "This VM grants shares of customers' rate limits for the term in the log line. No share is increased until all earlier holders have reported or their shares have expired.",
		Action:  "None.",
	})
	eventResigned = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 812,
		Level:   logrus.InfoLevel,
		Name:    "granter resigned",
		Meaning: "This VM no longer grants shares of rate limits, because it is stopping or lost the lease in the store.",
		Action:  "None. If it recurs, check the network path to the platform's store.",
	})
	eventLeaseFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 813,
		Level:   logrus.WarnLevel,
		Name:    "granter's lease failed",
		Meaning: "A call to the store for the lease of the granter of rate limits failed. Shares that were granted stay valid for a few seconds.",
		Action:  "Check the platform's store and the network path to it.",
	})
	eventReportFailed = telemetry.Register(telemetry.Event{
		Number:  telemetry.RangeDiscovery + 814,
		Level:   logrus.WarnLevel,
		Name:    "no shares from the granter",
		Meaning: "The granter of rate limits named in the log line did not answer this VM's report. This VM's shares stay valid for a few seconds; after that, requests of customers with limits are refused as not run.",
		Action:  "Check that VM and the network path to it.",
	})
)
