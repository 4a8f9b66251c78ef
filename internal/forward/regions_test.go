package forward

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/kernel"
)

// If requests to another region wait for their connections while callers stop, they
// are sent in a later interval than they were placed. The lines must show that the
// choice of targets has not changed, only the time of sending.
func TestRegionLinesSeparatePlacedFromSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		set := metrics.NewSet()
		counter := newRegionCounter(newTestLogger(&out), set, kernel.SystemClock{})
		time.Sleep(regionLogInterval - 100*time.Millisecond)

		for range 2 {
			counter.recordReceived("near")
		}
		counter.recordPlaced("near")
		counter.recordSent("near")
		counter.recordPlaced("far")
		time.Sleep(150 * time.Millisecond) // the connection is opened after the end of the interval
		counter.recordConnected("far")
		counter.recordSent("far")
		time.Sleep(2 * regionLogInterval)

		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		want := []string{
			`"connected":{},"event":5007,"placed":{"far":1,"near":1},"received":{"near":2},"sent":{"near":1}`,
			`"connected":{"far":1},"event":5007,"placed":{},"received":{},"sent":{"far":1}`,
		}
		if len(lines) != len(want) {
			t.Fatalf("lines %q, want one per interval with requests", lines)
		}
		for i, line := range lines {
			if !strings.Contains(line, want[i]) {
				t.Errorf("line %d is %s, want %s", i, line, want[i])
			}
		}
		if n := set.GetOrCreateCounter(`masticturn_requests_by_region_total{step="sent",region="far"}`).Get(); n != 1 {
			t.Errorf("%d requests sent to the far region, want 1", n)
		}
	})
}
