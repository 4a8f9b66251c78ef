package discovery

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/platform"
)

// jsonDecoder decodes documents and targets from JSON.
type jsonDecoder struct{}

type testDocument struct {
	Generation config.Generation
	ColdMS     config.Millis
}

func (jsonDecoder) Kinds() Kinds {
	return Kinds{Document: "doc", DocumentName: "main", Evacuations: "zones", Targets: "targets"}
}

func (jsonDecoder) Document(o platform.Object) (*DecodedDocument, error) {
	var d testDocument
	text, _, _ := bytes.Cut(o.Value, []byte("\n")) // more lines only make it larger
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, err
	}
	doc := &config.Document{Services: []config.Service{{Name: "svc", ColdMS: d.ColdMS}}}
	return &DecodedDocument{Generation: d.Generation, Document: doc}, nil
}

func (jsonDecoder) Target(o platform.Object) (Target, error) {
	if o.Omitted > 0 {
		return Target{}, ErrContentTooLarge
	}
	t := Target{Instance: o.Name}
	err := json.Unmarshal(o.Value, &t)
	return t, err
}

func noShares() (config.Fleet, config.Retry) { return config.Fleet{}, config.Retry{} }

func encode(t *testing.T, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// catalogFixture is a catalog with its mirrors and a fake clock.
type catalogFixture struct {
	t       *testing.T
	catalog *catalog
	docs    *Mirror
	zones   *Mirror
	targets *Mirror
	version platform.Version
	now     time.Time
}

const testCold = 3 * time.Second

func newCatalogFixture(t *testing.T, targets ...string) *catalogFixture {
	f := &catalogFixture{
		t: t, catalog: newCatalog(jsonDecoder{}, map[string]string{"z1": "r1", "z2": "r2"}),
		docs: NewMirror(platform.MaxValueBytes), zones: NewMirror(maxEntryBytes), targets: NewMirror(maxEntryBytes), now: time.Unix(1000, 0),
	}
	f.document(1)
	var list []platform.Object
	for _, name := range targets {
		list = append(list, f.entry(name, Target{}))
	}
	f.targets.Replace(list, f.version)
	f.catalog.setTargets(f.targets, f.now)
	for _, kind := range []platform.Kind{"doc", "zones", "targets"} {
		f.catalog.listed[kind] = true
	}
	return f
}

func (f *catalogFixture) document(gen config.Generation) bool {
	f.version++
	value := encode(f.t, testDocument{Generation: gen, ColdMS: config.Millis(testCold.Milliseconds())})
	f.docs.Apply([]platform.Event{{Object: platform.Object{Name: "main", Version: f.version, Value: value}}}, f.version)
	adopted, err := f.catalog.setDocument(f.docs)
	if err != nil {
		f.t.Fatal(err)
	}
	return adopted
}

func (f *catalogFixture) entry(name string, target Target) platform.Object {
	f.version++
	target.Instance, target.Service = name, "svc"
	if target.Zone == "" {
		target.Zone = "z1"
	}
	if target.Slots == 0 {
		target.Slots = 1
	}
	target.Address = "10.0.0.1:80"
	return platform.Object{Name: name, Version: f.version, Value: encode(f.t, target)}
}

func (f *catalogFixture) report(name string, target Target) {
	f.targets.Apply([]platform.Event{{Object: f.entry(name, target)}}, f.version)
	f.catalog.setTargets(f.targets, f.now)
}

func (f *catalogFixture) remove(names ...string) {
	f.version++
	var events []platform.Event
	for _, name := range names {
		events = append(events, deletion(name, f.version))
	}
	f.targets.Apply(events, f.version)
	f.catalog.setTargets(f.targets, f.now)
}

func (f *catalogFixture) evacuate(zones ...string) {
	f.version++
	var list []platform.Object
	for _, z := range zones {
		list = append(list, object(z, f.version))
	}
	f.zones.Replace(list, f.version)
	f.catalog.setZones(f.zones, f.now)
}

// view returns a view that follows no other one.
func (f *catalogFixture) view() *View { return f.catalog.view(noShares, nil, f.now) }

func (f *catalogFixture) cold(name string) bool {
	return f.now.Before(f.catalog.targets[name].coldUntil)
}

func TestDocumentNeverReverts(t *testing.T) {
	f := newCatalogFixture(t)
	if !f.document(7) || f.document(6) || f.document(7) {
		t.Error("only a document of a higher generation may take effect")
	}
	if f.view().Snapshot.Generation != 7 {
		t.Errorf("generation %d is in force", f.view().Snapshot.Generation)
	}
}

// A starting VM must not publish a view before it knows all targets and evacuated zones.
func TestNoViewBeforeAllKindsAreListed(t *testing.T) {
	for _, kind := range []platform.Kind{"zones", "targets"} {
		f := newCatalogFixture(t, "a")
		delete(f.catalog.listed, kind)
		if f.view() != nil {
			t.Errorf("got a view without a list of %s", kind)
		}
	}
}

func TestUnreadableDocumentLeavesTheOneInForce(t *testing.T) {
	f := newCatalogFixture(t)
	f.version++
	f.docs.Apply([]platform.Event{{Object: platform.Object{Name: "main", Version: f.version, Value: []byte("{")}}}, f.version)
	if adopted, err := f.catalog.setDocument(f.docs); adopted || err == nil {
		t.Errorf("adopted %v, error %v", adopted, err)
	}
	if f.view().Snapshot.Generation != 1 {
		t.Error("the previous document is no longer in force")
	}
}

func TestColdTargets(t *testing.T) {
	f := newCatalogFixture(t, "old")
	if f.cold("old") {
		t.Error("a target that was listed when this VM started must not be cold")
	}
	f.report("new", Target{})
	if !f.cold("new") {
		t.Error("a target that starts while this VM watches must be cold")
	}
	f.now = f.now.Add(testCold)
	if f.cold("new") {
		t.Error("the target is cold for longer than its service's cold time")
	}
	f.report("old", Target{ColdTime: testCold})
	if !f.cold("old") {
		t.Error("a target that reports a cold time must be cold")
	}
	f.now = f.now.Add(testCold)
	// A new version of the entry restarts the cold time.
	f.report("old", Target{ColdTime: testCold})
	if !f.cold("old") {
		t.Error("a target that reports a cold time again must be cold again")
	}
	f.now = f.now.Add(testCold)
	f.catalog.setTargets(f.targets, f.now)
	if f.cold("old") {
		t.Error("an unchanged entry must not make the target cold")
	}
}

func TestTargetsOfAZoneThatReturnsAreHeldForAMoment(t *testing.T) {
	f := newCatalogFixture(t, "a")
	f.evacuate("z1")
	if !f.view().Evacuated["z1"] {
		t.Fatal("the zone is not evacuated")
	}
	f.evacuate()
	if !f.cold("a") {
		t.Error("the target must be cold, as its own report may arrive later")
	}
	f.now = f.now.Add(zoneReturnColdTime)
	if f.cold("a") || f.view().Evacuated["z1"] {
		t.Error("the target is still cold or its zone evacuated")
	}
}

func TestMissingEntries(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	tests := []struct {
		name    string
		outage  bool
		missing []string
		at      time.Duration // time since the end of the outage
		want    int
	}{
		{"without an outage, missing targets are dropped", false, all[:2], 0, 2},
		{"targets whose entries expired in an outage are kept", true, all, 0, 4},
		{"they are dropped after the grace period", true, all, rejoinGrace + 1, 0},
		{"a few missing targets are dropped, as only this VM had an outage", true, all[:1], 0, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCatalogFixture(t, all...)
			f.now = f.now.Add(time.Minute)
			if tt.outage {
				f.catalog.outageEnd = f.now
			}
			f.remove(tt.missing...)
			f.now = f.now.Add(tt.at)
			f.catalog.expireMissing(f.now)
			if len(f.catalog.targets) != tt.want {
				t.Errorf("%d targets, want %d", len(f.catalog.targets), tt.want)
			}
		})
	}
}

func TestLapsedTargetThatComesBackStays(t *testing.T) {
	f := newCatalogFixture(t, "a", "b")
	f.now = f.now.Add(time.Minute)
	f.catalog.outageEnd = f.now
	f.remove("a", "b")
	f.now = f.now.Add(time.Second)
	f.report("a", Target{})
	f.now = f.now.Add(rejoinGrace)
	f.catalog.expireMissing(f.now)
	if f.catalog.targets["a"] == nil || f.catalog.targets["b"] != nil {
		t.Errorf("targets: %v", f.catalog.targets)
	}
}

func TestLeavingTargetEndsWithItsEntry(t *testing.T) {
	f := newCatalogFixture(t, "a", "b")
	f.report("a", Target{Leaving: true})
	f.catalog.outageEnd = f.now
	f.remove("a", "b")
	if f.catalog.targets["a"] != nil {
		t.Error("a leaving target is kept without its entry")
	}
}
