package peer

import (
	"context"
	"testing"

	"masticturn/internal/settings"
)

func startBenchmarkPair(b *testing.B) *TCP {
	x, y := startTCP(b, "x", settings.TLS{}), startTCP(b, "y", settings.TLS{})
	x.SetAddress("y", y.Address())
	return x
}

func BenchmarkCall(b *testing.B) {
	x := startBenchmarkPair(b)
	b.ReportAllocs()
	for b.Loop() {
		var resp message
		if err := x.Call(context.Background(), "y", KindPermit, &message{1, "req-123456"}, &resp); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCallParallel(b *testing.B) {
	x := startBenchmarkPair(b)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var resp message
			if err := x.Call(context.Background(), "y", KindPermit, &message{1, "req-123456"}, &resp); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
