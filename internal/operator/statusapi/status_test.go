package statusapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/settings"
)

type fixed struct {
	snap    *config.Snapshot
	members *membership.View
	targets *measure.View
	now     time.Time
}

func (f *fixed) Current() *config.Snapshot { return f.snap }
func (f *fixed) Now() time.Time            { return f.now }

type fixedMembers struct{ view *membership.View }

func (f fixedMembers) View() *membership.View                  { return f.view }
func (f fixedMembers) Subscribe(func(*membership.View)) func() { return func() {} }

type fixedTargets struct{ view *measure.View }

func (f fixedTargets) View() *measure.View                  { return f.view }
func (f fixedTargets) Subscribe(func(*measure.View)) func() { return func() {} }
func (f fixedTargets) Observe(measure.Observation)          {}

func (f *fixed) Subscribe(func(*config.Snapshot)) func() { return func() {} }

func newTestAPI(t *testing.T, ready error) (*API, *bool) {
	t.Helper()
	now := time.Unix(1000, 0)
	snap, err := config.NewSnapshot(3, &config.Document{
		Regions: []config.Region{{Name: "r", Zones: []string{"r-a"}}},
		Services: []config.Service{{Name: "s", Targets: []config.Target{
			{Name: "t1", Zone: "r-a", Slots: 4},
			{Name: "t2", Zone: "r-a", Slots: 4},
			{Name: "t3", Zone: "r-a", Slots: 4},
			{Name: "t4", Zone: "r-a", Slots: 4},
		}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	f := &fixed{snap: snap, now: now}
	f.members = &membership.View{Members: []membership.Member{{Name: "vm-1", State: membership.Leaving, Generation: 3}}}
	f.targets = &measure.View{Targets: map[string]measure.TargetState{
		"t1": {Target: "t1", Health: measure.Healthy, InFlight: 2, MeasuredAt: now.Add(-time.Second)},
		"t2": {Target: "t2", Health: measure.Draining, InFlight: 1, MeasuredAt: now},
		"t3": {Target: "t3", Health: measure.Down, InFlight: -1, MeasuredAt: now},
	}}
	drained := false
	return New(Deps{
		VM: settings.VM{Name: "vm-1"}, Clock: f, Config: f,
		Members: fixedMembers{f.members}, Targets: fixedTargets{f.targets},
		Ready: func() error { return ready }, InFlight: func() int { return 7 },
		Draining: func() bool { return drained }, Drain: func() { drained = true },
	}), &drained
}

func TestStatus(t *testing.T) {
	api, _ := newTestAPI(t, errors.New("no document"))
	rec := httptest.NewRecorder()
	api.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, edge.PathOperatorStatus, nil))
	var s edge.Status
	if err := json.Unmarshal(rec.Body.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	if s.Ready || s.NotReady != "no document" || s.Generation != 3 || s.InFlight != 7 {
		t.Errorf("got %+v", s)
	}
	if len(s.Members) != 1 || s.Members[0].State != "leaving" {
		t.Errorf("members %+v", s.Members)
	}
	// t2 leaves and t3 is down: 8 slots are left, 2 of them in use.
	if r := s.Regions[0]; r.Slots != 8 || r.InFlight != 2 || r.Headroom != 0.75 || r.Targets != 4 || r.Healthy != 1 {
		t.Errorf("region %+v", r)
	}
	if s.Ages.OldestTarget != "t1" || s.Ages.OldestTargetMS != 1000 || s.Ages.Unmeasured != 1 {
		t.Errorf("ages %+v", s.Ages)
	}
	if len(s.Leaving) != 1 || len(s.Down) != 1 {
		t.Errorf("leaving %v, down %v", s.Leaving, s.Down)
	}
}

func TestDrain(t *testing.T) {
	api, drained := newTestAPI(t, nil)
	rec := httptest.NewRecorder()
	api.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, edge.PathOperatorDrain, nil))
	if rec.Code != http.StatusAccepted || !*drained {
		t.Errorf("got %d, drained %v", rec.Code, *drained)
	}
}
