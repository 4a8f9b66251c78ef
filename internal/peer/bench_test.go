package peer

import (
	"context"
	"testing"

	"masticturn/internal/settings"
)

func benchPair(b *testing.B) *TCP {
	x, y := listenTCP(b, "x", settings.TLS{}), listenTCP(b, "y", settings.TLS{})
	x.SetAddress("y", y.Address())
	return x
}

func BenchmarkCall(b *testing.B) {
	x := benchPair(b)
	b.ReportAllocs()
	for b.Loop() {
		var answer message
		if err := x.Call(context.Background(), "y", KindPermit, &message{1, "req-123456"}, &answer); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCallParallel(b *testing.B) {
	x := benchPair(b)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var answer message
			if err := x.Call(context.Background(), "y", KindPermit, &message{1, "req-123456"}, &answer); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
