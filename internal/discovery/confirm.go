package discovery

import (
	"math"
	"sync/atomic"
	"time"

	"masticturn/internal/kernel"
)

// confirmation is the moment, on the boot clock of this VM, as of which some state is known to be
// the store's latest. The state may be newer, but never older.
type confirmation struct {
	known bool
	at    time.Duration
}

// after moves a confirmation by a duration.
func (c confirmation) after(d time.Duration) confirmation {
	c.at += d
	return c
}

// confirmations hold the latest confirmation of one kind. They are safe for concurrent use.
type confirmations struct {
	boot kernel.BootClock
	at   atomic.Int64 // nanoseconds on the boot clock; 0: none
}

// record records a confirmation. The state it is about must be in force.
func (c *confirmations) record(latest confirmation) {
	at := int64(min(latest.at, c.boot.SinceBoot()))
	if latest.known && at > c.at.Load() {
		c.at.Store(at)
	}
}

// age returns the greatest age that the state may have.
func (c *confirmations) age() time.Duration {
	at := c.at.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return c.boot.SinceBoot() - time.Duration(at)
}

// sinceReceipt returns the latest confirmation relative to the receipt of a poll, as a peer can
// use it without knowing this VM's clock. It may be negative.
func (c *confirmations) sinceReceipt(received time.Duration) (known bool, offset time.Duration) {
	at := c.at.Load()
	return at != 0, time.Duration(at) - received
}
