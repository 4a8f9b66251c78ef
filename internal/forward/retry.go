package forward

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"masticturn/internal/config"
)

// maxAttempts returns the limit of the rule or else of the document; 1 for a request
// that holds a lease.
func (x *exchange) maxAttempts(c *config.Retry) int {
	if x.lease.Held() {
		return 1
	}
	if r := x.match.Rule; r != nil && r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return c.MaxAttempts
}

// withdrawRetry takes a retry caused by a target from the retry budget.
func (x *exchange) withdrawRetry(target string) bool {
	return x.h.retryBudget.withdraw(x.match.Service.Name, target, &x.snap.Document.Retry)
}

// retryAllowed reports whether the retry budget allows a retry caused by a target.
func (x *exchange) retryAllowed(target string) bool {
	return x.h.retryBudget.available(x.match.Service.Name, target, &x.snap.Document.Retry)
}

// retryPolicy returns the retry policy of the request.
func (x *exchange) retryPolicy(c *config.Retry) retryPolicy {
	return retryPolicy{
		repeatable:  x.repeatable,
		maxAttempts: x.maxAttempts(c),
		deadline:    x.deadline,
		withdraw:    x.withdrawRetry,
		backoff:     x.backoff(c),
	}
}

// backoff returns a function that returns the wait before each next attempt: exponential, with jitter.
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
