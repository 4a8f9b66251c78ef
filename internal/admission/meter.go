package admission

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meter holds the metrics of admission, by service, class and tenant.
type meter struct {
	set    *metrics.Set
	series sync.Map // of meterKey to *meterSeries
}

type meterKey struct{ service, class, tenant string }

type meterSeries struct {
	wait  *metrics.Histogram // seconds in the queue of requests that got a slot
	held  *metrics.Histogram // seconds from getting a slot to giving it back
	given *metrics.Counter
	shed  sync.Map // of reason to *metrics.Counter
}

func newMeter(set *metrics.Set) *meter { return &meter{set: set} }

func (m *meter) waited(r *Request, d time.Duration) {
	s := m.get(r)
	s.wait.Update(d.Seconds())
	s.given.Inc()
}

func (m *meter) released(r *Request, held time.Duration) { m.get(r).held.Update(held.Seconds()) }

func (m *meter) shed(r *Request, reason string) {
	s := m.get(r)
	c, ok := s.shed.Load(reason)
	if !ok {
		name := fmt.Sprintf("masticturn_admission_refused_total{%s,reason=%q}", r.labels(), reason)
		c, _ = s.shed.LoadOrStore(reason, m.set.GetOrCreateCounter(name))
	}
	c.(*metrics.Counter).Inc()
}

func (m *meter) get(r *Request) *meterSeries {
	key := meterKey{r.Service.Name, r.Class.Name, r.Tenant}
	if s, ok := m.series.Load(key); ok {
		return s.(*meterSeries)
	}
	labels := r.labels()
	s := &meterSeries{
		wait:  m.set.GetOrCreateHistogram("masticturn_admission_wait_seconds{" + labels + "}"),
		held:  m.set.GetOrCreateHistogram("masticturn_admission_held_seconds{" + labels + "}"),
		given: m.set.GetOrCreateCounter("masticturn_admission_given_total{" + labels + "}"),
	}
	actual, _ := m.series.LoadOrStore(key, s)
	return actual.(*meterSeries)
}

func (r *Request) labels() string {
	return fmt.Sprintf("service=%q,class=%q,tenant=%q", r.Service.Name, r.Class.Name, r.Tenant)
}
