package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"masticturn/internal/edge"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// startService starts a service that is connected to the hub.
func startService(t *testing.T, hub *peertest.Hub, name string, modify func(*Config)) *Service {
	t.Helper()
	cfg := Config{
		Self:    Member{Name: name, Zone: "r-z", Region: "r", PeerAddress: peertest.Address(name)},
		Network: hub.Network(name),
	}
	if modify != nil {
		modify(&cfg)
	}
	s := NewService(cfg)
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return s
}

func withSeed(seed string) func(*Config) {
	return func(c *Config) { c.Seeds = []string{peertest.Address(seed)} }
}

func stopAll(services ...*Service) {
	for _, s := range services {
		_ = s.Stop(context.Background())
	}
	time.Sleep(time.Minute)
}

func TestServicesJoinThroughSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(1)
		var all []*Service
		for i := range 5 {
			all = append(all, startService(t, hub, fmt.Sprintf("vm%d", i), withSeed("vm0")))
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
			t.Errorf("after Stop the member is still in the view, or there were no notifications: %d", changes.Load())
		}
	})
}

func TestServiceStartsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, peertest.NewHub(1), "vm0", withSeed("vm0"))
		defer stopAll(s)
		if s.Ready() {
			t.Error("ready before any join attempt")
		}
		time.Sleep(defaultJoinTimeout + time.Second)
		if !s.Ready() {
			t.Error("not ready")
		}
	})
}

func TestServiceReportsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startService(t, peertest.NewHub(1), "vm0", nil)
		defer stopAll(s)
		time.Sleep(5 * time.Second)
		var paused time.Duration
		defer s.OnResume(func(d time.Duration) { paused = d })()
		s.mu.Lock() // simulates a pause
		s.machine.lastEvent = s.machine.lastEvent.Add(-4 * time.Second)
		s.lastEvent.Add(-int64(4 * time.Second))
		s.mu.Unlock()
		if s.Responsive() {
			t.Error("responsive before the first tick after the pause")
		}
		time.Sleep(time.Second)
		if !s.Responsive() || paused < 3*time.Second {
			t.Errorf("responsive %v, reported pause %v", s.Responsive(), paused)
		}
	})
}

// fakeStore is a store that only lists VM records.
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
	return append(out, platform.Object{Name: "other", Value: []byte("no record")}), 1, nil
}

func TestVMListOnlyProvidesCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := peertest.NewHub(1)
		store := &fakeStore{records: []edge.VMRecord{
			{Name: "vm0", PeerAddress: peertest.Address("vm0")},
			{Name: "dead", PeerAddress: peertest.Address("dead")},
			{Name: "vm1", PeerAddress: peertest.Address("vm1"), Leaving: true},
		}}
		listed := func(c *Config) { c.Store = store }
		a, b := startService(t, hub, "vm0", listed), startService(t, hub, "vm1", listed)
		defer stopAll(a, b)
		time.Sleep(time.Minute)
		// vm1's own record takes precedence over the list, which states that it is leaving.
		if v := a.View(); len(v.Members) != 2 || v.Count(Alive) != 2 {
			t.Errorf("view %+v", v)
		}
		if n := store.lists.Load(); n > 10 {
			t.Errorf("%d reads of the list", n)
		}
	})
}

// Invalid records in the list are skipped and logged once per version; valid records are still used.
func TestInvalidVMRecords(t *testing.T) {
	record := func(name, value string) platform.Object {
		return platform.Object{Kind: platform.KindVM, Name: name, Version: 1, Value: []byte(value)}
	}
	list := []platform.Object{
		record("good", `{"name":"good","peer_address":"10.0.0.1:7620"}`),
		record("leaving", `{"name":"leaving","peer_address":"10.0.0.2:7620","leaving":true}`),
		record("bytes", "\x00{"),
		record("null", "null"),
		record("list", "[]"),
		record("another", `{"name":"good","peer_address":"10.0.0.3:7620"}`),
		record("type", `{"name":"type","peer_address":7620}`),
		record("none", `{"name":"none"}`),
		record("port", `{"name":"port","peer_address":"10.0.0.4:0"}`),
		record("range", `{"name":"range","peer_address":"10.0.0.4:99999"}`),
		record("host", `{"name":"host","peer_address":":7620"}`),
		record("long", `{"name":"long","peer_address":"10.0.0.5:7620","x":"`+strings.Repeat("y", maxRecordBytes)+`"}`),
	}
	candidates, invalid := parseCandidates(list)
	if len(candidates) != 1 || candidates[0] != (Candidate{Name: "good", Address: "10.0.0.1:7620"}) {
		t.Errorf("candidates %+v", candidates)
	}
	if want := len(list) - 2; len(invalid) != want {
		t.Errorf("%d invalid records, want %d: %+v", len(invalid), want, invalid)
	}
	var log bytes.Buffer
	s := NewService(Config{
		Self: Member{Name: "vm0"}, Network: peertest.NewHub(1).Network("vm0"),
		Logger: telemetry.NewLogger(&log, telemetry.FormatJSON, logrus.InfoLevel, "vm0"),
	})
	s.logInvalidRecords(invalid)
	s.logInvalidRecords(invalid)
	if n := s.invalidRecords.Get(); int(n) != len(invalid) || strings.Count(log.String(), "\n") != len(invalid) {
		t.Errorf("%d counted, log:\n%s", n, log.String())
	}
	changed := invalid[:1]
	changed[0].version++
	s.logInvalidRecords(changed)
	if n := s.invalidRecords.Get(); int(n) != len(list)-1 {
		t.Errorf("%d counted after one record changed", n)
	}
}

func TestCandidatesAreBounded(t *testing.T) {
	var list []platform.Object
	for i := range 2 * maxCandidates {
		name := fmt.Sprint("vm-", i)
		list = append(list, platform.Object{Name: name, Value: fmt.Appendf(nil, `{"name":%q,"peer_address":"10.0.0.1:7620"}`, name)})
	}
	if got, _ := parseCandidates(list); len(got) != maxCandidates {
		t.Errorf("%d candidates", len(got))
	}
}
