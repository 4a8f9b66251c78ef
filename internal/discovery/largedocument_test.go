package discovery

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/peer/peertest"
)

// testRoute has the fields and the size of a route of a stored document.
type testRoute struct {
	Name, Kind, PathPrefix, Service, Timeout, Latency string
	Priority, MaxAttempts, Weight                     int
	Affinity                                          bool
	AllowedRegions                                    []string
}

// routes returns n routes with random names.
func routes(rng *rand.Rand, n int) []testRoute {
	out := make([]testRoute, n)
	for i := range out {
		out[i] = testRoute{
			Name: fmt.Sprintf("r-%07x", rng.Uint32()>>4), Kind: "safe",
			PathPrefix: fmt.Sprintf("/%07x/", rng.Uint32()>>4), Service: fmt.Sprintf("svc-%d", rng.IntN(8)),
			Timeout: "4000ms", Latency: "600ms", Priority: 2, MaxAttempts: 2, Weight: 1 + rng.IntN(99),
			Affinity: true, AllowedRegions: []string{},
		}
	}
	return out
}

// slowLinkFleet is a fleet whose VMs have links of a limited rate, with a document of many routes in force.
type slowLinkFleet struct {
	*fleet
	rng    *rand.Rand
	routes []testRoute
}

// newMixedFleet returns a fleet without a document of routes, in which every nth VM has ten times the cores of the
// others; 0: none.
func newMixedFleet(t *testing.T, size, everyNthIsLarge int, bound time.Duration) *slowLinkFleet {
	cores := func(i int) float64 {
		if everyNthIsLarge > 0 && i%everyNthIsLarge == 0 {
			return 1.6
		}
		return 0.16
	}
	return &slowLinkFleet{fleet: newFleetWithCores(t, size, bound, cores), rng: rand.New(rand.NewPCG(1, 1))}
}

func newSlowLinkFleet(t *testing.T, size, routeCount, linkMbps int, bound time.Duration) *slowLinkFleet {
	f := &slowLinkFleet{fleet: newBoundFleet(t, size, bound), rng: rand.New(rand.NewPCG(1, 1))}
	f.routes = routes(f.rng, routeCount)
	f.write()
	f.wantDocumentEverywhere("before the links are slow")
	for name := range f.vms {
		f.hub.SetLinkRate(name, linkMbps*1_000_000/8)
	}
	return f
}

// write writes a document of the next generation with the fleet's routes.
func (f *slowLinkFleet) write() {
	f.gen++
	f.store.Put("doc", "main", slices.Concat(encode(f.t, testDocument{Generation: f.gen}), []byte("\n"), encode(f.t, f.routes)))
}

// changeWeight changes the weight of one route.
func (f *slowLinkFleet) changeWeight() {
	f.routes[f.rng.IntN(len(f.routes))].Weight++
	f.write()
}

// busiestLink returns the most bytes that any VM has sent since its link was limited.
func (f *slowLinkFleet) busiestLink() int {
	most := 0
	for name := range f.vms {
		most = max(most, f.hub.LinkBytes(name))
	}
	return most
}

// cutOff disconnects a sixth of the VMs from all others and the store, and returns their names.
func (f *slowLinkFleet) cutOff() (names []string) {
	for i, m := range f.view.Members {
		if i%6 != 5 {
			continue
		}
		f.hub.SetFault(m.Name, peertest.Any, peertest.Fault{Partition: true})
		f.hub.SetFault(peertest.Any, m.Name, peertest.Fault{Partition: true})
		f.access[m.Name].silent.Store(true)
		names = append(names, m.Name)
	}
	return names
}

// Changes of a large document must be in force in time on VMs whose links are slow. The bounds are those of the
// deployments.
func TestLargeDocumentsReachAllVMsOverSlowLinks(t *testing.T) {
	changes := map[string]func(*slowLinkFleet) (except []string){
		"one weight": func(f *slowLinkFleet) []string {
			f.changeWeight()
			return nil
		},
		"many routes are added": func(f *slowLinkFleet) []string {
			f.routes = append(f.routes, routes(f.rng, 828)...)
			f.write()
			return nil
		},
		"a series of weights": func(f *slowLinkFleet) []string {
			for range 12 {
				f.changeWeight()
				time.Sleep(330 * time.Millisecond)
			}
			f.changeWeight()
			return nil
		},
		"a series of weights, some VMs are cut off": func(f *slowLinkFleet) []string {
			except := f.cutOff()
			for range 5 {
				f.changeWeight()
				time.Sleep(500 * time.Millisecond)
			}
			f.changeWeight()
			return except
		},
	}
	for _, d := range []struct {
		vms, linkMbps int
		bound         time.Duration
		routes        []int
	}{
		{48, 10, 4 * time.Second, []int{1078}},
		{143, 10, 4 * time.Second, []int{8, 1078}},
		{330, 20, 5 * time.Second, []int{250, 1078}},
		{985, 20, 5 * time.Second, []int{250}},
	} {
		for _, routeCount := range d.routes {
			for _, name := range slices.Sorted(maps.Keys(changes)) {
				t.Run(fmt.Sprintf("%d VMs/%d routes/%s", d.vms, routeCount, name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newSlowLinkFleet(t, d.vms, routeCount, d.linkMbps, d.bound)
						except := changes[name](f)
						f.wantDocumentEverywhere("after the change", except...)
						t.Logf("the busiest link sent %d KB", f.busiestLink()>>10)
					})
				})
			}
		}
	}
}

// untilEverywhere returns the time until all VMs have the latest document in force; limit if some still lack it.
func (f *slowLinkFleet) untilEverywhere(limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		time.Sleep(20 * time.Millisecond)
		missing := slices.ContainsFunc(slices.Collect(maps.Values(f.vms)), func(s *Service) bool {
			return s.View().Snapshot.Generation != f.gen
		})
		if !missing {
			return time.Since(start)
		}
	}
	return limit
}

// The time until a document of which every route is new is in force everywhere, by its size. The store takes
// values of up to 1 MB, some 5,000 routes.
func TestTimeUntilANewDocumentIsInForceEverywhere(t *testing.T) {
	const (
		vms       = 143
		linkMbps  = 10
		largeMbps = 200
		bound     = 4 * time.Second
	)
	for _, everyNthIsLarge := range []int{0, 11} {
		for _, routeCount := range []int{250, 1078, 5000} {
			t.Run(fmt.Sprintf("every %d VM is large/%d routes", everyNthIsLarge, routeCount), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newMixedFleet(t, vms, everyNthIsLarge, bound)
					f.routes = routes(f.rng, routeCount)
					f.write()
					f.wantDocumentEverywhere("before the links are slow")
					for i, m := range f.view.Members {
						rate := linkMbps
						if everyNthIsLarge > 0 && i%everyNthIsLarge == 0 {
							rate = largeMbps
						}
						f.hub.SetLinkRate(m.Name, rate*1_000_000/8)
					}
					f.routes = routes(f.rng, routeCount)
					f.write()
					took := f.untilEverywhere(4 * bound)
					t.Logf("in force everywhere after %v; the busiest link sent %d KB", took, f.busiestLink()>>10)
					if took > bound {
						t.Errorf("in force everywhere after %v, want at most %v", took, bound)
					}
				})
			})
		}
	}
}
