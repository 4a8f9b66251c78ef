// Package ratelimit enforces customers' rate limits across all VMs.
package ratelimit

import (
	"time"

	"masticturn/internal/customer"
)

// Tolerance defines how far limits may be exceeded. In any period of length Window, the number of a
// customer's requests stays within (rate × Window + burst) × (1 + Overage) + Slack.
type Tolerance struct {
	Window  time.Duration
	Overage float64 // fraction of the limit
	Slack   float64 // requests
}

// Bound returns the maximum number of a customer's requests that may run in a window.
func (t Tolerance) Bound(l customer.Limit) float64 {
	return (l.PerSecond*t.Window.Seconds()+l.Burst)*(1+t.Overage) + t.Slack
}

// Fractions of the tolerance that a budget uses. The rest of the overage allows for clock drift.
const (
	// rateOverageFraction is the fraction of the rate's overage that is added to the rate.
	rateOverageFraction = 0.5
	// burstSlackFraction is the fraction of the burst's overage and the slack that is added to the
	// burst.
	burstSlackFraction = 0.75
	// fillSlackFraction is the fraction of the same for the tokens that new buckets start with.
	fillSlackFraction = 0.25
)

// Budget is what all VMs together may use under a limit. In any window they run at most
// Rate × Window + Burst + Fill requests, which is less than Tolerance.Bound.
type Budget struct {
	Rate  float64 // requests/s
	Burst float64 // capacity of all buckets, in tokens
	Fill  float64 // tokens that new buckets may start with, per window
}

// Budget returns the budget of a limit.
func (t Tolerance) Budget(l customer.Limit) Budget {
	slack := t.Overage*l.Burst + t.Slack
	return Budget{
		Rate:  l.PerSecond * (1 + rateOverageFraction*t.Overage),
		Burst: max(l.Burst+burstSlackFraction*slack, 1), // with less than one token, no request could run
		Fill:  fillSlackFraction * slack,
	}
}
