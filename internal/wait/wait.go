// Package wait waits for some time or until a context is done.
package wait

import (
	"context"
	"time"
)

// For waits for d. It reports false when the context was done first, or is
// done already.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls f once in each period until the context is done.
func Every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
