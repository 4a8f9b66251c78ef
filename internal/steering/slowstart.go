package steering

import "time"

// SlowStartSlots returns how many of a cold target's slots are used: it rises
// linearly from one slot to all of them over the slow start.
//
// Property: for 0 < slots the result is in [1, slots], does not fall with
// elapsed, and is slots when elapsed reaches duration.
func SlowStartSlots(slots int, elapsed, duration time.Duration) int {
	if duration <= 0 || elapsed >= duration || slots <= 1 {
		return slots
	}
	part := float64(max(elapsed, 0)) / float64(duration)
	return max(1, min(slots, 1+int(part*float64(slots-1))))
}

// WaivesSlowStart reports whether slow start is waived. While no more slots
// are warm than cold, the work held back from cold targets has nowhere to go:
// it would wait while slots are free, and the targets would warm up later.
func WaivesSlowStart(cold, warm int) bool { return cold >= warm }
