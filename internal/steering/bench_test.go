package steering

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoice is one decision, with the release that makes room for it, at
// four fifths of the slots in use.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{14, 100, 430, 1000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) { benchmarkChoice(b, n) })
	}
}

func benchmarkChoice(b *testing.B, targets int) {
	const slots = 4
	cfg := PoolConfig{Region: "r", Classes: testSpecs(), ServiceTime: 20 * time.Millisecond, Policy: PolicyBroker}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, TargetSpec{Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Region: "r", Slots: slots})
	}
	now := epoch
	p := NewPool(cfg, now)
	p.EachTarget(func(t *Target) { p.SetLimit(t, slots) })
	r := &Request{Class: "read", Zone: "1", CallerRegion: "r", Deadline: epoch.Add(time.Hour)}
	held := make([]*Target, 0, targets*slots)
	take := func() {
		p.Arrive(r, now)
		held = append(held, p.TakeDecisions()[0].Target)
	}
	for range targets * slots * 4 / 5 {
		take()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Microsecond)
		k := i % len(held)
		t := held[k]
		held[k] = held[len(held)-1]
		held = held[:len(held)-1]
		p.Release(t, 20*time.Millisecond, now)
		take()
	}
}
