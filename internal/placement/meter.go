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

// setSplit sets the share of a service's objects whose first target is in each region.
func (m decisionMetrics) setSplit(service string, shares map[string]float64) {
	for region, share := range shares {
		m.set.GetOrCreateFloatCounter(fmt.Sprintf("masticturn_region_split{service=%q,region=%q}", service, region)).Set(share)
	}
}

// countRefused counts a refused request by reason.
func (m decisionMetrics) countRefused(r *admission.Request, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("masticturn_refused_total{service=%q,class=%q,reason=%q}",
		r.Service.Name, r.Class.Name, reason)).Inc()
}

// countReturn counts a refusal of a returning caller, and records Retry-After if the refusal is for lack
// of capacity.
func (m decisionMetrics) countReturn(r *admission.Request, req *Request, refusal *Refusal) {
	labels := fmt.Sprintf(`{service=%q,class=%q}`, r.Service.Name, r.Class.Name)
	if req.Returning {
		m.set.GetOrCreateCounter("masticturn_returning_refused_total" + labels).Inc()
	}
	if refusal.Reason == reasonNoCapacity {
		m.set.GetOrCreateHistogram("masticturn_retry_after_seconds" + labels).Update(refusal.RetryAfter.Seconds())
	}
}
