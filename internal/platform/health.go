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

// HealthNote tracks the Health of a client. It is safe for concurrent use.
type HealthNote struct {
	mu     sync.Mutex
	health Health
}

// Note records the result of a call. ErrNotFound, ErrConflict and ErrTooLarge count as
// success, because the platform served the call.
func (n *HealthNote) Note(err error, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrConflict) || errors.Is(err, ErrTooLarge) {
		n.health.LastSuccess = now
		return
	}
	n.health.LastFailure = now
	n.health.LastError = err.Error()
}

// Read returns the current Health.
func (n *HealthNote) Read() Health {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.health
}
