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
			t.Errorf("waited %v", time.Since(start))
		}
		if For(ctx, 2*time.Second) || time.Since(start) != 3*time.Second {
			t.Errorf("did not end with the context: %v", time.Since(start))
		}
		if For(ctx, 0) {
			t.Error("the context was done already")
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
			t.Errorf("%d calls", calls)
		}
	})
}
