package discovery

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// inForceBound is the tightest bound of a deployment on the time until a change is known to all VMs.
const inForceBound = 2 * time.Second

// fixedMembers is a membership.Source whose view never changes.
type fixedMembers struct{ view *membership.View }

func (f fixedMembers) View() *membership.View                  { return f.view }
func (f fixedMembers) Subscribe(func(*membership.View)) func() { return func() {} }

// storeAccess is a VM's connection to the shared store, with injected faults and a call counter.
type storeAccess struct {
	*platformtest.Store
	refused atomic.Bool // the store refuses this VM
	silent  atomic.Bool // calls time out
	calls   atomic.Int64
}

const storeTimeout = 700 * time.Millisecond // timeout of a call, as on the platform

func (a *storeAccess) check(ctx context.Context) error {
	a.calls.Add(1)
	if a.silent.Load() {
		sleep(ctx, storeTimeout)
		return platform.ErrUnavailable
	}
	if a.refused.Load() {
		return platform.ErrUnavailable
	}
	return nil
}

func (a *storeAccess) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Version, error) {
	if err := a.check(ctx); err != nil {
		return nil, 0, err
	}
	return a.Store.List(ctx, kind)
}

func (a *storeAccess) Watch(ctx context.Context, kind platform.Kind, since platform.Version) ([]platform.Event, platform.Version, error) {
	if err := a.check(ctx); err != nil {
		return nil, since, err
	}
	events, asOf, err := a.Store.Watch(ctx, kind, since)
	if a.silent.Load() { // set during the call
		return nil, since, platform.ErrUnavailable
	}
	return events, asOf, err
}

// fleet is a set of VMs that share one store.
type fleet struct {
	t      *testing.T
	hub    *peertest.Hub
	store  *platformtest.Store
	vms    map[string]*Service
	access map[string]*storeAccess
	view   *membership.View
	gen    config.Generation
	bound  time.Duration // time until a change is known to all VMs

	firstStart bool          // the whole fleet starts for the first time
	revocation time.Duration // bound of key revocation; 0: none
}

// newFleet starts VMs in three regions and waits until all of them have a document in force.
func newFleet(t *testing.T, size int) *fleet { return newBoundFleet(t, size, inForceBound) }

// newBoundFleet is like newFleet, with the given bound.
func newBoundFleet(t *testing.T, size int, bound time.Duration) *fleet {
	return newFleetWithCores(t, size, bound, func(int) float64 { return 0 })
}

// newFleetWithCores is like newBoundFleet, with the number of cores of each VM.
func newFleetWithCores(t *testing.T, size int, bound time.Duration, cores func(i int) float64) *fleet {
	f := &fleet{
		bound: bound, firstStart: true,
		t: t, hub: peertest.NewHub(1), store: platformtest.NewStore(),
		vms: make(map[string]*Service), access: make(map[string]*storeAccess), view: &membership.View{},
	}
	f.store.WatchTimeout = Timings(jsonDecoder{}.Kinds(), f.bounds())[jsonDecoder{}.Kinds().Document].WatchTimeout
	for i := range size {
		f.view.Members = append(f.view.Members, membership.Member{
			Name: fmt.Sprintf("vm-%03d", i), Region: fmt.Sprintf("r%d", i%3), State: membership.Alive, Generation: 1,
			Cores: cores(i),
		})
	}
	f.writeDocument()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, m := range f.view.Members {
		f.start(ctx, m.Name)
	}
	t.Cleanup(f.stop)
	f.wantDocumentEverywhere("at the start")
	f.firstStart = false
	return f
}

func (f *fleet) bounds() settings.Bounds {
	return settings.Bounds{ConfigInForce: f.bound, TargetDrain: f.bound, KeyRevocation: f.revocation}
}

func (f *fleet) start(ctx context.Context, name string) {
	view := *f.view
	view.Self = name
	network := f.hub.Network(name)
	for _, other := range f.view.Members {
		network.SetAddress(other.Name, peertest.Address(other.Name))
	}
	f.access[name] = &storeAccess{Store: f.store}
	f.vms[name] = NewService(Deps{
		Store: f.access[name], Decoder: jsonDecoder{}, Members: fixedMembers{&view}, Network: network,
		Joined: func() bool { return true }, FirstStart: f.firstStart,
		RegionByZone: map[string]string{"z1": "r0"}, Bounds: f.bounds(), Shares: noShares,
		Clock: kernel.SystemClock{}, Logger: telemetry.Discard(),
	})
	if err := f.vms[name].Start(ctx); err != nil {
		f.t.Fatal(err)
	}
}

// restart stops and starts a VM's service.
func (f *fleet) restart(name string) {
	_ = f.vms[name].Stop(context.Background())
	f.startStopped(name)
}

// kill stops a VM's service. Polls of the VM then fail at once, as its address refuses connections.
func (f *fleet) kill(name string) {
	_ = f.vms[name].Stop(context.Background())
	f.hub.Network(name) // without handlers
}

// startStopped starts the service of a stopped VM and keeps its call count.
func (f *fleet) startStopped(name string) {
	calls := f.access[name].calls.Load()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	f.start(ctx, name)
	f.access[name].calls.Add(calls)
}

func (f *fleet) stop() {
	for _, s := range f.vms {
		_ = s.Stop(context.Background())
	}
	time.Sleep(time.Minute) // let pending messages of paused VMs and slow links be delivered
}

// writeDocument writes a document of the next generation.
func (f *fleet) writeDocument() {
	f.gen++
	f.store.Put("doc", "main", encode(f.t, testDocument{Generation: f.gen}))
}

// liveByRegion returns the live members of each region, in the order that is the same on all VMs.
func liveByRegion(v *membership.View) map[string][]*membership.Member {
	regions := liveMembers(v)
	for region, members := range regions {
		regions[region] = topOfRegion(region, members, len(members))
	}
	return regions
}

// watchersAndLeader returns the watchers and the leader of the region that has no watcher.
func (f *fleet) watchersAndLeader() (reading []string, leader string) {
	order := rankedLeaders(liveByRegion(f.view))
	for _, m := range order[:watcherCount] {
		reading = append(reading, m.Name)
	}
	return reading, order[watcherCount].Name
}

// wantDocumentEverywhere waits for the bound and checks that all VMs except the given ones have the
// latest document in force.
func (f *fleet) wantDocumentEverywhere(when string, except ...string) {
	f.t.Helper()
	time.Sleep(f.bound)
	synctest.Wait()
	for name, s := range f.vms {
		if contains(except, name) {
			continue
		}
		v := s.View()
		if v == nil || v.Snapshot.Generation != f.gen {
			f.t.Errorf("%s: %s does not have generation %d in force", when, name, f.gen)
		}
	}
}

func contains(all []string, name string) bool {
	for _, s := range all {
		if s == name {
			return true
		}
	}
	return false
}

func TestChangesReachAllVMsInTime(t *testing.T) {
	tests := map[string]func(f *fleet) (except []string){
		"calm": func(*fleet) []string { return nil },
		"both watchers are refused by the store": func(f *fleet) []string {
			reading, _ := f.watchersAndLeader()
			for _, vm := range reading {
				f.access[vm].refused.Store(true)
			}
			return reading // they only read the store
		},
		"both watchers and a leader get no answer from the store": func(f *fleet) []string {
			reading, leader := f.watchersAndLeader()
			for _, vm := range append(reading, leader) {
				f.access[vm].silent.Store(true)
			}
			return append(reading, leader)
		},
		"a watcher crashes": func(f *fleet) []string {
			reading, _ := f.watchersAndLeader()
			f.hub.Remove(reading[0])
			return nil
		},
		"a leader is paused": func(f *fleet) []string {
			_, leader := f.watchersAndLeader()
			f.hub.Pause(leader)
			f.t.Cleanup(func() { f.hub.Resume(leader) })
			return []string{leader}
		},
		"VMs can't reach each other": func(f *fleet) []string {
			f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Partition: true})
			return nil
		},
		"messages are delayed and lost": func(f *fleet) []string {
			f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Drop: 0.03, Delay: 55 * time.Millisecond})
			return nil
		},
		"the store compacted its history": func(f *fleet) []string {
			f.store.Compact()
			return nil
		},
	}
	for name, prepare := range tests {
		for phase := range 4 { // offset of the change within the pending watches
			t.Run(fmt.Sprintf("%s/%d", name, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 10)
					time.Sleep(5*time.Second + time.Duration(phase)*250*time.Millisecond)
					except := prepare(f)
					f.writeDocument()
					f.wantDocumentEverywhere(name, except...)
				})
			})
		}
	}
}

// Changes reach all VMs within a bound that is tighter than the default one.
func TestTighterBoundsAreFollowed(t *testing.T) {
	const bound = 1200 * time.Millisecond
	for phase := range 8 { // offset of the change within the pending watches
		synctest.Test(t, func(t *testing.T) {
			f := newBoundFleet(t, 10, bound)
			time.Sleep(5*time.Second + time.Duration(phase)*100*time.Millisecond)
			reading, leader := f.watchersAndLeader()
			silent := append(reading, leader)
			for _, vm := range silent {
				f.access[vm].silent.Store(true)
			}
			f.writeDocument()
			f.wantDocumentEverywhere(fmt.Sprintf("watchers and a leader get no answer from the store, phase %d", phase), silent...)
		})
	}
}

// Bounds shorten timings in proportion and never lengthen them.
func TestTimings(t *testing.T) {
	kinds := jsonDecoder{}.Kinds()
	tests := map[string]struct {
		bounds              settings.Bounds
		document, evacuated Timing
	}{
		"none":   {settings.Bounds{}, changeTiming, zonesTiming},
		"looser": {settings.Bounds{ConfigInForce: 4 * time.Second, ZoneEvacuation: 9 * time.Second}, changeTiming, zonesTiming},
		"half": {
			settings.Bounds{ConfigInForce: time.Second, ZoneEvacuation: 2500 * time.Millisecond},
			Timing{WatchTimeout: 475 * time.Millisecond, StaleAfter: 675 * time.Millisecond},
			Timing{WatchTimeout: 1200 * time.Millisecond, StaleAfter: 1400 * time.Millisecond},
		},
	}
	for name, tt := range tests {
		got := Timings(kinds, tt.bounds)
		if got[kinds.Document] != tt.document || got[kinds.Evacuations] != tt.evacuated {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func TestChangesReachAllVMsAfterAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		for _, a := range f.access {
			a.silent.Store(true)
		}
		time.Sleep(8 * time.Second)
		for _, a := range f.access {
			a.silent.Store(false)
		}
		f.writeDocument()
		f.wantDocumentEverywhere("after the outage")
	})
}

// A VM that the store refuses receives changes from its peers.
func TestRefusedVMFollowsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		reading, leader := f.watchersAndLeader()
		f.access[leader].refused.Store(true)
		f.access[reading[0]].refused.Store(true)
		time.Sleep(5 * time.Second)
		f.writeDocument()
		f.wantDocumentEverywhere("some are refused", reading[0])
	})
}

// The number of store calls of an idle fleet and per change must not grow with the fleet.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	const minute = time.Minute
	maxCalls := int64(float64(watcherCount*3) * minute.Seconds() / 0.95)
	for _, size := range []int{10, 30, 87} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				time.Sleep(5 * time.Second) // let the calls of the start end
				before := f.calls()
				time.Sleep(minute)
				calls := f.calls() - before
				if calls > maxCalls || calls < maxCalls/2 {
					t.Errorf("%d calls in a minute, want at most %d", calls, maxCalls)
				}
				before = f.calls()
				for range 10 {
					f.writeDocument()
					time.Sleep(time.Second)
				}
				perEvent := float64(f.calls()-before-maxCalls/6) / 10
				if perEvent > 2*watcherCount {
					t.Errorf("%.1f calls for a change, want at most %d", perEvent, 2*watcherCount)
				}
			})
		})
	}
}

// Every chain of first sources ends at a watcher within a few hops, and no VM is polled by too many
// others.
func TestSourcesOfAllVMs(t *testing.T) {
	for _, size := range []int{1, 2, 3, 10, 87, 1400} {
		view := &membership.View{}
		for i := range size {
			view.Members = append(view.Members, membership.Member{
				Name: fmt.Sprintf("vm-%04d", i), Region: fmt.Sprintf("r%d", i%9), State: membership.Alive,
			})
		}
		preferred := make(map[string]string)
		pollers := make(map[string]int)
		reading := 0
		for _, m := range view.Members {
			own := *view
			own.Self = m.Name
			if p := sourcesFor(&own).preferred; len(p) > 0 {
				preferred[m.Name] = p[0]
				pollers[p[0]]++
			} else {
				reading++
			}
		}
		if reading != min(watcherCount, size) {
			t.Errorf("%d VMs: %d read the store", size, reading)
		}
		for name := range preferred {
			steps := 0
			for at := name; preferred[at] != ""; at = preferred[at] {
				if steps++; steps > 4 {
					t.Fatalf("%d VMs: %s is too many hops from a watcher", size, name)
				}
			}
		}
		for name, n := range pollers {
			if n > fanOut+9 { // VMs of its region and the leaders of others
				t.Errorf("%d VMs: %s is polled by %d others", size, name, n)
			}
		}
	}
}

// VMs with more cores relay to the others, where a region has enough of them.
func TestLargeVMsRelay(t *testing.T) {
	cores := make(map[string]float64)
	view := &membership.View{}
	for i := range 330 {
		m := membership.Member{Name: fmt.Sprintf("vm-%04d", i), Region: "r", State: membership.Alive, Cores: 0.16}
		if i%11 == 0 {
			m.Cores = 1.6
		}
		cores[m.Name] = m.Cores
		view.Members = append(view.Members, m)
	}
	for _, m := range view.Members {
		own := *view
		own.Self = m.Name
		s := sourcesFor(&own)
		if len(s.preferred) > 0 && cores[s.preferred[0]] < 1 {
			t.Errorf("%s polls %s, which has %.2f cores", m.Name, s.preferred[0], cores[s.preferred[0]])
		}
		if s.isReader && m.Cores < 1 {
			t.Errorf("%s reads the store and has %.2f cores", m.Name, m.Cores)
		}
	}
}

// The bytes per second that polls of an idle VM take must not grow with the fleet.
func TestPollBytesDoNotGrowWithTheFleet(t *testing.T) {
	const minute = time.Minute
	for _, size := range []int{10, 30, 87} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size)
			before := f.hub.Stats()
			time.Sleep(minute)
			after := f.hub.Stats()
			perVM := float64(after.Bytes-before.Bytes) / float64(size) / minute.Seconds()
			t.Logf("%d VMs: %.0f bytes/s and %.1f messages/s per VM", size, perVM,
				float64(after.Messages-before.Messages)/float64(size)/minute.Seconds())
			if perVM > 500 {
				t.Errorf("%d VMs: %.0f bytes/s per VM", size, perVM)
			}
		})
	}
}

func (f *fleet) calls() int64 {
	var n int64
	for _, a := range f.access {
		n += a.calls.Load()
	}
	return n
}
