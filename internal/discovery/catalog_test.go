package discovery

import (
	"encoding/json"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/platform"
)

// jsonDecoder decodes the documents and targets of tests.
type jsonDecoder struct{}

type testDocument struct {
	Generation config.Generation
	ColdMS     config.Millis
}

func (jsonDecoder) Kinds() Kinds {
	return Kinds{Document: "doc", DocumentName: "main", Evacuations: "zones", Targets: "targets"}
}

func (jsonDecoder) Document(o platform.Object) (*Content, error) {
	var d testDocument
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return nil, err
	}
	doc := &config.Document{Services: []config.Service{{Name: "svc", ColdMS: d.ColdMS}}}
	return &Content{Generation: d.Generation, Document: doc}, nil
}

func (jsonDecoder) Target(o platform.Object) (Target, error) {
	if o.Omitted > 0 {
		return Target{}, ErrOmitted
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

// world is a catalog with its mirrors.
type world struct {
	t       *testing.T
	b       *catalog
	docs    *Mirror
	zones   *Mirror
	targets *Mirror
	version platform.Version
	now     time.Time
}

const testCold = 3 * time.Second

func newWorld(t *testing.T, targets ...string) *world {
	w := &world{
		t: t, b: newCatalog(jsonDecoder{}, map[string]string{"z1": "r1", "z2": "r2"}),
		docs: NewMirror(platform.MaxValueBytes), zones: NewMirror(maxEntryBytes), targets: NewMirror(maxEntryBytes), now: time.Unix(1000, 0),
	}
	w.document(1)
	var list []platform.Object
	for _, name := range targets {
		list = append(list, w.entry(name, Target{}))
	}
	w.targets.Replace(list, w.version)
	w.b.setTargets(w.targets, w.now)
	for _, kind := range []platform.Kind{"doc", "zones", "targets"} {
		w.b.listed[kind] = true
	}
	return w
}

func (w *world) document(gen config.Generation) bool {
	w.version++
	value := encode(w.t, testDocument{Generation: gen, ColdMS: config.Millis(testCold.Milliseconds())})
	w.docs.Apply([]platform.Event{{Object: platform.Object{Name: "main", Version: w.version, Value: value}}}, w.version)
	adopted, err := w.b.setDocument(w.docs)
	if err != nil {
		w.t.Fatal(err)
	}
	return adopted
}

func (w *world) entry(name string, target Target) platform.Object {
	w.version++
	target.Instance, target.Service = name, "svc"
	if target.Zone == "" {
		target.Zone = "z1"
	}
	if target.Slots == 0 {
		target.Slots = 1
	}
	target.Address = "10.0.0.1:80"
	return platform.Object{Name: name, Version: w.version, Value: encode(w.t, target)}
}

func (w *world) report(name string, target Target) {
	w.targets.Apply([]platform.Event{{Object: w.entry(name, target)}}, w.version)
	w.b.setTargets(w.targets, w.now)
}

func (w *world) remove(names ...string) {
	w.version++
	var events []platform.Event
	for _, name := range names {
		events = append(events, deletion(name, w.version))
	}
	w.targets.Apply(events, w.version)
	w.b.setTargets(w.targets, w.now)
}

func (w *world) evacuate(zones ...string) {
	w.version++
	var list []platform.Object
	for _, z := range zones {
		list = append(list, object(z, w.version))
	}
	w.zones.Replace(list, w.version)
	w.b.setZones(w.zones, w.now)
}

func (w *world) cold(name string) bool { return w.now.Before(w.b.targets[name].coldUntil) }

func TestDocumentNeverReverts(t *testing.T) {
	w := newWorld(t)
	if !w.document(7) || w.document(6) || w.document(7) {
		t.Error("only a document of a higher generation may be adopted")
	}
	if w.b.view(noShares).Snapshot.Generation != 7 {
		t.Errorf("generation %d is in force", w.b.view(noShares).Snapshot.Generation)
	}
}

// A starting VM serves nobody before it knows the evacuated zones.
func TestNoViewBeforeAllKindsAreListed(t *testing.T) {
	for _, kind := range []platform.Kind{"zones", "targets"} {
		w := newWorld(t, "a")
		delete(w.b.listed, kind)
		if w.b.view(noShares) != nil {
			t.Errorf("there is a view without a list of %s", kind)
		}
	}
}

func TestUnreadableDocumentLeavesTheOneInForce(t *testing.T) {
	w := newWorld(t)
	w.version++
	w.docs.Apply([]platform.Event{{Object: platform.Object{Name: "main", Version: w.version, Value: []byte("{")}}}, w.version)
	if adopted, err := w.b.setDocument(w.docs); adopted || err == nil {
		t.Errorf("adopted %v, error %v", adopted, err)
	}
	if w.b.view(noShares).Snapshot.Generation != 1 {
		t.Error("the document in force is lost")
	}
}

func TestColdTargets(t *testing.T) {
	w := newWorld(t, "old")
	if w.cold("old") {
		t.Error("a target that was there at the start of this VM is not known to be cold")
	}
	w.report("new", Target{})
	if !w.cold("new") {
		t.Error("a target that comes while this VM watches is cold")
	}
	w.now = w.now.Add(testCold)
	if w.cold("new") {
		t.Error("the target is cold for longer than its service's are")
	}
	w.report("old", Target{Cold: testCold})
	if !w.cold("old") {
		t.Error("a target that reports to be cold is cold")
	}
	w.now = w.now.Add(testCold)
	// Another version of the entry makes it cold again.
	w.report("old", Target{Cold: testCold})
	if !w.cold("old") {
		t.Error("a target that turns cold again is cold again")
	}
	w.now = w.now.Add(testCold)
	w.b.setTargets(w.targets, w.now)
	if w.cold("old") {
		t.Error("an old entry that is seen again makes no target cold")
	}
}

func TestTargetsOfAZoneThatReturnsAreHeldForAMoment(t *testing.T) {
	w := newWorld(t, "a")
	w.evacuate("z1")
	if !w.b.view(noShares).Evacuated["z1"] {
		t.Fatal("the zone is not evacuated")
	}
	w.evacuate()
	if !w.cold("a") {
		t.Error("the news that the target is cold may still be on its way")
	}
	w.now = w.now.Add(returnHold)
	if w.cold("a") || w.b.view(noShares).Evacuated["z1"] {
		t.Error("the target stays held")
	}
}

func TestMissingEntries(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	tests := []struct {
		name    string
		outage  bool
		missing []string
		at      time.Duration // after the store is back
		want    int
	}{
		{"without an outage a missing target is gone", false, all[:2], 0, 2},
		{"entries that lapsed are believed for a while", true, all, 0, 4},
		{"and no longer", true, all, rejoinGrace + 1, 0},
		{"a few are gone, the outage was this VM's own", true, all[:1], 0, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, all...)
			w.now = w.now.Add(time.Minute)
			if tt.outage {
				w.b.regained = w.now
			}
			w.remove(tt.missing...)
			w.now = w.now.Add(tt.at)
			w.b.expire(w.now)
			if len(w.b.targets) != tt.want {
				t.Errorf("%d targets are believed, want %d", len(w.b.targets), tt.want)
			}
		})
	}
}

func TestLapsedTargetThatComesBackStays(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.now = w.now.Add(time.Minute)
	w.b.regained = w.now
	w.remove("a", "b")
	w.now = w.now.Add(time.Second)
	w.report("a", Target{})
	w.now = w.now.Add(rejoinGrace)
	w.b.expire(w.now)
	if w.b.targets["a"] == nil || w.b.targets["b"] != nil {
		t.Errorf("believed: %v", w.b.states())
	}
}

func TestLeavingTargetEndsWithItsEntry(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.report("a", Target{Leaving: true})
	w.b.regained = w.now
	w.remove("a", "b")
	if w.b.targets["a"] != nil {
		t.Error("a target that said that it leaves is believed to be there")
	}
}
