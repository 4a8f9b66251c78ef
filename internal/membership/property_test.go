package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// seededParameters returns test parameters with a fixed seed.
func seededParameters(tests int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20260101)
	p.MinSuccessfulTests = tests
	return p
}

// injectRandomFaults injects six random faults for random durations and then ends all of them.
func injectRandomFaults(s *sim, random *rand.Rand) {
	pick := func() string { return s.order[random.IntN(len(s.order))] }
	for range 6 {
		a, b := pick(), pick()
		switch random.IntN(7) {
		case 0:
			s.drop = dropBetween([2]string{a, b})
		case 1:
			s.drop = func(from, to string) bool { return (from == a) != (to == a) }
		case 2:
			s.drop = func(from, to string) bool { return from[:2] != to[:2] }
		case 3:
			s.paused[a] = !s.paused[a]
		case 4:
			s.duplicateRate = random.Float64()
		case 5:
			if a != "r1-z0-0" && a != "r0-z1-0" {
				restart(s, a, -time.Duration(random.IntN(3))*time.Hour)
			}
		case 6:
			s.drop = func(string, string) bool { return s.random.Float64() < 0.3 }
		}
		s.run(time.Duration(random.IntN(6000)) * time.Millisecond)
	}
	s.drop, s.duplicateRate = nil, 0
	clear(s.paused)
}

// TestViewsConverge checks that all members see each other alive after random faults. The simulation
// also checks that no incarnation decreases or returns from gone.
func TestViewsConverge(t *testing.T) {
	properties := gopter.NewProperties(seededParameters(40))
	properties.Property("views converge after faults", prop.ForAll(func(seed uint64) bool {
		s := newSim(t, seed)
		s.startFleet(2, 2, 2)
		injectRandomFaults(s, rand.New(rand.NewPCG(seed, 2)))
		s.run(20 * time.Second)
		s.wantAllStates(Alive)
		return !t.Failed()
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// records generates random records of one member.
func records() gopter.Gen {
	return gen.SliceOfN(6, gen.UInt64Range(0, 1<<10)).Map(func(bits []uint64) []Record {
		var out []Record
		for _, b := range bits {
			out = append(out, Record{
				Name: "x", Region: "r", Incarnation: b & 3, Seq: b >> 2 & 3, Suspect: b>>4&1 == 1, Gone: b>>5&3 == 3,
			})
		}
		return out
	})
}

// TestMergeOrderDoesNotMatter checks that records merged in any order, and repeatedly, result in the
// same table.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	merged := func(records []Record, order []int) Record {
		now := time.Unix(0, 0)
		m := NewStateMachine(Record{Name: "self", Region: "r", Incarnation: 1}, Options{}, rand.New(rand.NewPCG(1, 1)), now)
		for _, i := range order {
			m.merge(&records[i], nil, now)
		}
		return m.table["x"].Record
	}
	properties := gopter.NewProperties(seededParameters(500))
	properties.Property("merge is commutative and idempotent", prop.ForAll(func(records []Record, seed uint64) bool {
		order := rand.New(rand.NewPCG(seed, 1)).Perm(len(records))
		inOrder := merged(records, []int{0, 1, 2, 3, 4, 5})
		return inOrder == merged(records, order) && inOrder == merged(records, append(order, order...))
	}, records(), gen.UInt64()))
	properties.TestingRun(t)
}

// TestNeighborsAreMutualWithinFewHops checks that the neighbor relation is symmetric and that changes
// reach all members of a region in few hops.
func TestNeighborsAreMutualWithinFewHops(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 11, 12, 67, 155, 300} {
		var ring []*entry
		for i := range n {
			ring = append(ring, &entry{Record: Record{Name: string(rune('A' + i))}})
		}
		neighbors := make(map[string][]string)
		for _, e := range ring {
			neighbors[e.Name] = neighborsOf(e.Name, ring, defaultMeshSize)
		}
		reached := map[string]bool{ring[0].Name: true}
		hops := 0
		for ; len(reached) < n && hops < 10; hops++ {
			for name := range maps.Clone(reached) {
				for _, other := range neighbors[name] {
					reached[other] = true
				}
			}
		}
		if hops > 6 || len(neighbors[ring[0].Name]) > 12 {
			t.Errorf("%d members: %d hops over %d neighbors", n, hops, len(neighbors[ring[0].Name]))
		}
		for name, list := range neighbors {
			for _, other := range list {
				if !slices.Contains(neighbors[other], name) || other == name {
					t.Errorf("%d members: %q has neighbor %q but not the other way", n, name, other)
				}
			}
		}
	}
}
