package targetlimit

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meter exposes the limits of targets and what is sent against them.
type meter struct {
	set *metrics.Set
}

func newMeter(set *metrics.Set) *meter {
	if set == nil {
		set = metrics.NewSet()
	}
	return &meter{set}
}

func limitName(target string) string {
	return fmt.Sprintf("masticturn_target_rate_limit{target=%q}", target)
}

func sentName(target string) string {
	return fmt.Sprintf("masticturn_target_rate_limited_requests_total{target=%q}", target)
}

// setLimit exposes a target's limit, in requests/s, and the number of this VM's requests to it, for as
// long as the target has one.
func (m *meter) setLimit(target string, l Limit) {
	if !l.Named {
		m.set.UnregisterMetric(limitName(target))
		m.set.UnregisterMetric(sentName(target))
		return
	}
	m.set.GetOrCreateFloatCounter(limitName(target)).Set(l.PerSecond)
}

func (m *meter) countSent(target string) { m.set.GetOrCreateCounter(sentName(target)).Inc() }
