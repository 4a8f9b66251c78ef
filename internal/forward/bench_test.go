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
	doc := testDocument(address)
	doc.Services[0].Targets[0].Connections = 1000
	proxy := newTestProxy(b, doc, nil, telemetry.Discard())
	proxy.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 1000
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := proxy.client.Get(proxy.URL + "/svc/a")
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}

// BenchmarkUploads sends 500 concurrent uploads of 20 MB and reports the peak memory
// of the process. That includes callers and targets, so the daemon itself uses less.
func BenchmarkUploads(b *testing.B) {
	const uploads, size, targets = 500, 20 << 20, 10
	var addresses []string
	for range targets {
		addresses = append(addresses, newTarget(b, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	}
	doc := testDocument(addresses...)
	doc.Classes[0].TimeoutMS = 300_000
	doc.Limits.IdleTimeoutMS = 60_000
	proxy := newTestProxy(b, doc, nil, telemetry.Discard())
	for b.Loop() {
		stop := make(chan struct{})
		peak := trackPeakMemory(stop)
		var wg sync.WaitGroup
		for range uploads {
			wg.Go(func() {
				resp, _, err := proxy.call(b, "POST", "/svc/a", io.LimitReader(pacedReader{}, size))
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

// pacedReader is an endless body of about 3 MB/s, the speed of a network link.
type pacedReader struct{}

func (pacedReader) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return len(p), nil
}

// trackPeakMemory samples the memory of the process until stop is closed, and then sends
// the peak.
func trackPeakMemory(stop <-chan struct{}) <-chan uint64 {
	peak := make(chan uint64, 1)
	go func() {
		var highest uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			highest = max(highest, m.Sys-m.HeapReleased)
			select {
			case <-stop:
				peak <- highest
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return peak
}
