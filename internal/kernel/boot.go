package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock measures elapsed time including periods in which the VM was suspended. The monotonic
// clock does not count those.
type BootClock interface {
	// SinceBoot returns the time elapsed since an arbitrary fixed moment. It never decreases.
	SinceBoot() time.Duration
}

// SystemBootClock reads the operating system's CLOCK_BOOTTIME.
type SystemBootClock struct{ fallback MonotonicBootClock }

var _ BootClock = (*SystemBootClock)(nil)

// NewSystemBootClock returns the operating system's boot clock.
func NewSystemBootClock() *SystemBootClock {
	return &SystemBootClock{fallback: *NewMonotonicBootClock()}
}

// SinceBoot implements BootClock.
func (c *SystemBootClock) SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return c.fallback.SinceBoot() // Linux before 2.6.39 has no CLOCK_BOOTTIME
	}
	return time.Duration(t.Nano())
}

// MonotonicBootClock is a BootClock based on the monotonic clock, for VMs that are never suspended
// and for tests under testing/synctest, which fakes that clock.
type MonotonicBootClock struct{ start time.Time }

var _ BootClock = (*MonotonicBootClock)(nil)

// NewMonotonicBootClock returns a clock that reads one second now.
func NewMonotonicBootClock() *MonotonicBootClock {
	return &MonotonicBootClock{start: time.Now().Add(-time.Second)}
}

// SinceBoot implements BootClock.
func (c *MonotonicBootClock) SinceBoot() time.Duration { return time.Since(c.start) }
