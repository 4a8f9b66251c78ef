package discovery

import (
	"math/rand/v2"
	"time"
)

// fallbackReadRate is the total rate, in reads/s per kind, at which the VMs that are not readers read the store
// during an outage. The store may refuse all readers and still serve other VMs.
const fallbackReadRate = 12

// fallbackSchedule spreads these reads over time and VMs. Its zero value is ready for use.
type fallbackSchedule struct {
	firstWithin time.Duration // bound on the delay of the first read; 0: none
	next        time.Time
}

// begin schedules the first read of an outage. In a fleet that is small enough for all VMs to read within a second,
// it is due at once.
func (f *fallbackSchedule) begin(now time.Time, fleetSize int) {
	f.next = now
	within := fallbackPeriod(fleetSize)
	if within <= time.Second {
		return
	}
	if f.firstWithin > 0 {
		within = min(within, f.firstWithin)
	}
	f.next = now.Add(time.Duration(rand.Float64() * float64(within)))
}

// take reports whether a read is due, and schedules the next one.
func (f *fallbackSchedule) take(now time.Time, fleetSize int) bool {
	if now.Before(f.next) {
		return false
	}
	f.next = now.Add(time.Duration((0.5 + rand.Float64()) * float64(fallbackPeriod(fleetSize))))
	return true
}

// fallbackPeriod returns the mean time between two reads of a VM.
func fallbackPeriod(fleetSize int) time.Duration {
	return time.Duration(fleetSize) * time.Second / fallbackReadRate
}
