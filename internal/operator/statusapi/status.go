// Package statusapi is the part of the operators' API about the state of one
// daemon: status and drain.
package statusapi

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/platform"
	"masticturn/internal/settings"
)

// StoreHealth is what the API needs of the platform's client.
type StoreHealth interface {
	Health() platform.Health
}

// Deps are what the API needs.
type Deps struct {
	VM       settings.VM
	Clock    kernel.Clock
	Config   config.Source
	Members  membership.Source
	Targets  measure.Source
	Store    StoreHealth // may be nil
	Ready    func() error
	InFlight func() int
	Draining func() bool
	Drain    func() // asks the program to drain this daemon
}

// API answers requests about this daemon. Who may ask is checked before.
type API struct {
	deps Deps
}

// New returns an API.
func New(deps Deps) *API { return &API{deps: deps} }

// Handler returns the handler of all paths of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+edge.PathOperatorStatus, a.serveStatus)
	mux.HandleFunc("POST "+edge.PathOperatorDrain, a.serveDrain)
	return mux
}

func (a *API) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.Status())
}

func (a *API) serveDrain(w http.ResponseWriter, _ *http.Request) {
	a.deps.Drain()
	writeJSON(w, http.StatusAccepted, edge.DrainResponse{VM: a.deps.VM.Name, Draining: true})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the operator left; nothing to tell
}

// Status returns what this daemon knows now.
func (a *API) Status() *edge.Status {
	s := &edge.Status{
		VM:       a.deps.VM.Name,
		Zone:     a.deps.VM.Zone,
		Region:   a.deps.VM.Region,
		Draining: a.deps.Draining(),
		InFlight: a.deps.InFlight(),
		At:       a.deps.Clock.Now(),
	}
	if err := a.deps.Ready(); err != nil {
		s.NotReady = err.Error()
	} else {
		s.Ready = true
	}
	for _, m := range a.deps.Members.View().Members {
		s.Members = append(s.Members, edge.StatusMember{
			Name: m.Name, Zone: m.Zone, Region: m.Region, State: m.State.String(),
			Generation: m.Generation, Incarnation: m.Incarnation,
		})
	}
	if a.deps.Store != nil {
		h := a.deps.Store.Health()
		s.Store = edge.StatusStore{LastSuccess: h.LastSuccess, LastFailure: h.LastFailure, LastError: h.LastError}
	}
	if snap := a.deps.Config.Current(); snap != nil {
		s.Generation = uint64(snap.Generation)
		addTargets(s, snap, a.deps.Targets.View(), s.At)
	}
	return s
}

// addTargets adds the loads of services and regions, who leaves or is down,
// and the ages.
func addTargets(s *edge.Status, snap *config.Snapshot, view *measure.View, now time.Time) {
	regions := make(map[string]*edge.StatusRegion)
	for _, svc := range snap.Services() {
		service := edge.StatusService{Service: svc.Name}
		for _, t := range svc.AllTargets {
			region, ok := regions[t.Region]
			if !ok {
				region = &edge.StatusRegion{Region: t.Region}
				regions[t.Region] = region
			}
			state := view.Target(t.Name)
			addTarget(s, region, &service, t, state)
			addAge(&s.Ages, state, now)
		}
		s.Services = append(s.Services, service)
	}
	for _, r := range regions {
		r.Headroom = 1 - float64(r.InFlight)/float64(max(r.Slots, 1))
		s.Regions = append(s.Regions, *r)
	}
	slices.SortFunc(s.Regions, func(a, b edge.StatusRegion) int { return cmp.Compare(a.Region, b.Region) })
}

func addTarget(s *edge.Status, region *edge.StatusRegion, service *edge.StatusService, t *config.TargetIndex, state measure.TargetState) {
	region.Targets++
	service.Targets++
	switch state.Health {
	case measure.Draining:
		s.Leaving = append(s.Leaving, t.Name)
		return
	case measure.Down:
		s.Down = append(s.Down, t.Name)
		return
	}
	inFlight := max(state.InFlight, 0)
	region.Slots += t.Slots
	region.InFlight += inFlight
	service.Slots += t.Slots
	service.InFlight += inFlight
	if state.Health != measure.Unmeasured {
		region.Healthy++
		service.Healthy++
	}
}

func addAge(ages *edge.StatusAges, state measure.TargetState, now time.Time) {
	if state.MeasuredAt.IsZero() {
		ages.Unmeasured++
		return
	}
	if age := state.Age(now).Milliseconds(); age > ages.OldestTargetMS {
		ages.OldestTargetMS = age
		ages.OldestTarget = state.Target
	}
}
