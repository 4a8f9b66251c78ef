package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
)

// daemon starts a service on the hub.
func daemon(t *testing.T, hub *peertest.Hub, name string, change func(*Config)) *Service {
	t.Helper()
	cfg := Config{
		Self:    Member{Name: name, Zone: "r-z", Region: "r", PeerAddress: peertest.Address(name)},
		Network: hub.Network(name),
	}
	if change != nil {
		change(&cfg)
	}
	s := NewService(cfg)
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return s
}

func seeded(seed string) func(*Config) {
	return func(c *Config) { c.Seeds = []string{peertest.Address(seed)} }
}

func stopAll(services ...*Service) {
	for _, s := range services {
		_ = s.Stop(context.Background())
	}
	time.Sleep(time.Minute)
}

func TestServicesFindEachOtherBySeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(1)
		var all []*Service
		for i := range 5 {
			all = append(all, daemon(t, hub, fmt.Sprintf("vm%d", i), seeded("vm0")))
		}
		defer stopAll(all...)
		var changes atomic.Int64
		cancel := all[1].Subscribe(func(*View) { changes.Add(1) })
		defer cancel()
		time.Sleep(5 * time.Second)
		for _, s := range all {
			if !s.Ready() || s.View().Count(Alive) != 5 {
				t.Errorf("ready %v, view %+v", s.Ready(), s.View())
			}
		}
		all[0].SetGeneration(3, 33)
		time.Sleep(time.Second)
		if m, _ := all[4].View().Member("vm0"); m.Generation != 3 || m.Hash != 33 {
			t.Errorf("generation %d, hash %d", m.Generation, m.Hash)
		}
		if err := all[0].Leave(context.Background()); err != nil {
			t.Error(err)
		}
		if m, _ := all[4].View().Member("vm0"); m.State != Leaving {
			t.Errorf("after Leave: %v", m.State)
		}
		_ = all[0].Stop(context.Background())
		time.Sleep(100 * time.Millisecond)
		if _, ok := all[4].View().Member("vm0"); ok || changes.Load() == 0 {
			t.Errorf("after Stop it is still there; %d changes were told", changes.Load())
		}
	})
}

func TestServiceStartsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := daemon(t, peertest.NewHub(1), "vm0", seeded("vm0"))
		defer stopAll(s)
		if s.Ready() {
			t.Error("ready before anything was tried")
		}
		time.Sleep(defaultJoinPatience + time.Second)
		if !s.Ready() {
			t.Error("not ready")
		}
	})
}

func TestServiceReportsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := daemon(t, peertest.NewHub(1), "vm0", nil)
		defer stopAll(s)
		time.Sleep(5 * time.Second)
		var away time.Duration
		defer s.OnAwake(func(d time.Duration) { away = d })()
		s.mu.Lock() // the last event is long ago, as after a pause
		s.machine.last = s.machine.last.Add(-4 * time.Second)
		s.beat.Add(-int64(4 * time.Second))
		s.mu.Unlock()
		if s.Fresh() {
			t.Error("fresh before the first tick after the pause")
		}
		time.Sleep(time.Second)
		if !s.Fresh() || away < 3*time.Second {
			t.Errorf("fresh %v, told of %v", s.Fresh(), away)
		}
	})
}

// fakeStore lists VMs.
type fakeStore struct {
	platform.Store
	records []edge.VMRecord
	lists   atomic.Int64
}

func (f *fakeStore) List(context.Context, platform.Kind) ([]platform.Object, platform.Version, error) {
	f.lists.Add(1)
	var out []platform.Object
	for _, r := range f.records {
		raw, _ := json.Marshal(r)
		out = append(out, platform.Object{Kind: platform.KindVM, Name: r.Name, Value: raw})
	}
	return append(out, platform.Object{Value: []byte("no record")}), 1, nil
}

func TestListOfVMsIsAHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(1)
		store := &fakeStore{records: []edge.VMRecord{
			{Name: "vm0", PeerAddress: peertest.Address("vm0")},
			{Name: "dead", PeerAddress: peertest.Address("dead")},
			{Name: "vm1", PeerAddress: peertest.Address("vm1"), Leaving: true},
		}}
		listed := func(c *Config) { c.Store = store }
		a, b := daemon(t, hub, "vm0", listed), daemon(t, hub, "vm1", listed)
		defer stopAll(a, b)
		time.Sleep(time.Minute)
		// vm1 is alive by its own word, whatever the list says; dead is not in.
		if v := a.View(); len(v.Members) != 2 || v.Count(Alive) != 2 {
			t.Errorf("view %+v", v)
		}
		if n := store.lists.Load(); n > 10 {
			t.Errorf("%d reads of the list", n)
		}
	})
}
