package regionload

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// The reasons for which messages are dropped.
const (
	dropUnreadable  = "unreadable"
	dropOvertaken   = "overtaken by a later one"
	dropWrongRegion = "sender is not in the region"
)

// meter counts dropped messages by reason.
type meter struct{ set *metrics.Set }

func newMeter(set *metrics.Set) *meter {
	if set == nil {
		set = metrics.NewSet()
	}
	return &meter{set}
}

func (m *meter) countDropped(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("masticturn_region_loads_dropped_total{reason=%q}", reason)).Inc()
}
