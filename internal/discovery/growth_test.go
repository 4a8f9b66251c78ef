package discovery

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/platform"
)

// listedFixture returns a catalog with the given number of targets of each of the services, and its view.
func listedFixture(t testing.TB, targets int, services ...string) (*catalog, *Mirror, *View) {
	c := newCatalog(jsonDecoder{}, map[string]string{"z1": "r1"})
	c.document, c.gen = &config.Document{}, 1
	for _, name := range services {
		c.document.Services = append(c.document.Services, config.Service{Name: name})
	}
	m := NewMirror(maxEntryBytes)
	var list []platform.Object
	for _, service := range services {
		for i := range targets {
			list = append(list, targetObject(service, i, platform.Version(len(list)+1), false))
		}
	}
	m.Replace(list, platform.Version(len(list)))
	now := time.Unix(1000, 0)
	c.setTargets(m, now)
	for _, kind := range []platform.Kind{"doc", "zones", "targets"} {
		c.listed[kind] = true
	}
	return c, m, c.view(noShares, nil, now)
}

func targetObject(service string, i int, version platform.Version, leaving bool) platform.Object {
	name := fmt.Sprintf("%s-%05d", service, i)
	return platform.Object{Name: name, Version: version, Value: fmt.Appendf(nil,
		`{"Service":%q,"Zone":"z1","Slots":4,"Address":"10.0.0.1:80","Leaving":%t}`, service, leaving)}
}

// A change of one target leaves the indexes of the other services as they are, so that nothing that is derived
// from them is derived again.
func TestUnchangedServicesAreShared(t *testing.T) {
	c, m, before := listedFixture(t, 20, "a", "b")
	m.Apply([]platform.Event{{Object: targetObject("a", 3, 100, true)}}, 100)
	c.setTargets(m, time.Unix(1001, 0))
	after := c.view(noShares, before, time.Unix(1001, 0))
	if !after.Snapshot.Service("b").SharesTargets(before.Snapshot.Service("b")) {
		t.Error("the targets of a service without changes are not shared")
	}
	if after.Snapshot.Service("a").SharesTargets(before.Snapshot.Service("a")) {
		t.Error("the targets of a service with a change are shared")
	}
	if target := after.Snapshot.Target("a-00003"); target == nil || !target.Leaving {
		t.Errorf("the changed target is %+v", target)
	}
	if target := before.Snapshot.Target("a-00003"); target == nil || target.Leaving {
		t.Error("the earlier view has changed")
	}
}

// A view that follows others must equal one that is built from the same entries alone.
func TestViewsAfterChangesAreComplete(t *testing.T) {
	const targets = 40
	now := time.Unix(1000, 0)
	c, m, v := listedFixture(t, targets, "a", "b", "c")
	version := platform.Version(1000)
	for step := range 200 {
		version++
		service, i := string(rune('a'+step%4)), step*7%targets // "d" is no service of the document
		switch step % 5 {
		case 0:
			m.Apply([]platform.Event{deletion(fmt.Sprintf("%s-%05d", service, i), version)}, version)
		case 1:
			m.Apply([]platform.Event{{Object: platform.Object{Name: fmt.Sprintf("%s-%05d", service, i), Version: version, Value: []byte("{")}}}, version)
		default:
			m.Apply([]platform.Event{{Object: targetObject(service, i, version, step%3 == 0)}}, version)
		}
		c.setTargets(m, now)
		v = c.view(noShares, v, now)
		alone := c.view(noShares, nil, now)
		for _, svc := range alone.Snapshot.Services() {
			if got, want := targetStates(v.Snapshot.Service(svc.Name)), targetStates(svc); !slices.Equal(got, want) {
				t.Fatalf("step %d: service %s has the targets %v, want %v", step, svc.Name, got, want)
			}
		}
	}
}

func targetStates(svc *config.ServiceIndex) (out []string) {
	for _, t := range svc.AllTargets {
		out = append(out, fmt.Sprintf("%s %t", t.Name, t.Leaving))
	}
	return out
}

// The work for a poll, and for a change of one target, must not grow with the number of targets of other
// services.
func TestWorkForAChangeDoesNotGrowWithTheTargets(t *testing.T) {
	allocations := func(targets int) (poll, change float64) {
		c, m, v := listedFixture(t, targets, "large")
		c.document.Services = append(c.document.Services, config.Service{Name: "small"})
		now, version := time.Unix(1000, 0), platform.Version(100_000)
		poll = testing.AllocsPerRun(20, func() { _, _, _ = m.ChangesSince(version - 1) })
		change = testing.AllocsPerRun(20, func() {
			version++
			m.Apply([]platform.Event{{Object: targetObject("small", 1, version, version%2 == 0)}}, version)
			c.setTargets(m, now)
			v = c.view(noShares, v, now)
		})
		return poll, change
	}
	poll, change := allocations(100)
	largePoll, largeChange := allocations(4000)
	if largePoll > poll || largeChange > 1.2*change {
		t.Errorf("a poll takes %.0f allocations with 4,000 targets, %.0f with 100; a change of one target %.0f and %.0f",
			largePoll, poll, largeChange, change)
	}
}

// The list must stay sorted and complete under any order of additions, replacements and removals.
func TestServiceTargetsStaySorted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s, present := &serviceTargets{}, map[string]*catalogEntry{}
	for step := range 5000 {
		id := fmt.Sprintf("t-%02d", random.IntN(60))
		e := &catalogEntry{Target: Target{Instance: id}, name: id}
		old := present[id]
		switch {
		case old == nil:
			s.add(e)
			present[id] = e
		case random.IntN(2) == 0:
			s.replace(e)
			present[id] = e
		default:
			s.remove(old)
			delete(present, id)
		}
		if step%7 != 0 {
			continue
		}
		s.list(1)
		var want []*catalogEntry
		for _, id := range slices.Sorted(maps.Keys(present)) {
			want = append(want, present[id])
		}
		if !slices.Equal(s.sorted, want) {
			t.Fatalf("step %d: the list is not that of the present targets in order", step)
		}
	}
}

// BenchmarkFirstList measures what a VM does with its first list of targets.
func BenchmarkFirstList(b *testing.B) {
	for _, targets := range []int{1000, 2500, 5000} {
		b.Run(fmt.Sprintf("targets=%d", 4*targets), func(b *testing.B) {
			for b.Loop() {
				listedFixture(b, targets, "a", "b", "c", "d")
			}
		})
	}
}

// BenchmarkChange measures what a VM does with the change of one target.
func BenchmarkChange(b *testing.B) {
	for _, targets := range []int{1000, 2500, 5000} {
		b.Run(fmt.Sprintf("targets=%d", 4*targets), func(b *testing.B) {
			c, m, v := listedFixture(b, targets, "a", "b", "c", "d")
			version := platform.Version(1_000_000)
			for b.Loop() {
				version++
				m.Apply([]platform.Event{{Object: targetObject("a", 1, version, version%2 == 0)}}, version)
				c.setTargets(m, time.Unix(1000, 0))
				v = c.view(noShares, v, time.Unix(1000, 0))
			}
		})
	}
}

// While many targets register, a view is published at an interval that follows the number of targets. A target that
// leaves is still known at once.
func TestAddedTargetsArePublishedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const added = 3000
		f := newFleet(t, 10)
		s := f.vms["vm-005"]
		var published atomic.Int64
		cancel := s.SubscribeView(func(*View) { published.Add(1) })
		defer cancel()
		began := time.Now()
		for i := range added {
			name := fmt.Sprintf("t-%04d", i)
			f.store.Put("targets", name, encode(t, Target{Instance: name, Service: "svc", Zone: "z1", Slots: 1, Address: "10.0.0.1:80"}))
			time.Sleep(3 * time.Millisecond)
		}
		// An interval of up to 0.3 s at 3,000 targets, and one of 0.2 s at least by the reads of the store.
		if most := int64(time.Since(began)/(200*time.Millisecond)) - 2; published.Load() > most {
			t.Errorf("%d views in %v, want at most %d", published.Load(), time.Since(began), most)
		}
		time.Sleep(maxPublishDelay + f.bound)
		f.wantTargets("after the last one was added", added)
		f.store.Put("targets", "t-0000", encode(t, Target{Instance: "t-0000", Service: "svc", Zone: "z1", Slots: 1, Address: "10.0.0.1:80", Leaving: true}))
		f.store.Put("targets", "new", encode(t, Target{Instance: "new", Service: "svc", Zone: "z1", Slots: 1, Address: "10.0.0.2:80"}))
		time.Sleep(f.bound)
		for name, vm := range f.vms {
			if target := vm.View().Snapshot.Target("t-0000"); target == nil || !target.Leaving {
				t.Errorf("%s does not know that a target is leaving", name)
			}
		}
		if n := f.hub.Stats().Bytes; n > added*len(f.vms)*150 {
			t.Errorf("%d bytes between VMs, want at most 150 for each target and VM", n)
		}
	})
}

// BenchmarkAddedTargets measures what a VM does with 300 added targets, as while all targets register.
func BenchmarkAddedTargets(b *testing.B) {
	const added = 300
	for _, targets := range []int{1000, 2500, 5000} {
		b.Run(fmt.Sprintf("targets=%d", 4*targets), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				c, m, v := listedFixture(b, targets, "a", "b", "c", "d")
				version := platform.Version(1_000_000)
				var events []platform.Event
				for i := range added {
					o := targetObject(string(rune('a'+i%4)), i*targets/added, version, false)
					o.Name += "x"
					events = append(events, platform.Event{Object: o})
				}
				m.Apply(events, version)
				b.StartTimer()
				c.setTargets(m, time.Unix(1000, 0))
				c.view(noShares, v, time.Unix(1000, 0))
			}
		})
	}
}
