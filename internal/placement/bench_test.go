package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose measures the choice of targets for 300 objects among 276 targets, with cached
// rankings.
func BenchmarkChoose(b *testing.B) {
	view, svc := targetLayout{perRegion: map[string]int{"ros": 92, "bb": 92, "bsas": 92}, slots: 3}.view(b)
	p := NewPool(testOptions("ros"))
	p.SetTargets(svc, view)
	requests := make([]*Request, 300)
	for i := range requests {
		requests[i] = newRequest(fmt.Sprintf("object-%d", i))
	}
	now := start
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		sel := p.Choose(requests[i%len(requests)], now)
		p.Acquire(sel, now)
		p.Release(sel, Result{Latency: 100 * time.Millisecond}, now)
		i++
	}
}

// BenchmarkRank measures the ranking of 276 targets for an object.
func BenchmarkRank(b *testing.B) {
	view, svc := targetLayout{perRegion: map[string]int{"ros": 92, "bb": 92, "bsas": 92}, slots: 3}.view(b)
	p := NewPool(testOptions("ros"))
	p.SetTargets(svc, view)
	for b.Loop() {
		p.rank("object", maxCachedTargets)
	}
}
