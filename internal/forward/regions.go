package forward

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/kernel"
	"masticturn/internal/telemetry"
)

// regionLogInterval is the interval of a log line. Intervals start at multiples of it on all VMs, so that
// the lines of several VMs can be added up.
const regionLogInterval = 2 * time.Second

// regionCounts counts requests by the region of their target.
type regionCounts struct {
	step     string // step label of the metric
	interval map[string]int
	totals   map[string]*metrics.Counter
}

func newRegionCounts(step string) *regionCounts {
	return &regionCounts{step: step, interval: make(map[string]int), totals: make(map[string]*metrics.Counter)}
}

func (c *regionCounts) inc(region string, set *metrics.Set) {
	total := c.totals[region]
	if total == nil {
		total = set.GetOrCreateCounter(fmt.Sprintf("masticturn_requests_by_region_total{step=%q,region=%q}", c.step, region))
		c.totals[region] = total
	}
	total.Inc()
	c.interval[region]++
}

// reset returns the counts of the current interval and starts the next one.
func (c *regionCounts) reset() map[string]int {
	counts := c.interval
	c.interval = make(map[string]int)
	return counts
}

// regionCounter counts requests by region, for metrics and one log line per interval. Requests to other
// regions are sent later, by the time to connect, so only the placed counts show a change of placement.
type regionCounter struct {
	logger *telemetry.Logger
	set    *metrics.Set
	clock  kernel.Clock

	mu           sync.Mutex
	received     *regionCounts // by the caller's region
	placed       *regionCounts // by the target's region
	connected    *regionCounts // by the target's region
	sent         *regionCounts // by the target's region
	logScheduled bool          // a log line is scheduled for the end of the interval
}

func newRegionCounter(logger *telemetry.Logger, set *metrics.Set, clock kernel.Clock) *regionCounter {
	return &regionCounter{
		logger:    logger,
		set:       set,
		clock:     clock,
		received:  newRegionCounts("received"),
		placed:    newRegionCounts("placed"),
		connected: newRegionCounts("connected"),
		sent:      newRegionCounts("sent"),
	}
}

// recordReceived counts a request by its caller's region, so that a shift of callers is told from one of
// targets.
func (c *regionCounter) recordReceived(region string) { c.record(c.received, region) }

// recordPlaced counts a request whose target was picked.
func (c *regionCounter) recordPlaced(region string) { c.record(c.placed, region) }

// recordConnected counts a request for which a connection to its target had to be opened.
func (c *regionCounter) recordConnected(region string) { c.record(c.connected, region) }

// recordSent counts a request written to its target's connection.
func (c *regionCounter) recordSent(region string) { c.record(c.sent, region) }

func (c *regionCounter) record(counts *regionCounts, region string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts.inc(region, c.set)
	if c.logScheduled {
		return
	}
	c.logScheduled = true
	now := c.clock.Now()
	time.AfterFunc(now.Truncate(regionLogInterval).Add(regionLogInterval).Sub(now), c.log)
}

// log writes the line of an elapsed interval. Intervals without requests have none.
func (c *regionCounter) log() {
	c.mu.Lock()
	received, placed := c.received.reset(), c.placed.reset()
	connected, sent := c.connected.reset(), c.sent.reset()
	c.logScheduled = false
	c.mu.Unlock()
	c.logger.Log(eventRequestsByRegion,
		telemetry.Value("received", received),
		telemetry.Value("placed", placed),
		telemetry.Value("connected", connected),
		telemetry.Value("sent", sent))
}
