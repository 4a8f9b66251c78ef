package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose picks targets for 300 objects among 276 targets, with rankings cached.
func BenchmarkChoose(b *testing.B) {
	view, svc := site{perRegion: map[string]int{"ros": 92, "bb": 92, "bsas": 92}, slots: 3}.view(b)
	p := NewPool(testOptions("ros"))
	p.SetTargets(svc, view)
	asks := make([]*Request, 300)
	for i := range asks {
		asks[i] = ask(fmt.Sprintf("object-%d", i))
	}
	now := start
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		at := p.Choose(asks[i%len(asks)], now)
		p.Acquire(at, now)
		p.Release(at, Result{Latency: 100 * time.Millisecond}, now)
		i++
	}
}

// BenchmarkRank ranks 276 targets for an object.
func BenchmarkRank(b *testing.B) {
	view, svc := site{perRegion: map[string]int{"ros": 92, "bb": 92, "bsas": 92}, slots: 3}.view(b)
	p := NewPool(testOptions("ros"))
	p.SetTargets(svc, view)
	for b.Loop() {
		p.rank("object")
	}
}
