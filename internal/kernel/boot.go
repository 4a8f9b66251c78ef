package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock measures time that includes suspensions of the machine, which the monotonic clock
// leaves out.
type BootClock interface {
	// SinceBoot returns the time since an arbitrary moment in the past. It never decreases.
	SinceBoot() time.Duration
}

// SystemBootClock is the machine's boot clock.
type SystemBootClock struct{ fallback MonotonicBootClock }

var _ BootClock = (*SystemBootClock)(nil)

// NewSystemBootClock returns the machine's boot clock.
func NewSystemBootClock() *SystemBootClock {
	return &SystemBootClock{fallback: *NewMonotonicBootClock()}
}

// SinceBoot implements BootClock.
func (c *SystemBootClock) SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return c.fallback.SinceBoot() // all Linux kernels since 2.6.39 have the clock
	}
	return time.Duration(t.Nano())
}

// MonotonicBootClock is a BootClock for machines that are never suspended (faked under
// testing/synctest).
type MonotonicBootClock struct{ start time.Time }

var _ BootClock = (*MonotonicBootClock)(nil)

// NewMonotonicBootClock returns a clock that starts now.
func NewMonotonicBootClock() *MonotonicBootClock {
	return &MonotonicBootClock{start: time.Now().Add(-time.Second)}
}

// SinceBoot implements BootClock.
func (c *MonotonicBootClock) SinceBoot() time.Duration { return time.Since(c.start) }
