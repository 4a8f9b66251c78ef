package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// startCost is what the simultaneous start of a whole fleet takes.
type startCost struct {
	complete  time.Duration // until all VMs know all VMs
	copies    float64       // number of times that a VM is sent the record of another one
	meanBytes float64       // received per VM; 0: not measured
	maxBytes  float64       // sent or received by the busiest VM
	joinBytes float64       // part of meanBytes that are answers to join requests
	processor time.Duration // per VM, including the codec if bytes are measured
}

// startAtOnce starts a fleet in three regions whose VMs start within 0.3 s of each other and know three
// seeds, as on the platform. measure counts bytes as well, which takes long.
func startAtOnce(t testing.TB, vms int, measure bool) startCost {
	const regions, zones, spread = 3, 3, 300 * time.Millisecond
	s := newSim(t, uint64(vms))
	s.opts.JoinInterval = 100 * time.Millisecond
	s.latency = func(from, to string) time.Duration {
		if from[:2] != to[:2] {
			return 3 * simStep
		}
		return simStep
	}
	var records []Record
	for i := range vms {
		records = append(records, s.record(fmt.Sprintf("r%d", i%regions), fmt.Sprintf("z%d", i/regions%zones), i))
	}
	seeds := []string{records[0].Name, records[vms/3].Name, records[2*vms/3].Name}
	s.measuring = measure
	began := time.Now()
	for started, elapsed := 0, time.Duration(0); started < vms; elapsed += simStep {
		for ; started < vms && time.Duration(started)*spread/time.Duration(vms) <= elapsed; started++ {
			r := records[started]
			r.Incarnation = uint64(s.now.UnixMilli()) * incarnationStep
			s.add(r, seeds...)
		}
		s.run(simStep)
	}
	for !s.allKnown(vms) {
		if s.now.Sub(s.start) > 30*time.Second {
			t.Errorf("%d VMs: not all know each other after %v", vms, s.now.Sub(s.start))
			break
		}
		s.run(simStep)
	}
	c := startCost{
		complete:  s.now.Sub(s.start),
		copies:    float64(s.records) / float64(vms*vms),
		processor: time.Since(began) / time.Duration(vms),
		joinBytes: float64(s.joinBytes) / float64(vms),
	}
	for _, name := range s.order {
		c.meanBytes += float64(s.bytesIn[name]) / float64(vms)
		c.maxBytes = max(c.maxBytes, float64(s.bytesOut[name]), float64(s.bytesIn[name]))
	}
	return c
}

// allKnown reports whether all VMs see all VMs alive.
func (s *sim) allKnown(vms int) bool {
	for _, m := range s.nodes {
		if m.View().Count(Alive) != vms {
			return false
		}
	}
	return true
}

// While a whole fleet starts, the copies of a record that a VM is sent may not grow with the fleet: from 195 VMs on,
// the size of the largest deployment before, twice as many.
func TestStartCostDoesNotGrowWithTheFleet(t *testing.T) {
	const small, large = 195, 390
	few, many := startAtOnce(t, small, false), startAtOnce(t, large, false)
	if many.copies > 1.2*few.copies {
		t.Errorf("a VM is sent %.2f copies of a record in a fleet of %d, %.2f in a fleet of %d; want at most a fifth more",
			many.copies, large, few.copies, small)
	}
	for vms, c := range map[int]startCost{small: few, large: many} {
		if c.complete > 3*time.Second {
			t.Errorf("the VMs of a fleet of %d know each other after %v, want 3s", vms, c.complete)
		}
	}
}

// BenchmarkStart measures what the start of a whole fleet takes.
func BenchmarkStart(b *testing.B) {
	for _, vms := range []int{99, 195, 495, 985} {
		b.Run(fmt.Sprintf("members=%d", vms), func(b *testing.B) {
			for b.Loop() {
				c := startAtOnce(b, vms, true)
				b.ReportMetric(c.complete.Seconds(), "s/complete")
				b.ReportMetric(c.meanBytes, "B/daemon")
				b.ReportMetric(c.maxBytes, "B/max")
				b.ReportMetric(c.joinBytes, "joinB/daemon")
				b.ReportMetric(c.copies, "copies")
				b.ReportMetric(float64(c.processor.Milliseconds()), "ms/daemon")
			}
		})
	}
}

// Guards against starts that wait long for seeds that have no power: the one of three seeds that answers must
// be asked soon, whichever it is.
func TestSilentSeedsDoNotHoldUpAStart(t *testing.T) {
	seeds := []Candidate{{Address: "10.0.0.1:1"}, {Address: "10.0.0.2:1"}, {Address: "10.0.0.3:1"}}
	for seed := range uint64(100) {
		start := time.Unix(1000, 0)
		m := NewStateMachine(Record{Name: "vm-0", Region: "r", Zone: "z", Incarnation: 1},
			Options{JoinInterval: 100 * time.Millisecond}, rand.New(rand.NewPCG(seed, 1)), start)
		m.SetCandidates(seeds)
		answering, asked := seeds[seed%3].Address, time.Duration(-1)
		for elapsed := time.Duration(0); elapsed < 5*time.Second && asked < 0; elapsed += 20 * time.Millisecond {
			for _, a := range m.Tick(start.Add(elapsed)) {
				if c, ok := a.(CallJoin); ok && c.Candidate.Address == answering {
					asked = elapsed
				}
			}
		}
		if asked < 0 || asked > 800*time.Millisecond {
			t.Errorf("seed %d: the seed that answers was asked after %v", seed, asked)
		}
	}
}

// A VM that announces the generation that it has announced already, as with each new list of targets, must not
// tell the others anything.
func TestUnchangedGenerationIsNotAnnounced(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewStateMachine(Record{Name: "vm-0", Region: "r", Zone: "z", Incarnation: 1}, Options{}, rand.New(rand.NewPCG(1, 1)), now)
	m.SetGeneration(now, 3, 7)
	now = now.Add(time.Second)
	m.Tick(now)
	view, announced := m.View(), m.latestGeneration
	now = now.Add(time.Second)
	m.SetGeneration(now, 3, 7)
	m.Tick(now)
	if m.latestGeneration != announced || m.View() != view {
		t.Errorf("the generation was announced as version %d and again as %d, and the view was built anew: %t", announced, m.latestGeneration, m.View() != view)
	}
	m.SetGeneration(now, 4, 7)
	if m.latestGeneration == announced || m.View() == view {
		t.Error("a new generation was not announced")
	}
}
