package forward

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/kernel"
)

// Callers of a region stop while requests to another one still wait for their
// connections. The lines tell that the same targets were chosen and that only
// what is sent has changed.
func TestRegionLinesTellChoiceFromDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		set := metrics.NewSet()
		tally := newRegionTally(newTestLogger(&out), set, kernel.SystemClock{})
		time.Sleep(regionSpan - 100*time.Millisecond)

		tally.recordPlaced("near")
		tally.recordSent("near")
		tally.recordPlaced("far")
		time.Sleep(150 * time.Millisecond) // the connection opens after the span has ended
		tally.recordSent("far")
		time.Sleep(2 * regionSpan)

		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		want := []string{
			`"event":5007,"placed":{"far":1,"near":1},"sent":{"near":1}`,
			`"event":5007,"placed":{},"sent":{"far":1}`,
		}
		if len(lines) != len(want) {
			t.Fatalf("lines %q, want one a span with requests", lines)
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
