package platform

import (
	"errors"
	"sync"
	"time"
)

// Health is how the platform answered lately.
type Health struct {
	LastSuccess time.Time // of any call; zero: never
	LastFailure time.Time // of a call that the platform did not serve; zero: never
	LastError   string
}

// HealthNote keeps the Health of a client. It is safe for concurrent use.
type HealthNote struct {
	mu     sync.Mutex
	health Health
}

// Note takes the end of a call. Answers that say not found or conflict are
// successes: the platform served the call.
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

// Read returns the Health so far.
func (n *HealthNote) Read() Health {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.health
}
