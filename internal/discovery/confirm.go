package discovery

import (
	"math"
	"sync/atomic"
	"time"

	"masticturn/internal/kernel"
)

// confirmation is the time, on this VM's boot clock, at which some state was at least as recent as
// the store's.
type confirmation struct {
	known bool
	at    time.Duration
}

// add returns the confirmation moved by a duration.
func (c confirmation) add(d time.Duration) confirmation {
	c.at += d
	return c
}

// confirmationTracker holds the latest confirmation of one kind. It is safe for concurrent use.
type confirmationTracker struct {
	boot kernel.BootClock
	at   atomic.Int64 // nanoseconds on the boot clock; 0: none
}

// record records a confirmation. Confirmations in the future count as now. The confirmed state
// must already be in force.
func (c *confirmationTracker) record(latest confirmation) {
	at := int64(min(latest.at, c.boot.SinceBoot()))
	if latest.known && at > c.at.Load() {
		c.at.Store(at)
	}
}

// age returns an upper bound on the age of the state.
func (c *confirmationTracker) age() time.Duration {
	at := c.at.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return c.boot.SinceBoot() - time.Duration(at)
}

// sinceReceipt returns the latest confirmation relative to the receipt of a poll, so that the peer
// can use it without knowing this VM's clock. The offset may be negative.
func (c *confirmationTracker) sinceReceipt(received time.Duration) (known bool, offset time.Duration) {
	at := c.at.Load()
	return at != 0, time.Duration(at) - received
}
