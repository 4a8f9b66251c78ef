package tunnel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"masticturn/internal/membership"
	"masticturn/internal/targetconn"
)

func vm(name, region string, change ...func(*membership.Member)) membership.Member {
	m := membership.Member{Name: name, Region: region, State: membership.Alive, Carries: true}
	for _, c := range change {
		c(&m)
	}
	return m
}

func names(members []membership.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

func TestCarriers(t *testing.T) {
	partitioned := func(m *membership.Member) { m.Partitioned = true }
	leaving := func(m *membership.Member) { m.State = membership.Leaving }
	suspect := func(m *membership.Member) { m.State = membership.Suspect }
	oldBuild := func(m *membership.Member) { m.Carries = false }
	tests := map[string]struct {
		members []membership.Member
		reach   targetconn.Reach
		avoid   string
		want    []string
	}{
		"the target's region first": {[]membership.Member{vm("self", "a"), vm("a1", "a"), vm("b1", "b")}, targetconn.Reach{}, "", []string{"b1", "a1"}},
		"VMs that can't carry": {[]membership.Member{
			vm("self", "a"), vm("b1", "b", partitioned), vm("b2", "b", leaving), vm("b3", "b", suspect), vm("b4", "b", oldBuild), vm("a1", "a"),
		}, targetconn.Reach{}, "", []string{"a1"}},
		"allowed regions only":                 {[]membership.Member{vm("self", "a"), vm("a1", "a"), vm("c1", "c")}, targetconn.Reach{Regions: []string{"b", "c"}}, "", []string{"c1"}},
		"the target's region is always one":    {[]membership.Member{vm("self", "a"), vm("b1", "b")}, targetconn.Reach{Regions: []string{"c"}}, "", []string{"b1"}},
		"failed ones last":                     {[]membership.Member{vm("b1", "b"), vm("a1", "a")}, targetconn.Reach{}, "b1", []string{"a1", "b1"}},
		"nobody":                               {[]membership.Member{vm("self", "a")}, targetconn.Reach{}, "", nil},
		"everybody partitioned, none is asked": {[]membership.Member{vm("a1", "a", partitioned), vm("b1", "b", partitioned)}, targetconn.Reach{}, "", nil},
	}
	for name, tt := range tests {
		got := names(carriers(&membership.View{Members: tt.members}, carrierQuery{
			self: "self", targetRegion: "b", reach: tt.reach,
			avoid:  func(name string) bool { return name == tt.avoid },
			random: func() float64 { return 0.5 },
		}))
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}

// A third of a large region's VMs is partitioned: the others must share the load by their cores.
func TestCarriersShareTheLoadByTheirCores(t *testing.T) {
	for _, size := range []int{60, 120} {
		view := &membership.View{}
		for i := range size {
			view.Members = append(view.Members, vm(fmt.Sprintf("vm-%03d", i), "a", func(m *membership.Member) {
				m.Partitioned = i%3 == 0
				m.Cores = []float64{0.16, 0.16, 0.32}[i%3]
			}))
		}
		random := rand.New(rand.NewPCG(1, uint64(size)))
		counts := make(map[string]int)
		const perVM = 200
		connections := perVM * size / 3
		for range connections {
			counts[carriers(view, carrierQuery{self: "vm-000", targetRegion: "a", avoid: func(string) bool { return false }, random: random.Float64})[0].Name]++
		}
		for _, m := range view.Members {
			if m.Partitioned {
				continue
			}
			// The unpartitioned two thirds have cores of 0.16 and 0.32.
			expected := float64(connections) * m.Cores / (float64(size) / 3 * 0.48)
			if n := float64(counts[m.Name]); n < 0.6*expected || n > 1.5*expected {
				t.Errorf("%d VMs: %s with %.2f cores carries %.0f connections, want about %.0f", size, m.Name, m.Cores, n, expected)
			}
		}
	}
}
