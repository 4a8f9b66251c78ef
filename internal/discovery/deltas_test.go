package discovery

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/kernel"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

func largeObject(version platform.Version, size int) platform.Object {
	return platform.Object{Name: "main", Version: version, Value: bytes.Repeat([]byte{byte(version)}, size)}
}

func TestMirrorKeepsEarlierVersionsOfLargeObjects(t *testing.T) {
	m := NewMirror(platform.MaxValueBytes)
	put := func(version platform.Version, size int) {
		m.Apply([]platform.Event{{Object: largeObject(version, size)}}, version)
	}
	for _, version := range []platform.Version{10, 20, 30, 40, 50, 60} {
		put(version, minDeltaBytes)
	}
	for asOf, want := range map[platform.Version]platform.Version{9: 0, 19: 0, 20: 20, 29: 20, 49: 40, 59: 50, 60: 50} {
		o, known := m.earlier.asOf("main", asOf)
		if known != (want != 0) || o.Version != want {
			t.Errorf("as of %v: version %v, want %v", asOf, o.Version, want)
		}
	}
	put(70, 10)
	put(80, minDeltaBytes)
	if o, known := m.earlier.asOf("main", 75); known {
		t.Errorf("as of a small version: version %v, want none", o.Version)
	}
	put(90, minDeltaBytes)
	m.Apply([]platform.Event{deletion("main", 100)}, 100)
	if _, known := m.earlier.asOf("main", 95); known {
		t.Error("versions of a deleted object are kept")
	}
}

// A VM whose document is not the base of a delta must get the whole document, and not a wrong one.
func TestDeltaOfAnotherBaseIsReplacedByTheWholeObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBoundFleet(t, 12, 4*time.Second)
		large := &slowLinkFleet{fleet: f, rng: rand.New(rand.NewPCG(1, 1))}
		large.routes = routes(large.rng, 100)
		large.write()
		f.wantDocumentEverywhere("a large document")
		for _, s := range f.vms {
			s.mu.Lock()
			m := s.mirrors["doc"]
			o := m.objects["main"]
			o.Value = append(bytes.Clone(o.Value), ' ')
			m.objects["main"] = o
			s.mu.Unlock()
			break // one VM has another text of the same version
		}
		large.changeWeight()
		f.wantDocumentEverywhere("after the change")
		want, _ := f.vms["vm-000"].mirrors["doc"].Get("main")
		for name, s := range f.vms {
			if got, _ := s.mirrors["doc"].Get("main"); !bytes.Equal(got.Value, want.Value) {
				t.Errorf("%s has another document than vm-000", name)
			}
		}
	})
}

// Mirrors agree with the store after a series of changes of large documents under loss, delay and partitions.
func TestLargeDocumentsAgreeUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			f := newBoundFleet(t, 24, 4*time.Second)
			large := &slowLinkFleet{fleet: f, rng: rand.New(rand.NewPCG(seed, 1))}
			large.routes = routes(large.rng, 200)
			for name := range f.vms {
				f.hub.SetLinkRate(name, 1_250_000)
			}
			for step := range 30 {
				switch large.rng.IntN(4) {
				case 0:
					f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Drop: 0.1, Delay: 55 * time.Millisecond})
				case 1:
					f.hub.Heal()
				case 2:
					large.routes = append(large.routes[large.rng.IntN(20):], routes(large.rng, large.rng.IntN(100))...)
				}
				if step%10 == 9 {
					f.restart(f.view.Members[large.rng.IntN(24)].Name)
				}
				large.changeWeight()
				time.Sleep(time.Duration(large.rng.IntN(700)) * time.Millisecond)
			}
			f.hub.Heal()
			large.changeWeight()
			f.wantDocumentEverywhere("in the end")
			want, _, err := f.store.List(t.Context(), "doc")
			if err != nil {
				t.Fatal(err)
			}
			for name, s := range f.vms {
				if got, _ := s.mirrors["doc"].Get("main"); !bytes.Equal(got.Value, want[0].Value) {
					t.Errorf("seed %d: %s has another document than the store", seed, name)
				}
			}
		})
	}
}

// The platform's store gives objects a status, also those of which nobody reports one.
func TestDeltasOfObjectsWithAStatus(t *testing.T) {
	from, to := newDeltaFixture(), newDeltaFixture()
	first, second := largeObject(10, minDeltaBytes), largeObject(20, minDeltaBytes)
	first.Status, second.Status = []byte(`{}`), []byte(`{"seen":true}`)
	second.Value = append(bytes.Clone(first.Value), "more"...)
	from.put(first)
	to.put(first)
	from.put(second)
	deltas, others := from.service.deltasSince("doc", 15, []platform.Object{second})
	if len(deltas) != 1 || len(others) != 0 {
		t.Fatalf("%d deltas and %d whole objects, want 1 and 0", len(deltas), len(others))
	}
	objects, err := to.service.applyDeltas("doc", deltas)
	if err != nil {
		t.Fatal(err)
	}
	if got := objects[0]; !bytes.Equal(got.Value, second.Value) || !bytes.Equal(got.Status, second.Status) || got.Version != second.Version {
		t.Errorf("got %+v, want %+v", got, second)
	}
}

// deltaFixture is a service without a fleet.
type deltaFixture struct{ service *Service }

func newDeltaFixture() *deltaFixture {
	return &deltaFixture{NewService(Deps{
		Decoder: jsonDecoder{}, Network: peertest.NewHub(1).Network("a"), Clock: kernel.SystemClock{}, Logger: telemetry.Discard(),
	})}
}

func (f *deltaFixture) put(o platform.Object) {
	f.service.mirrors["doc"].Apply([]platform.Event{{Object: o}}, o.Version)
}
