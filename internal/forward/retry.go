package forward

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"masticturn/internal/config"
)

// maxAttempts returns the rule's limit, or the document's.
func (x *exchange) maxAttempts(c *config.Retry) int {
	if x.pass.Exclusive() {
		return 1
	}
	if r := x.match.Rule; r != nil && r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return c.MaxAttempts
}

// spend takes a retry caused by a target from the budget.
func (x *exchange) spend(target string) bool {
	return x.h.budget.spend(x.match.Service.Name, target, &x.snap.Document.Retry)
}

// retryAllowed reports whether the budget allows a retry caused by a target.
func (x *exchange) retryAllowed(target string) bool {
	return x.h.budget.available(x.match.Service.Name, target, &x.snap.Document.Retry)
}

// retryRule returns the rule of this request.
func (x *exchange) retryRule(c *config.Retry) retryRule {
	return retryRule{
		repeatable:  x.repeatable,
		maxAttempts: x.maxAttempts(c),
		deadline:    x.deadline,
		spend:       x.spend,
		backoff:     x.backoff(c),
	}
}

// backoff returns the waits between attempts: exponential, with jitter.
func (x *exchange) backoff(c *config.Retry) func() time.Duration {
	var b *backoff.ExponentialBackOff
	return func() time.Duration {
		if b == nil {
			b = backoff.NewExponentialBackOff()
			b.InitialInterval = max(c.BackoffMS.Duration(), time.Millisecond)
			b.Multiplier = 2
		}
		return b.NextBackOff()
	}
}
