package ratelimit

import "github.com/VictoriaMetrics/metrics"

// meter counts the results of Take.
type meter struct {
	taken, over, unknown *metrics.Counter
}

func newMeter(set *metrics.Set) meter {
	counter := func(result string) *metrics.Counter {
		return set.GetOrCreateCounter(`masticturn_limit_requests_total{result="` + result + `"}`)
	}
	return meter{counter("allowed"), counter("over"), counter("unknown")}
}

func (m meter) count(v verdict) {
	switch v {
	case verdictTaken:
		m.taken.Inc()
	case verdictOver:
		m.over.Inc()
	default:
		m.unknown.Inc()
	}
}
