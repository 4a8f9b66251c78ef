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

// inForceBound is the deployments' tightest bound until a change is known to every VM.
const inForceBound = 2 * time.Second

// fixedMembers is a view that all VMs share.
type fixedMembers struct{ view *membership.View }

func (f fixedMembers) View() *membership.View                  { return f.view }
func (f fixedMembers) Subscribe(func(*membership.View)) func() { return func() {} }

// reach is a VM's path to the store.
type reach struct {
	*platformtest.Store
	refused atomic.Bool // the store refuses this VM
	silent  atomic.Bool // no answers
	calls   atomic.Int64
}

const storeTimeout = 700 * time.Millisecond // of a call, as on the platform

func (r *reach) gate(ctx context.Context) error {
	r.calls.Add(1)
	if r.silent.Load() {
		sleep(ctx, storeTimeout)
		return platform.ErrUnavailable
	}
	if r.refused.Load() {
		return platform.ErrUnavailable
	}
	return nil
}

func (r *reach) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Version, error) {
	if err := r.gate(ctx); err != nil {
		return nil, 0, err
	}
	return r.Store.List(ctx, kind)
}

func (r *reach) Watch(ctx context.Context, kind platform.Kind, since platform.Version) ([]platform.Event, platform.Version, error) {
	if err := r.gate(ctx); err != nil {
		return nil, since, err
	}
	events, asOf, err := r.Store.Watch(ctx, kind, since)
	if r.silent.Load() { // it went silent during the call
		return nil, since, platform.ErrUnavailable
	}
	return events, asOf, err
}

// fleet is several VMs with one store.
type fleet struct {
	t     *testing.T
	hub   *peertest.Hub
	store *platformtest.Store
	vms   map[string]*Service
	reach map[string]*reach
	view  *membership.View
	gen   config.Generation
	bound time.Duration // until changes are known

	firstStart bool          // of the whole fleet
	revocation time.Duration // bound of removed keys; 0: none
}

// newFleet starts VMs in three regions, with a document in force everywhere.
func newFleet(t *testing.T, size int) *fleet { return newBoundFleet(t, size, inForceBound) }

// newBoundFleet is newFleet with another bound.
func newBoundFleet(t *testing.T, size int, bound time.Duration) *fleet {
	f := &fleet{
		bound: bound, firstStart: true,
		t: t, hub: peertest.NewHub(1), store: platformtest.NewStore(),
		vms: make(map[string]*Service), reach: make(map[string]*reach), view: &membership.View{},
	}
	f.store.WatchTimeout = Timings(jsonDecoder{}.Kinds(), f.bounds())[jsonDecoder{}.Kinds().Document].Watch
	for i := range size {
		f.view.Members = append(f.view.Members, membership.Member{
			Name: fmt.Sprintf("vm-%03d", i), Region: fmt.Sprintf("r%d", i%3), State: membership.Alive, Generation: 1,
		})
	}
	f.change()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, m := range f.view.Members {
		f.start(ctx, m.Name)
	}
	t.Cleanup(f.stop)
	f.wantEverywhere("at the start")
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
	f.reach[name] = &reach{Store: f.store}
	f.vms[name] = NewService(Deps{
		Store: f.reach[name], Decoder: jsonDecoder{}, Members: fixedMembers{&view}, Network: network,
		Joined: func() bool { return true }, FirstStart: f.firstStart,
		Places: map[string]string{"z1": "r0"}, Bounds: f.bounds(), Shares: noShares,
		Clock: kernel.SystemClock{}, Logger: telemetry.Discard(),
	})
	if err := f.vms[name].Start(ctx); err != nil {
		f.t.Fatal(err)
	}
}

// restart restarts a VM's process.
func (f *fleet) restart(name string) {
	_ = f.vms[name].Stop(context.Background())
	f.startAgain(name)
}

// startAgain starts an ended process.
func (f *fleet) startAgain(name string) {
	calls := f.reach[name].calls.Load()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	f.start(ctx, name)
	f.reach[name].calls.Add(calls)
}

func (f *fleet) stop() {
	for _, s := range f.vms {
		_ = s.Stop(context.Background())
	}
	time.Sleep(time.Second) // delivers messages of a paused VM
}

// change writes a newer document.
func (f *fleet) change() {
	f.gen++
	f.store.Put("doc", "main", encode(f.t, testDocument{Generation: f.gen}))
}

// watchersOf returns the VMs that read the store and the leader of a region without one.
func (f *fleet) watchersOf() (reading []string, leader string) {
	order := leaders(byRegion(f.view))
	for _, m := range order[:watchers] {
		reading = append(reading, m.Name)
	}
	return reading, order[watchers].Name
}

// wantEverywhere checks that all VMs except some get the newest document within the bound.
func (f *fleet) wantEverywhere(when string, but ...string) {
	f.t.Helper()
	time.Sleep(f.bound)
	synctest.Wait()
	for name, s := range f.vms {
		if contains(but, name) {
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
	tests := map[string]func(f *fleet) (but []string){
		"calm": func(*fleet) []string { return nil },
		"both watchers are refused by the store": func(f *fleet) []string {
			reading, _ := f.watchersOf()
			for _, vm := range reading {
				f.reach[vm].refused.Store(true)
			}
			return reading // they read the store
		},
		"both watchers and a leader find the store silent": func(f *fleet) []string {
			reading, leader := f.watchersOf()
			for _, vm := range append(reading, leader) {
				f.reach[vm].silent.Store(true)
			}
			return append(reading, leader)
		},
		"a watcher dies": func(f *fleet) []string {
			reading, _ := f.watchersOf()
			f.hub.Remove(reading[0])
			return nil
		},
		"a leader stands still": func(f *fleet) []string {
			_, leader := f.watchersOf()
			f.hub.Pause(leader)
			f.t.Cleanup(func() { f.hub.Resume(leader) })
			return []string{leader}
		},
		"VMs can't reach each other": func(f *fleet) []string {
			f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Cut: true})
			return nil
		},
		"messages are late and lost": func(f *fleet) []string {
			f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Drop: 0.03, Delay: 55 * time.Millisecond})
			return nil
		},
		"the store dropped its history": func(f *fleet) []string {
			f.store.Compact()
			return nil
		},
	}
	for name, prepare := range tests {
		for phase := range 4 { // of pending watches
			t.Run(fmt.Sprintf("%s/%d", name, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 10)
					time.Sleep(5*time.Second + time.Duration(phase)*250*time.Millisecond)
					but := prepare(f)
					f.change()
					f.wantEverywhere(name, but...)
				})
			})
		}
	}
}

// A tighter bound is held.
func TestTighterBoundsAreFollowed(t *testing.T) {
	const bound = 1200 * time.Millisecond
	for phase := range 8 { // of pending watches
		synctest.Test(t, func(t *testing.T) {
			f := newBoundFleet(t, 10, bound)
			time.Sleep(5*time.Second + time.Duration(phase)*100*time.Millisecond)
			reading, leader := f.watchersOf()
			silent := append(reading, leader)
			for _, vm := range silent {
				f.reach[vm].silent.Store(true)
			}
			f.change()
			f.wantEverywhere(fmt.Sprintf("watchers and a leader find the store silent, phase %d", phase), silent...)
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
			Timing{475 * time.Millisecond, 675 * time.Millisecond},
			Timing{1200 * time.Millisecond, 1400 * time.Millisecond},
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
		for _, r := range f.reach {
			r.silent.Store(true)
		}
		time.Sleep(8 * time.Second)
		for _, r := range f.reach {
			r.silent.Store(false)
		}
		f.change()
		f.wantEverywhere("after the outage")
	})
}

// A VM that the store refuses gets changes from peers.
func TestRefusedVMFollowsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10)
		reading, leader := f.watchersOf()
		f.reach[leader].refused.Store(true)
		f.reach[reading[0]].refused.Store(true)
		time.Sleep(5 * time.Second)
		f.change()
		f.wantEverywhere("some are refused", reading[0])
	})
}

// The calls of a quiet fleet do not grow with it.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	const minute = time.Minute
	most := int64(float64(watchers*3) * minute.Seconds() / 0.95)
	for _, size := range []int{10, 30, 87} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				time.Sleep(5 * time.Second) // all VMs have settled
				before := f.calls()
				time.Sleep(minute)
				calls := f.calls() - before
				if calls > most || calls < most/2 {
					t.Errorf("%d calls in a minute, want at most %d", calls, most)
				}
				before = f.calls()
				for range 10 {
					f.change()
					time.Sleep(time.Second)
				}
				perEvent := float64(f.calls()-before-most/6) / 10
				if perEvent > 2*watchers {
					t.Errorf("%.1f calls for a change, want at most %d", perEvent, 2*watchers)
				}
			})
		})
	}
}

// Every chain of sources ends at a reader within few hops, and no VM serves too many others.
func TestSourcesOfAllVMs(t *testing.T) {
	for _, size := range []int{1, 2, 3, 10, 87, 1400} {
		view := &membership.View{}
		for i := range size {
			view.Members = append(view.Members, membership.Member{
				Name: fmt.Sprintf("vm-%04d", i), Region: fmt.Sprintf("r%d", i%9), State: membership.Alive,
			})
		}
		first := make(map[string]string)
		told := make(map[string]int)
		reading := 0
		for _, m := range view.Members {
			own := *view
			own.Self = m.Name
			if p := sourcesOf(&own).vms; len(p) > 0 {
				first[m.Name] = p[0]
				told[p[0]]++
			} else {
				reading++
			}
		}
		if reading != min(watchers, size) {
			t.Errorf("%d VMs: %d read the store", size, reading)
		}
		for name := range first {
			steps := 0
			for at := name; first[at] != ""; at = first[at] {
				if steps++; steps > 4 {
					t.Fatalf("%d VMs: the way of %s does not end", size, name)
				}
			}
		}
		for name, n := range told {
			if n > fanOut+9 { // those of its region and the leaders of others
				t.Errorf("%d VMs: %s tells %d others", size, name, n)
			}
		}
	}
}

// A quiet VM's polls do not grow with the fleet.
func TestPollBytesDoNotGrowWithTheFleet(t *testing.T) {
	const minute = time.Minute
	for _, size := range []int{10, 30, 87} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size)
			before := f.hub.Stats()
			time.Sleep(minute)
			after := f.hub.Stats()
			perVM := float64(after.Bytes-before.Bytes) / float64(size) / minute.Seconds()
			t.Logf("%d VMs: %.0f bytes/s and %.1f messages/s a VM", size, perVM,
				float64(after.Messages-before.Messages)/float64(size)/minute.Seconds())
			if perVM > 500 {
				t.Errorf("%d VMs: %.0f bytes/s a VM", size, perVM)
			}
		})
	}
}

func (f *fleet) calls() int64 {
	var n int64
	for _, r := range f.reach {
		n += r.calls.Load()
	}
	return n
}
