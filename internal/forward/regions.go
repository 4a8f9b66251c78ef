package forward

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/kernel"
	"masticturn/internal/telemetry"
)

// regionSpan is the span of a log line. Spans of all VMs begin at the same times, so that their
// lines can be added up.
const regionSpan = 2 * time.Second

// regionCounts counts requests by the region of their target.
type regionCounts struct {
	step    string // at which they are counted
	span    map[string]int
	metrics map[string]*metrics.Counter
}

func newRegionCounts(step string) *regionCounts {
	return &regionCounts{step: step, span: make(map[string]int), metrics: make(map[string]*metrics.Counter)}
}

func (c *regionCounts) inc(region string, set *metrics.Set) {
	total := c.metrics[region]
	if total == nil {
		total = set.GetOrCreateCounter(fmt.Sprintf("masticturn_requests_by_region_total{step=%q,region=%q}", c.step, region))
		c.metrics[region] = total
	}
	total.Inc()
	c.span[region]++
}

// reset returns the counts of the span and begins another.
func (c *regionCounts) reset() map[string]int {
	counts := c.span
	c.span = make(map[string]int)
	return counts
}

// regionTally counts placed and sent requests by the target's region, for metrics and a log line
// per span. Remote requests are sent later, by the time to connect, so that only the placed ones
// show a change of placement.
type regionTally struct {
	logger *telemetry.Logger
	set    *metrics.Set
	clock  kernel.Clock

	mu     sync.Mutex
	placed *regionCounts
	sent   *regionCounts
	due    bool // a line is due at the end of the span
}

func newRegionTally(logger *telemetry.Logger, set *metrics.Set, clock kernel.Clock) *regionTally {
	return &regionTally{
		logger: logger,
		set:    set,
		clock:  clock,
		placed: newRegionCounts("placed"),
		sent:   newRegionCounts("sent"),
	}
}

// recordPlaced counts a request whose target was picked.
func (t *regionTally) recordPlaced(region string) { t.note(t.placed, region) }

// recordSent counts a request written to its target's connection.
func (t *regionTally) recordSent(region string) { t.note(t.sent, region) }

func (t *regionTally) note(counts *regionCounts, region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts.inc(region, t.set)
	if t.due {
		return
	}
	t.due = true
	now := t.clock.Now()
	time.AfterFunc(now.Truncate(regionSpan).Add(regionSpan).Sub(now), t.log)
}

// log writes the line of an elapsed span. Without requests there is none.
func (t *regionTally) log() {
	t.mu.Lock()
	placed, sent := t.placed.reset(), t.sent.reset()
	t.due = false
	t.mu.Unlock()
	t.logger.Log(eventRegions,
		telemetry.Value("placed", placed),
		telemetry.Value("sent", sent))
}
