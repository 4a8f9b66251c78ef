package idempotency

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/kernel"
	"masticturn/internal/outcome"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/telemetry"
)

// BenchmarkKeyedRun claims and finishes keys sequentially, with fakes that respond without
// delay. It measures the overhead excluding network and store latency, and the number of
// store calls per key.
func BenchmarkKeyedRun(b *testing.B) {
	for _, way := range []string{wayLocal, wayRemote, wayStored} {
		b.Run(way, func(b *testing.B) {
			hub, store := peertest.NewHub(1), platformtest.NewStore()
			start := func(vm string) *Keys {
				n := hub.Network(vm)
				n.SetAddress("a", peertest.Address("a"))
				n.SetAddress("b", peertest.Address("b"))
				k, err := NewKeys(Deps{
					Self: Instance{vm, 1}, Store: store, Network: n, Config: noConfig{},
					Clock: kernel.SystemClock{}, Logger: telemetry.Discard(), Metrics: metrics.NewSet(),
				})
				if err != nil {
					b.Fatal(err)
				}
				return k
			}
			at, other := start("a"), start("b")
			owners := map[string]*Keys{wayLocal: at, wayRemote: other}
			answer := &Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, 500)}
			for i := 0; b.Loop(); i++ {
				key := fmt.Sprint("k", i)
				if owner := owners[way]; owner != nil {
					key = owner.issueTicket().String() + keySeparator + key
				}
				c, err := at.Claim(b.Context(), &Request{Service: "s", Key: key})
				if err != nil {
					b.Fatal(err)
				}
				c.Finish(outcome.Answered, answer)
			}
			if err := at.Drain(b.Context()); err != nil {
				b.Fatal(err)
			}
			calls := store.Calls(platform.OpCreate) + store.Calls(platform.OpUpdate) + store.Calls(platform.OpGet)
			b.ReportMetric(float64(calls)/float64(b.N), "platform-calls/op")
		})
	}
}
