package bench

import (
	"cmp"
	"slices"
	"time"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/standin"
	"masticturn/internal/standin/caller"
)

// LoadSummary is what the callers of a cluster were told.
type LoadSummary struct {
	Requests int                  `json:"requests"`
	Answered int                  `json:"answered"`
	NotRun   int                  `json:"not_run"`
	Unknown  int                  `json:"unknown"`
	Overruns int                  `json:"overruns"` // not sent, because callers had too many open
	P50MS    float64              `json:"p50_ms"`
	P99MS    float64              `json:"p99_ms"`
	P999MS   float64              `json:"p999_ms"`
	Classes  []caller.ClassResult `json:"classes"` // by service and class
	Reasons  []ReasonCount        `json:"reasons,omitempty"`
}

// ReasonCount counts the tries that were not answered, by what callers were told.
type ReasonCount struct {
	Told   caller.Told `json:"told"`
	Class  string      `json:"class"`
	Step   string      `json:"step,omitempty"`
	Detail string      `json:"detail,omitempty"`
	Count  int         `json:"count"`
	// Example is the id of one of the tries.
	Example string `json:"example"`
}

// maxReasons bounds the reasons in a report; the most frequent are kept.
const maxReasons = 12

// reasons counts why tries were not answered.
func reasons(tries []caller.Note) []ReasonCount {
	counts := make(map[ReasonCount]int)
	examples := make(map[ReasonCount]string)
	for _, n := range tries {
		if n.Told != caller.ToldAnswered {
			r := ReasonCount{Told: n.Told, Class: n.Class, Step: n.Step, Detail: n.Detail}
			counts[r]++
			examples[r] = n.RequestID
		}
	}
	all := make([]ReasonCount, 0, len(counts))
	for r, n := range counts {
		r.Count, r.Example = n, examples[r]
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Detail, b.Detail))
	})
	return all[:min(len(all), maxReasons)]
}

// summarize adds up what the callers noted.
func summarize(notes *caller.Notes) LoadSummary {
	s := LoadSummary{Overruns: notes.Overruns(), Classes: notes.Results()}
	slices.SortFunc(s.Classes, func(a, b caller.ClassResult) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	for _, class := range s.Classes {
		s.Requests += class.Requests
		s.Answered += class.Answered
		s.NotRun += class.NotRun
		s.Unknown += class.Unknown
	}
	latency := notes.Histogram("")
	s.P50MS = float64(latency.ValueAtQuantile(50)) / microsPerMilli
	s.P99MS = float64(latency.ValueAtQuantile(99)) / microsPerMilli
	s.P999MS = float64(latency.ValueAtQuantile(99.9)) / microsPerMilli
	s.Reasons = reasons(notes.Tries())
	return s
}

// RegionHeadroom is the free part of a region's slots over a run, as offered
// to its targets.
type RegionHeadroom struct {
	Region string  `json:"region"`
	Slots  int     `json:"slots"`
	Mean   float64 `json:"mean"` // 0 to 1
	Least  float64 `json:"least"`
	Now    float64 `json:"-"`
}

// headroomMeter samples the headroom of all regions.
type headroomMeter struct {
	gauges  map[string]*standin.Gauge
	regions []RegionHeadroom
	samples int
}

func newHeadroomMeter(c *cluster.Cluster) *headroomMeter {
	m := &headroomMeter{gauges: c.Regions}
	for region, gauge := range c.Regions {
		_, slots := gauge.Now()
		m.regions = append(m.regions, RegionHeadroom{Region: region, Slots: slots, Least: 1})
	}
	slices.SortFunc(m.regions, func(a, b RegionHeadroom) int { return cmp.Compare(a.Region, b.Region) })
	return m
}

// sample takes one reading of each region.
func (m *headroomMeter) sample() {
	m.samples++
	for i := range m.regions {
		r := &m.regions[i]
		used, slots := m.gauges[r.Region].Now()
		r.Now = 1 - float64(used)/float64(max(slots, 1))
		r.Least = min(r.Least, r.Now)
		r.Mean += (r.Now - r.Mean) / float64(m.samples)
	}
}

// headroomPeriod is the time between samples.
const headroomPeriod = 20 * time.Millisecond
