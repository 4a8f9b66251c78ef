package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// fleetShape is the size of a fleet whose members are distributed evenly.
type fleetShape struct {
	members, regions, zones int
}

// BenchmarkFleet measures the cost of membership per daemon by fleet size: mean and maximum frame
// bytes per second, and CPU time. The generation changes every 15 seconds, and one daemon crashes.
func BenchmarkFleet(b *testing.B) {
	shapes := []fleetShape{{10, 3, 6}, {30, 3, 6}, {100, 4, 9}, {300, 6, 14}, {700, 9, 21}, {1400, 9, 21}}
	for _, shape := range shapes {
		b.Run(fmt.Sprintf("members=%d", shape.members), func(b *testing.B) {
			for b.Loop() {
				s := newBenchFleet(b, shape)
				measureFleet(b, s, shape)
			}
		})
	}
}

// newBenchFleet returns a fleet whose members all know each other.
func newBenchFleet(b *testing.B, shape fleetShape) *sim {
	s := newSim(b, uint64(shape.members))
	var records []Record
	for i := range shape.members {
		zone := i % shape.zones
		records = append(records, s.record(fmt.Sprintf("r%d", zone%shape.regions), fmt.Sprintf("z%02d", zone), i))
	}
	for _, r := range records {
		s.add(r)
	}
	answer := &JoinResponse{Name: "table", Records: records}
	for _, name := range s.order {
		s.execute(name, s.nodes[name].HandleJoinResponse(s.now, answer))
	}
	s.latency = func(from, to string) time.Duration {
		if from[:2] != to[:2] {
			return 3 * simStep
		}
		return simStep
	}
	s.run(5 * time.Second)
	return s
}

func measureFleet(b *testing.B, s *sim, shape fleetShape) {
	const generations, interval = 2, 15 * time.Second
	s.measuring = true
	start := time.Now()
	for g := range generations {
		for _, name := range s.order {
			s.execute(name, s.nodes[name].SetGeneration(s.now, uint64(g+1), 1))
		}
		s.run(interval / 2)
		if g == 0 {
			s.crash(s.order[0])
		}
		s.run(interval / 2)
	}
	elapsed := time.Since(start)
	seconds := (generations * interval).Seconds()
	var rates []float64
	total := 0.0
	for _, name := range s.order {
		rate := float64(s.bytesOut[name]+s.bytesIn[name]) / seconds
		rates = append(rates, rate)
		total += rate
	}
	slices.Sort(rates)
	n := float64(shape.members)
	b.ReportMetric(total/n, "B/s/daemon")
	b.ReportMetric(rates[len(rates)-1], "B/s/max")
	b.ReportMetric(float64(s.messages)/seconds/n, "messages/s/daemon")
	b.ReportMetric(100*elapsed.Seconds()/seconds/n, "%core/daemon")
	b.ReportMetric(0, "ns/op")
}
