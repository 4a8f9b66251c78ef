package confsync

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"masticturn/examples"
	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// Timing of the simulated membership, and the limit that the tests assert.
const (
	heartbeat   = 500 * time.Millisecond // interval at which daemons receive a new view
	removeAfter = 2 * time.Second        // time that a crashed daemon remains listed as a member

	// inForceMax limits the time from the acceptance of a document until it is in force on
	// all running daemons.
	inForceMax = 3 * time.Second
)

// fakeMembers is the fake membership.Source of one daemon.
type fakeMembers struct {
	mu    sync.Mutex
	view  *membership.View
	calls []func(*membership.View)
}

func (f *fakeMembers) View() *membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeMembers) Subscribe(call func(*membership.View)) (cancel func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	return func() {}
}

func (f *fakeMembers) set(v *membership.View) {
	f.mu.Lock()
	f.view = v
	calls := slices.Clone(f.calls)
	f.mu.Unlock()
	for _, call := range calls {
		call(v)
	}
}

// testDaemon is a daemon of the test fleet.
type testDaemon struct {
	*Service
	member    membership.Member
	members   *fakeMembers
	crashedAt time.Time // zero while it runs
	mu        sync.Mutex
	reverts   int
}

func (d *testDaemon) running() bool { return d.crashedAt.IsZero() }

// fleet is a set of daemons with an in-memory network and store. Its fake membership sends all
// daemons a view of the whole fleet at each heartbeat.
type fleet struct {
	t     *testing.T
	hub   *peertest.Hub
	store *platformtest.Store

	mu      sync.Mutex // guards daemons and their crashedAt
	daemons []*testDaemon

	stop context.CancelFunc
	next config.Millis

	blocks int // client blocks in the next documents, besides those of the example
}

// newFleet starts perRegion daemons in each of two regions. It must be called in a synctest bubble.
func newFleet(t *testing.T, perRegion int) *fleet {
	f := &fleet{t: t, hub: peertest.NewHub(1), store: platformtest.NewStore(), next: 1000}
	for i := range 2 * perRegion {
		f.start(fmt.Sprintf("vm-%02d", i), fmt.Sprintf("region-%d", i%2))
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go f.sendHeartbeats(ctx)
	t.Cleanup(f.close)
	return f
}

func (f *fleet) close() {
	f.stop()
	for _, d := range f.daemons {
		_ = d.Stop(context.Background())
	}
	time.Sleep(time.Minute) // lets messages and calls in progress end
}

func (f *fleet) start(name, region string) *testDaemon {
	d := &testDaemon{
		member:  membership.Member{Name: name, Region: region, Zone: region + "-a", Incarnation: uint64(time.Now().UnixNano())},
		members: &fakeMembers{},
	}
	d.members.view = &membership.View{Self: name, Members: []membership.Member{d.member}}
	d.Service = NewService(Deps{
		Self: d.member, Store: f.store, Network: f.hub.Network(name), Members: d.members, Clock: kernel.SystemClock{},
	})
	last := config.Generation(0)
	d.Subscribe(func(s *config.Snapshot) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if s.Generation <= last {
			d.reverts++
		}
		last = s.Generation
	})
	f.mu.Lock()
	f.daemons = slices.DeleteFunc(slices.Clone(f.daemons), func(o *testDaemon) bool { return o.member.Name == name })
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	if err := d.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	return d
}

// crash stops a daemon and removes it from the network without notice to the others.
func (f *fleet) crash(d *testDaemon) {
	f.hub.Remove(d.member.Name)
	_ = d.Stop(context.Background())
	f.mu.Lock()
	defer f.mu.Unlock()
	d.crashedAt = time.Now()
}

func (f *fleet) sendHeartbeats(ctx context.Context) {
	for tick := uint64(1); ctx.Err() == nil; tick++ {
		members := f.advertisedMembers()
		for _, d := range f.alive() {
			d.members.set(&membership.View{Version: tick, Self: d.member.Name, Members: members})
		}
		time.Sleep(heartbeat)
	}
}

// advertisedMembers returns the members as seen through heartbeats. Crashed daemons remain listed
// for removeAfter.
func (f *fleet) advertisedMembers() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []membership.Member
	for _, d := range f.daemons {
		m := d.member
		if s := d.Current(); s != nil {
			m.Generation, m.Hash = uint64(s.Generation), s.Hash
		}
		if !d.running() && time.Since(d.crashedAt) > removeAfter {
			continue
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b membership.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return members
}

func (f *fleet) alive() []*testDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.daemons), func(d *testDaemon) bool { return !d.running() })
}

// watchers returns the running daemons of a region that watch the store.
func (f *fleet) watchers(region string) []*testDaemon {
	var out []*testDaemon
	for _, d := range f.alive() {
		d.Service.mu.Lock()
		if d.member.Region == region && d.core.watch.isWatcher {
			out = append(out, d)
		}
		d.Service.mu.Unlock()
	}
	return out
}

// document returns a document that differs from all previous ones.
func (f *fleet) document() *config.Document {
	text, _ := examples.Document("estiba")
	doc, err := config.Parse(text)
	if err != nil {
		f.t.Fatal(err)
	}
	doc.Services = doc.Services[:1] // a small one decodes faster
	doc.ShiftCaps = slices.DeleteFunc(doc.ShiftCaps, func(c config.ShiftCap) bool { return c.Service != "" })
	f.next++
	doc.Lookup.MaxAgeMS = f.next
	random := rand.New(rand.NewPCG(1, 1))
	for range f.blocks {
		address := netip.AddrFrom16([16]byte(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, random.Uint64()), random.Uint64())))
		doc.ClientBlocks = append(doc.ClientBlocks, config.ClientBlock{CIDR: netip.PrefixFrom(address, 128).String(), Region: "rosario"})
	}
	return doc
}

// proposal returns a proposal of a new document, based on the generation in force on a daemon.
func (f *fleet) proposal(d *testDaemon) repository.Proposal {
	p := repository.Proposal{Document: f.document()}
	if s := d.Current(); s != nil {
		p.Base = s.Generation
	}
	return p
}

// apply applies a new document through a daemon.
func (f *fleet) apply(d *testDaemon) config.Generation {
	f.t.Helper()
	accepted, err := d.Apply(context.Background(), f.proposal(d))
	if err != nil {
		f.t.Fatalf("apply at %s: %v", d.member.Name, err)
	}
	return accepted.Record.Generation
}

// applyToStore applies a new document directly to the store, like a daemon that crashes immediately
// afterwards.
func (f *fleet) applyToStore(base config.Generation) config.Generation {
	f.t.Helper()
	repo := repository.New(f.store, kernel.SystemClock{})
	accepted, err := repo.Apply(context.Background(), repository.Proposal{Document: f.document(), Base: base})
	if err != nil {
		f.t.Fatal(err)
	}
	return accepted.Record.Generation
}

// waitInForce waits until the generation is in force on all running daemons, and fails if that
// takes longer than allowed.
func (f *fleet) waitInForce(gen config.Generation, within time.Duration) {
	f.t.Helper()
	deadline := time.Now().Add(within)
	for {
		behind := f.behind(gen)
		if len(behind) == 0 {
			break
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("after %v generation %d is not in force on %v", within, gen, behind)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, d := range f.daemons {
		d.mu.Lock()
		if d.reverts > 0 {
			f.t.Errorf("%s returned to a lower generation %d times", d.member.Name, d.reverts)
		}
		d.mu.Unlock()
	}
}

func (f *fleet) behind(gen config.Generation) []string {
	var names []string
	for _, d := range f.alive() {
		if s := d.Current(); s == nil || s.Generation != gen {
			names = append(names, d.member.Name)
		}
	}
	return names
}

// storeCalls returns the number of get and watch calls to the store so far.
func (f *fleet) storeCalls() int {
	return f.store.Calls(platform.OpGet) + f.store.Calls(platform.OpWatch)
}

// chunkReads returns the number of reads of client block chunks so far.
func (f *fleet) chunkReads() int {
	return f.store.Counts()[platformtest.CountKey{Op: platform.OpGet, Kind: platform.KindConfigChunk}]
}

func (f *fleet) isRunning(d *testDaemon) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d.running()
}
