package ratelimit

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxSeries limits the number of customers that have counters of their own.
const maxSeries = 256

// otherCustomers is the label value shared by all customers without counters of their own.
const otherCustomers = "(other)"

// meter counts the results of Take by customer.
type meter struct {
	set *metrics.Set

	mu       sync.Mutex
	counters map[meterKey]*metrics.Counter
	names    map[string]bool
}

type meterKey struct {
	customer string
	result   takeResult
}

// newMeter returns a meter that registers its counters in set.
func newMeter(set *metrics.Set) *meter {
	return &meter{set: set, counters: make(map[meterKey]*metrics.Counter), names: make(map[string]bool)}
}

// count counts a result of Take for a customer.
func (m *meter) count(customer string, result takeResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.names[customer] {
		if len(m.names) >= maxSeries {
			customer = otherCustomers
		}
		m.names[customer] = true
	}
	key := meterKey{customer, result}
	c := m.counters[key]
	if c == nil {
		c = m.set.GetOrCreateCounter(fmt.Sprintf("masticturn_limit_requests_total{customer=%q,result=%q}", customer, result))
		m.counters[key] = c
	}
	c.Inc()
}
