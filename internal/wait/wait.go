// Package wait provides sleeping and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d or until the context is done. It reports whether d elapsed;
// false if the context is done first, also if it is done at the call.
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

// Every calls f once per period until the context is done. The first call is
// one period after the start.
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
