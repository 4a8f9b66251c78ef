package placement

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/admission"
)

// meter counts decisions by service and class.
type meter struct{ set *metrics.Set }

func newMeter(set *metrics.Set) meter {
	if set == nil {
		set = metrics.NewSet()
	}
	return meter{set}
}

// placed counts a placed request, by whether its object has been sent there before.
func (m meter) placed(r *admission.Request, at *Selection, waited time.Duration) {
	labels := fmt.Sprintf(`service=%q,class=%q`, r.Service.Name, r.Class.Name)
	m.set.GetOrCreateCounter(fmt.Sprintf("masticturn_placed_total{%s,rank=\"%d\",known=\"%t\"}", labels, at.rank, at.known)).Inc()
	m.set.GetOrCreateHistogram("masticturn_placement_wait_seconds{" + labels + "}").Update(waited.Seconds())
}

// refused counts a refused request.
func (m meter) refused(r *admission.Request, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("masticturn_refused_total{service=%q,class=%q,reason=%q}",
		r.Service.Name, r.Class.Name, reason)).Inc()
}
