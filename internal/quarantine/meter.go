package quarantine

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// serviceMetrics holds the metrics of a Service.
type serviceMetrics struct {
	set         *metrics.Set
	crashes     *metrics.Counter
	records     *atomic.Int64
	quarantined *atomic.Int64
}

func newServiceMetrics(set *metrics.Set) serviceMetrics {
	m := serviceMetrics{
		set:         set,
		crashes:     set.GetOrCreateCounter("masticturn_quarantine_crashes_total"),
		records:     &atomic.Int64{},
		quarantined: &atomic.Int64{},
	}
	set.GetOrCreateGauge("masticturn_quarantine_records", func() float64 { return float64(m.records.Load()) })
	set.GetOrCreateGauge("masticturn_quarantine_requests", func() float64 { return float64(m.quarantined.Load()) })
	return m
}

func (m *serviceMetrics) refused(v Verdict) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("masticturn_quarantine_refused_total{verdict=%q}", v))
}

func (m *serviceMetrics) update(l *Ledger) {
	m.records.Store(int64(l.Len()))
	m.quarantined.Store(int64(l.QuarantinedCount()))
}
