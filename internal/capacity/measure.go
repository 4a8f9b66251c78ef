package capacity

import (
	"runtime"
	"time"
)

// The size to design for.
const (
	DesignDaemons        = 1_400
	DesignBlocks         = 950_000
	DesignSites          = 430
	DesignLookupsPerSec  = 1_400_000
	DesignRegions        = 9
	DesignZones          = 21
	DesignChangesPerDay  = 5_700
	DesignRestartsPerDay = 460

	// What a daemon may spend on control.
	BudgetCPUFraction  = 0.04
	BudgetMemoryBytes  = 128 << 20
	BudgetBytesPerSec  = 14 << 10
	BudgetInForce      = 3 * time.Second
	secondsPerDay      = 24 * 60 * 60
	nanosecondsPerCore = 1e9
)

// timePerCall runs f for at least minTime and returns the mean time of a call
// in nanoseconds.
func timePerCall(minTime time.Duration, f func(i int)) float64 {
	f(0) // warm up
	calls := 0
	start := time.Now()
	for time.Since(start) < minTime {
		const batch = 16
		for range batch {
			f(calls)
			calls++
		}
	}
	return float64(time.Since(start).Nanoseconds()) / float64(calls)
}

// heapOf returns the bytes of live heap that build's result holds.
func heapOf[T any](build func() T) float64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return max(float64(after)-float64(before), 0)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// slopeOf measures a cost at each size and fits the line.
func slopeOf(s Slope, sizes []int, cost func(size int) float64) Slope {
	for _, size := range sizes {
		s.Points = append(s.Points, Point{Size: float64(size), Cost: cost(size)})
	}
	s.fit()
	return s
}
