package forward

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/outcome"
)

// durationKey identifies a histogram of request durations.
type durationKey struct{ service, class, tenant string }

// seriesCache caches metrics by their labels, so that no name is formatted per request.
type seriesCache struct {
	set            *metrics.Set
	durations      sync.Map // durationKey -> *metrics.Histogram
	retries        *metrics.Counter
	hedges         *metrics.Counter
	tunneled       *metrics.Counter // requests whose last attempt went through another VM
	leavingNotices *metrics.Counter
	backoffNotices *metrics.Counter
	// unreadableLoads counts load reports of targets that could not be parsed.
	unreadableLoads *metrics.Counter
	// unreadableRateLimits counts responses of targets whose rate limit could not be parsed.
	unreadableRateLimits *metrics.Counter
	requestCounts        sync.Map // outcomeKey -> *metrics.Counter

	customerLabels    sync.Map // names of customers with metrics of their own
	customerCount     atomic.Int64
	customerDurations sync.Map // customerDurationKey -> *metrics.Histogram
}

// customerDurationKey identifies a histogram of one customer's request durations.
type customerDurationKey struct {
	customer string
	outcome  outcome.Outcome
}

// customerDuration returns the histogram of a customer's request durations.
func (c *seriesCache) customerDuration(k customerDurationKey) *metrics.Histogram {
	if v, ok := c.customerDurations.Load(k); ok {
		return v.(*metrics.Histogram)
	}
	name := fmt.Sprintf("masticturn_customer_request_duration_seconds{customer=%q,outcome=%q}", k.customer, k.outcome)
	v, _ := c.customerDurations.LoadOrStore(k, c.set.GetOrCreateHistogram(name))
	return v.(*metrics.Histogram)
}

type outcomeKey struct {
	outcome outcome.Outcome
	step    outcome.Step
}

func newSeriesCache(set *metrics.Set) *seriesCache {
	return &seriesCache{
		set:            set,
		retries:        set.GetOrCreateCounter("masticturn_retries_total"),
		hedges:         set.GetOrCreateCounter("masticturn_hedges_total"),
		tunneled:       set.GetOrCreateCounter("masticturn_requests_tunneled_total"),
		leavingNotices: set.GetOrCreateCounter(`masticturn_target_notices_total{notice="leaving"}`),
		backoffNotices: set.GetOrCreateCounter(`masticturn_target_notices_total{notice="retry-after"}`),

		unreadableLoads:      set.GetOrCreateCounter("masticturn_target_loads_unreadable_total"),
		unreadableRateLimits: set.GetOrCreateCounter("masticturn_target_rate_limits_unreadable_total"),
	}
}

// duration returns the histogram of the time from receiving a request's head to its end.
func (c *seriesCache) duration(k durationKey) *metrics.Histogram {
	if v, ok := c.durations.Load(k); ok {
		return v.(*metrics.Histogram)
	}
	name := fmt.Sprintf("masticturn_request_duration_seconds{service=%q,class=%q,tenant=%q}", k.service, k.class, k.tenant)
	v, _ := c.durations.LoadOrStore(k, c.set.GetOrCreateHistogram(name))
	return v.(*metrics.Histogram)
}

// requests returns the counter of requests by outcome.
func (c *seriesCache) requests(k outcomeKey) *metrics.Counter {
	if v, ok := c.requestCounts.Load(k); ok {
		return v.(*metrics.Counter)
	}
	name := fmt.Sprintf("masticturn_requests_total{outcome=%q,step=%q}", k.outcome, k.step)
	v, _ := c.requestCounts.LoadOrStore(k, c.set.GetOrCreateCounter(name))
	return v.(*metrics.Counter)
}

// recordMetrics counts the finished request and records its duration.
func (x *exchange) recordMetrics(err *outcome.Error) {
	s := x.h.series
	k := outcomeKey{outcome.Answered, outcome.StepComplete}
	if err != nil {
		k = outcomeKey{err.Outcome, err.Step}
	}
	s.requests(k).Inc()
	if n := x.dispatch.attempts; n > 1 {
		s.retries.Add(n - 1)
	}
	if x.carrier != "" {
		s.tunneled.Inc()
	}
	took := x.h.deps.Clock.Now().Sub(x.startedAt)
	if x.customer != nil {
		s.customerDuration(customerDurationKey{s.customerLabel(x.customer), k.outcome}).Update(took.Seconds())
	}
	if x.match.Service == nil {
		return
	}
	s.duration(durationKey{x.match.Service.Name, x.match.Class.Name, x.match.Route.Tenant}).Update(took.Seconds())
}
