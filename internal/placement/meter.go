package placement

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/admission"
)

// decisionMetrics counts placed and refused requests by service and class.
type decisionMetrics struct{ set *metrics.Set }

func newDecisionMetrics(set *metrics.Set) decisionMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return decisionMetrics{set}
}

// countPlaced counts a placed request, by the target's rank and whether the object is known
// to be there, and records its wait.
func (m decisionMetrics) countPlaced(r *admission.Request, sel *Selection, waited time.Duration) {
	labels := fmt.Sprintf(`service=%q,class=%q`, r.Service.Name, r.Class.Name)
	m.set.GetOrCreateCounter(fmt.Sprintf("masticturn_placed_total{%s,rank=\"%d\",known=\"%t\"}", labels, sel.rank, sel.known)).Inc()
	m.set.GetOrCreateHistogram("masticturn_placement_wait_seconds{" + labels + "}").Update(waited.Seconds())
}

// setTargetSpeeds records the number of a service's targets by shared slowness.
func (m decisionMetrics) setTargetSpeeds(service string, targets map[float64]int) {
	for slowness, n := range targets {
		m.set.GetOrCreateGauge(fmt.Sprintf("masticturn_targets_by_slowness{service=%q,slowness=\"%g\"}", service, slowness), nil).Set(float64(n))
	}
}

// countRefused counts a refused request by reason.
func (m decisionMetrics) countRefused(r *admission.Request, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("masticturn_refused_total{service=%q,class=%q,reason=%q}",
		r.Service.Name, r.Class.Name, reason)).Inc()
}
