package platform

import (
	"errors"
	"sync"
	"time"
)

// Health describes the most recent successful and failed calls to the platform.
type Health struct {
	LastSuccess time.Time // of any call; zero if there was none
	LastFailure time.Time // of a call that the platform did not serve; zero if there was none
	LastError   string
}

// HealthTracker tracks the Health of a client. It is safe for concurrent use.
type HealthTracker struct {
	mu     sync.Mutex
	health Health
}

// Record records the result of a call. ErrNotFound, ErrConflict and ErrTooLarge count as
// success, because the platform served the call.
func (t *HealthTracker) Record(err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrConflict) || errors.Is(err, ErrTooLarge) {
		t.health.LastSuccess = now
		return
	}
	t.health.LastFailure = now
	t.health.LastError = err.Error()
}

// Read returns the current Health.
func (t *HealthTracker) Read() Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health
}
