// Package collector tunes the garbage collector to the size of the heap.
package collector

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"masticturn/internal/wait"
)

const (
	// smallHeapPercent is the growth of the heap between two collections while it is small. Memory counts
	// for more than processor time then.
	smallHeapPercent = 30
	// largeHeapPercent is the growth from largeHeapBytes on. A collection scans the whole heap, so that at
	// smallHeapPercent the collections of a VM that knows thousands of targets take longer than its work.
	largeHeapPercent = 100
	largeHeapBytes   = 6 << 20
	// checkInterval is the interval at which the size of the heap is checked.
	checkInterval = time.Second
)

// percentFor returns the growth between two collections for a heap of the given live bytes.
func percentFor(live uint64) int {
	if live >= largeHeapBytes {
		return largeHeapPercent
	}
	return smallHeapPercent
}

// Run sets the collector's percentage for small heaps, and the one for large heaps once the heap is large. It
// returns then, or when the context is done.
func Run(ctx context.Context) {
	debug.SetGCPercent(smallHeapPercent)
	for wait.For(ctx, checkInterval) {
		if percent := percentFor(liveHeap()); percent != smallHeapPercent {
			debug.SetGCPercent(percent)
			return
		}
	}
}

// liveHeap returns the bytes that the last collection found in use.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
