package forward

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/outcome"
)

// seriesKey names one histogram of requests.
type seriesKey struct{ service, class, tenant string }

// seriesCache looks up metrics without formatting names.
type seriesCache struct {
	set      *metrics.Set
	latency  sync.Map // seriesKey -> *metrics.Histogram
	retries  *metrics.Counter
	hedges   *metrics.Counter
	leaving  *metrics.Counter
	backoffs *metrics.Counter
	ended    sync.Map // endKey -> *metrics.Counter

	customers     sync.Map // names with series of their own
	customerCount atomic.Int64
	byCustomer    sync.Map // customerSeries -> *metrics.Histogram
}

// customerSeries names one histogram of a customer's requests.
type customerSeries struct {
	customer string
	outcome  outcome.Outcome
}

// customerDuration returns the histogram of a customer's requests.
func (c *seriesCache) customerDuration(k customerSeries) *metrics.Histogram {
	if v, ok := c.byCustomer.Load(k); ok {
		return v.(*metrics.Histogram)
	}
	name := fmt.Sprintf("masticturn_customer_request_duration_seconds{customer=%q,outcome=%q}", k.customer, k.outcome)
	v, _ := c.byCustomer.LoadOrStore(k, c.set.GetOrCreateHistogram(name))
	return v.(*metrics.Histogram)
}

type endKey struct {
	outcome outcome.Outcome
	step    outcome.Step
}

func newSeriesCache(set *metrics.Set) *seriesCache {
	return &seriesCache{
		set:      set,
		retries:  set.GetOrCreateCounter("masticturn_retries_total"),
		hedges:   set.GetOrCreateCounter("masticturn_hedges_total"),
		leaving:  set.GetOrCreateCounter(`masticturn_target_notices_total{notice="leaving"}`),
		backoffs: set.GetOrCreateCounter(`masticturn_target_notices_total{notice="retry-after"}`),
	}
}

// duration returns the histogram of the time from a request's head to its end.
func (c *seriesCache) duration(k seriesKey) *metrics.Histogram {
	if v, ok := c.latency.Load(k); ok {
		return v.(*metrics.Histogram)
	}
	name := fmt.Sprintf("masticturn_request_duration_seconds{service=%q,class=%q,tenant=%q}", k.service, k.class, k.tenant)
	v, _ := c.latency.LoadOrStore(k, c.set.GetOrCreateHistogram(name))
	return v.(*metrics.Histogram)
}

// requests returns the counter of requests by outcome.
func (c *seriesCache) requests(k endKey) *metrics.Counter {
	if v, ok := c.ended.Load(k); ok {
		return v.(*metrics.Counter)
	}
	name := fmt.Sprintf("masticturn_requests_total{outcome=%q,step=%q}", k.outcome, k.step)
	v, _ := c.ended.LoadOrStore(k, c.set.GetOrCreateCounter(name))
	return v.(*metrics.Counter)
}

// observe counts the end of a request.
func (x *exchange) observe(err *outcome.Error) {
	s := x.h.series
	k := endKey{outcome.Answered, outcome.StepComplete}
	if err != nil {
		k = endKey{err.Outcome, err.Step}
	}
	s.requests(k).Inc()
	if n := x.dispatch.attempts; n > 1 {
		s.retries.Add(n - 1)
	}
	took := x.h.deps.Clock.Now().Sub(x.startedAt)
	if x.customer != nil {
		s.customerDuration(customerSeries{s.label(x.customer), k.outcome}).Update(took.Seconds())
	}
	if x.match.Service == nil {
		return
	}
	s.duration(seriesKey{x.match.Service.Name, x.match.Class.Name, x.match.Route.Tenant}).Update(took.Seconds())
}
