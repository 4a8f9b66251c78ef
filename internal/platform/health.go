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

// healthNote keeps the Health of a client.
type healthNote struct {
	mu     sync.Mutex
	health Health
}

// note takes the end of a call. Answers that say not found or conflict are
// successes: the platform served the call.
func (n *healthNote) note(err error, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrConflict) || errors.Is(err, ErrTooLarge) {
		n.health.LastSuccess = now
		return
	}
	n.health.LastFailure = now
	n.health.LastError = err.Error()
}

func (n *healthNote) read() Health {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.health
}

// Health returns how the platform answered lately.
func (c *Client) Health() Health { return c.health.read() }
