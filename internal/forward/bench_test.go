package forward

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"masticturn/internal/telemetry"
)

func BenchmarkPath(b *testing.B) {
	answer := strings.Repeat("x", 1024)
	address := newTarget(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) })
	doc := document(address)
	doc.Services[0].Targets[0].Connections = 1000
	bench := newBench(b, doc, nil, telemetry.Discard())
	bench.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 1000
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := bench.client.Get(bench.URL + "/svc/a")
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}

// BenchmarkUploads sends 500 uploads of 20 MB at once and reports the peak of
// the memory of callers, daemon and target together, which is more than the
// daemon's own.
func BenchmarkUploads(b *testing.B) {
	const uploads, size, targets = 500, 20 << 20, 10
	var addresses []string
	for range targets {
		addresses = append(addresses, newTarget(b, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	}
	doc := document(addresses...)
	doc.Classes[0].TimeoutMS = 300_000
	doc.Limits.IdleTimeoutMS = 60_000
	bench := newBench(b, doc, nil, telemetry.Discard())
	for b.Loop() {
		stop := make(chan struct{})
		peak := watchMemory(stop)
		var wg sync.WaitGroup
		for range uploads {
			wg.Go(func() {
				resp, _, err := bench.call(b, "POST", "/svc/a", io.LimitReader(paced{}, size))
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Error(resp, err)
				}
			})
		}
		wg.Wait()
		close(stop)
		b.ReportMetric(float64(<-peak)/(1<<20), "peak-MB")
	}
}

// paced is a body without an end that comes at about 3 MB/s, as over a link.
type paced struct{}

func (paced) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return len(p), nil
}

// watchMemory samples the process's memory until stop and then sends the peak.
func watchMemory(stop <-chan struct{}) <-chan uint64 {
	peak := make(chan uint64, 1)
	go func() {
		var most uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.Sys-m.HeapReleased)
			select {
			case <-stop:
				peak <- most
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return peak
}
