package capacity

import (
	"runtime"
	"time"
)

// The design size of a deployment.
const (
	DesignDaemons        = 1_400
	DesignBlocks         = 950_000
	DesignSites          = 430
	DesignLookupsPerSec  = 1_400_000
	DesignRegions        = 9
	DesignZones          = 21
	DesignChangesPerDay  = 5_700
	DesignRestartsPerDay = 460

	// The budget of one daemon for control.
	BudgetCPUFraction  = 0.04
	BudgetMemoryBytes  = 128 << 20
	BudgetBytesPerSec  = 14 << 10
	BudgetInForce      = 3 * time.Second
	secondsPerDay      = 24 * 60 * 60
	nanosecondsPerCore = 1e9
)

// timePerCall calls f repeatedly for at least minTime and returns the mean time
// per call in nanoseconds.
func timePerCall(minTime time.Duration, f func(i int)) float64 {
	f(0) // warm up
	calls := 0
	start := time.Now()
	for time.Since(start) < minTime {
		const batchSize = 16
		for range batchSize {
			f(calls)
			calls++
		}
	}
	return float64(time.Since(start).Nanoseconds()) / float64(calls)
}

// heapBytes returns the live heap in bytes that the result of build keeps reachable.
func heapBytes[T any](build func() T) float64 {
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

// measureSlope measures the cost at each size and fits the line.
func measureSlope(s Slope, sizes []int, cost func(size int) float64) Slope {
	for _, size := range sizes {
		s.Points = append(s.Points, Point{Size: float64(size), Cost: cost(size)})
	}
	s.fit()
	return s
}
