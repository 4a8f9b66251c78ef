package admission

import (
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// fakeConfig hands out one snapshot that tests may replace.
type fakeConfig struct {
	mu sync.Mutex
	s  *config.Snapshot
}

func (f *fakeConfig) Current() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.s
}

func (f *fakeConfig) set(s *config.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.s = s
}

func (f *fakeConfig) Subscribe(func(*config.Snapshot)) func() { return func() {} }

// fakeMembers hands out a view that tests may replace.
type fakeMembers struct {
	mu   sync.Mutex
	view *membership.View
}

func (f *fakeMembers) View() *membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeMembers) set(v *membership.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
}

func (f *fakeMembers) Subscribe(func(*membership.View)) func() { return func() {} }

// fakeTargets believes that all targets are healthy, but for those it is told
// otherwise about.
type fakeTargets struct {
	mu   sync.Mutex
	view *measure.View
	seen []measure.Observation
}

func (f *fakeTargets) View() *measure.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeTargets) set(states ...measure.TargetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &measure.View{Version: f.view.Version + 1, Targets: make(map[string]measure.TargetState)}
	for name, s := range f.view.Targets {
		next.Targets[name] = s
	}
	for _, s := range states {
		next.Targets[s.Target] = s
	}
	f.view = next
}

func (f *fakeTargets) Subscribe(func(*measure.View)) func() { return func() {} }

func (f *fakeTargets) Observe(o measure.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, o)
	s, ok := f.view.Targets[o.Target]
	if !ok || o.InFlight < 0 {
		return
	}
	s.InFlight, s.MeasuredAt = o.InFlight, time.Now()
	next := &measure.View{Version: f.view.Version + 1, Targets: maps.Clone(f.view.Targets)}
	next.Targets[o.Target] = s
	f.view = next
}

// testDocument has two regions of one zone each, two classes, one service with
// n targets of 2 slots in each region.
func testDocument(policy string, n int) *config.Document {
	doc := &config.Document{
		Deployment: "test",
		Fleet:      config.Fleet{MaxVMs: 6, MaxVMsPerRegion: 3},
		Regions:    []config.Region{{Name: "east", Zones: []string{"east-1"}}, {Name: "west", Zones: []string{"west-1"}}},
		Links: []config.Link{
			{From: "east", To: "west", OneWayMS: 5, RequestsPerSecond: 1000, BytesPerSecond: 1 << 30},
			{From: "west", To: "east", OneWayMS: 5, RequestsPerSecond: 1000, BytesPerSecond: 1 << 30},
		},
		Classes: []config.Class{
			{Name: "read", Priority: 0, Weight: 8, MaxWaitMS: 500, TimeoutMS: 2000},
			{Name: "archive", Priority: 1, Weight: 1, MaxWaitMS: 1000, TimeoutMS: 5000},
		},
		ShiftCaps: []config.ShiftCap{
			{From: "east", To: "west", MaxFraction: 0.5, MaxStepFraction: 0.5, WindowMS: 1000},
			{From: "west", To: "east", MaxFraction: 0.5, MaxStepFraction: 0.5, WindowMS: 1000},
		},
		Steering: config.Steering{Policy: policy, HeadroomKeep: 0.2, StaleMS: 1000, ProbeMS: 100, ColdMS: 1000},
	}
	svc := config.Service{Name: "plan", PathPrefix: "/plan/", ServiceMS: 20}
	for _, region := range []string{"east", "west"} {
		for i := range n {
			svc.Targets = append(svc.Targets, config.Target{
				Name: region + "-t" + string(rune('a'+i)), Zone: region + "-1", Slots: 2, Connections: 100,
			})
		}
	}
	doc.Services = []config.Service{svc}
	return doc
}

func mustSnapshot(gen config.Generation, doc *config.Document) *config.Snapshot {
	s, err := config.NewSnapshot(gen, doc)
	if err != nil {
		panic(err)
	}
	return s
}

// testDeps returns dependencies for one VM of region east with fakes.
func testDeps(doc *config.Document) Deps {
	return Deps{
		Config:  &fakeConfig{s: mustSnapshot(1, doc)},
		Members: &fakeMembers{view: &membership.View{Self: "east-vm1"}},
		Targets: &fakeTargets{view: &measure.View{Version: 1, Targets: map[string]measure.TargetState{}}},
		VM:      settings.VM{Name: "east-vm1", Zone: "east-1", Region: "east"},
		Clock:   kernel.SystemClock{},
		Logger:  telemetry.Discard(),
		Metrics: metrics.NewSet(),
	}
}

func testRequest(d Deps, class string, timeout time.Duration) *Request {
	s := d.Config.Current()
	return &Request{
		Service: s.Service("plan"), Class: s.Class(class),
		CallerRegion: "east", Deadline: time.Now().Add(timeout),
	}
}
