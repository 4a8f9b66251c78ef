package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		if !For(ctx, 2*time.Second) || time.Since(start) != 2*time.Second {
			t.Errorf("For(2s) ended after %v, want true after 2s", time.Since(start))
		}
		if For(ctx, 2*time.Second) || time.Since(start) != 3*time.Second {
			t.Errorf("For ended %v after the start, want false when the context expires after 3s", time.Since(start))
		}
		if For(ctx, 0) {
			t.Error("For(0) = true with a context that is done")
		}
	})
}

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		Every(ctx, time.Second, func() { calls++ })
		if calls != 3 {
			t.Errorf("f was called %d times in 3.5s, want 3", calls)
		}
	})
}
