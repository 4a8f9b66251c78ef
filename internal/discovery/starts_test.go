package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"masticturn/internal/platform"
)

// names returns the names of the view's targets by instance id.
func (f *catalogFixture) names() map[string]string {
	out := make(map[string]string)
	for _, t := range f.view().Snapshot.Services()[0].AllTargets {
		out[t.Instance] = t.Name
	}
	return out
}

// put writes an entry and returns the invalid ones that were found.
func (f *catalogFixture) put(name, value string) []invalidEntry {
	f.version++
	f.targets.Apply([]platform.Event{{Object: platform.Object{Name: name, Version: f.version, Value: []byte(value)}}}, f.version)
	return f.catalog.setTargets(f.targets, f.now).invalid
}

// A restarted target must not share state with its previous start.
func TestRestartUnderTheSameID(t *testing.T) {
	f := newCatalogFixture(t)
	f.report("a", Target{StartMS: 1000, Leaving: true})
	f.now = f.now.Add(time.Minute)
	first := f.names()["a"]
	f.report("a", Target{StartMS: 2000})
	if f.names()["a"] == first {
		t.Errorf("both starts have the name %s", first)
	}
	if f.catalog.targets["a"].Leaving {
		t.Error("the new start is leaving like the previous one")
	}
	if !f.cold("a") {
		t.Error("a target that starts while this VM watches must be cold")
	}
	if got := f.view().ColdUntil[f.names()["a"]]; got.IsZero() {
		t.Error("the view does not mark the new start as cold")
	}
}

func TestOlderStartNeverReplacesANewerOne(t *testing.T) {
	f := newCatalogFixture(t)
	f.report("a", Target{StartMS: 2000})
	want := f.names()["a"]
	f.report("a", Target{StartMS: 1000, Leaving: true})
	if f.names()["a"] != want || f.catalog.targets["a"].Leaving {
		t.Errorf("an older start replaced a newer one: %v", f.catalog.targets)
	}
	f.remove("a")
	f.report("a", Target{StartMS: 1000})
	if len(f.names()) != 0 {
		t.Errorf("an older start was accepted after the newer one was removed: %v", f.catalog.targets)
	}
	f.report("a", Target{StartMS: 2000})
	if f.names()["a"] != want {
		t.Errorf("the newer start was not accepted again: %v", f.catalog.targets)
	}
}

// A further report of a known start must not make the target cold again.
func TestRepeatedStartChangesNothing(t *testing.T) {
	f := newCatalogFixture(t)
	f.report("a", Target{StartMS: 1000})
	f.now = f.now.Add(time.Minute)
	f.report("a", Target{StartMS: 1000, Sequence: 2})
	if f.cold("a") {
		t.Error("a known start is cold again")
	}
}

// A report that arrives after a later one of the same start must not revert it. Sequence numbers
// restart with each start.
func TestReportsOfOneStartAreInOrder(t *testing.T) {
	f := newCatalogFixture(t)
	f.report("a", Target{StartMS: 1000, Sequence: 7, Leaving: true})
	f.report("a", Target{StartMS: 1000, Sequence: 6})
	if !f.catalog.targets["a"].Leaving {
		t.Error("an older report reverted that the target is leaving")
	}
	f.report("a", Target{StartMS: 2000, Sequence: 1})
	if f.catalog.targets["a"].Leaving {
		t.Error("the sequence numbers of the previous start apply to the new one")
	}
	f.now = f.now.Add(reportReorderWindow + time.Second)
	f.report("a", Target{StartMS: 2000, Sequence: 0, Leaving: true})
	if !f.catalog.targets["a"].Leaving {
		t.Error("a report with a lower sequence number is ignored after the reorder window")
	}
	// Without a start time, the name is the id, and sequence numbers are ignored.
	f.report("b", Target{Sequence: 7, Leaving: true})
	f.report("b", Target{Sequence: 1})
	if f.catalog.targets["b"].Leaving || f.names()["b"] != "b" {
		t.Errorf("targets: %v", f.catalog.targets)
	}
}

func TestInvalidEntries(t *testing.T) {
	good := `{"Service":"svc","Zone":"z1","Slots":1,"Address":"10.0.0.1:80","StartMS":5}`
	swap := func(from, to string) string { return strings.Replace(good, from, to, 1) }
	tests := map[string]string{
		"bytes":              "\x00{",
		"unknown zone":       swap("z1", "z9"),
		"no slots":           swap(`"Slots":1`, `"Slots":0`),
		"too many slots":     swap(`"Slots":1`, `"Slots":70000`),
		"long cold":          swap(`"Slots":1`, `"Slots":1,"ColdTime":7200000000000`),
		"no address":         swap("10.0.0.1:80", ""),
		"a host name":        swap("10.0.0.1:80", "host:80"),
		"port 0":             swap("10.0.0.1:80", "10.0.0.1:0"),
		"large port":         swap("10.0.0.1:80", "10.0.0.1:80000"),
		"start time removed": swap(`,"StartMS":5`, ""),
	}
	for name, bad := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCatalogFixture(t, "other")
			if invalid := f.put("a", good); invalid != nil {
				t.Fatal(invalid)
			}
			f.now = f.now.Add(time.Minute)
			invalid := f.put("a", bad)
			if len(invalid) != 1 || invalid[0].name != "a" {
				t.Errorf("invalid %v", invalid)
			}
			if names := f.names(); len(names) != 1 || names["other"] == "" {
				t.Errorf("targets %v, want only the other one", names)
			}
			// An invalid entry is reported only once per change of it.
			f.report("other", Target{Sequence: 1})
			if again := f.catalog.setTargets(f.targets, f.now).invalid; again != nil {
				t.Errorf("reported again: %v", again)
			}
			if invalid := f.put("a", good); invalid != nil || len(f.names()) != 2 || f.cold("a") {
				t.Errorf("the same start, valid again: invalid %v, targets %v, cold %v", invalid, f.names(), f.cold("a"))
			}
		})
	}
}

// Ids that can't be used in headers and names are rejected.
func TestInvalidIDs(t *testing.T) {
	for _, id := range []string{"", "a b", "a\nb", "a@5", "é", strings.Repeat("x", maxInstanceBytes+1)} {
		target := Target{Instance: id, Slots: 1, Zone: "z1", Address: "10.0.0.1:80"}
		var fieldErr *FieldError
		if err := target.validate(map[string]string{"z1": "r1"}); !errors.As(err, &fieldErr) || fieldErr.Field != "name" {
			t.Errorf("id %q: %v", id, err)
		}
	}
}

func TestLongEntriesAreNotKept(t *testing.T) {
	f := newCatalogFixture(t, "other")
	invalid := f.put("a", `{"x":"`+strings.Repeat("y", maxEntryBytes)+`"}`)
	if len(invalid) != 1 || !errors.Is(invalid[0].err, ErrContentTooLarge) || len(f.names()) != 1 {
		t.Errorf("invalid %v, targets %v", invalid, f.names())
	}
	if o, _ := f.targets.Get("a"); len(o.Value) != 0 || o.Omitted <= maxEntryBytes {
		t.Errorf("kept %d bytes, omitted %d", len(o.Value), o.Omitted)
	}
}

// The number of recorded starts of targets without an entry is bounded.
func TestStartsAreBounded(t *testing.T) {
	f := newCatalogFixture(t, "other")
	for i := range 3 * maxAbsentStarts {
		f.catalog.recordStart(&Target{Instance: fmt.Sprint(i), StartMS: int64(i + 1)})
	}
	if n := len(f.catalog.latestStarts.byID); n > maxAbsentStarts {
		t.Errorf("%d starts are kept", n)
	}
}

// The work for an entry must not grow with the number of targets. Dropping the starts of absent targets with each
// entry, once there are many targets, cost a scan of all of them.
func TestWorkForAStartDoesNotGrowWithTheTargets(t *testing.T) {
	for _, targets := range []int{1000, 10_000, 40_000} {
		s := newStarts()
		records, scanned := 0, 0
		isPresent := func(string) bool { scanned++; return true }
		for restart := range 3 {
			for i := range targets {
				s.record(fmt.Sprint(i), int64(restart+1), isPresent)
				records++
			}
		}
		if scanned > 2*records {
			t.Errorf("%d targets: %d records were scanned for %d starts", targets, scanned, records)
		}
		if len(s.byID) != targets {
			t.Errorf("%d targets: %d starts are kept", targets, len(s.byID))
		}
	}
}

// Unknown zones are ignored, and so is the content of objects that name a known zone.
func TestEvacuationsOfOtherWriters(t *testing.T) {
	f := newCatalogFixture(t, "a")
	f.version++
	f.zones.Replace([]platform.Object{
		{Name: "nowhere", Version: f.version},
		{Name: "z1", Version: f.version, Value: []byte("\xff" + strings.Repeat("x", maxEntryBytes))},
	}, f.version)
	if unknown := f.catalog.setZones(f.zones, f.now); len(unknown) != 1 || unknown[0] != "nowhere" {
		t.Errorf("unknown zones %v", unknown)
	}
	if got := f.view().Evacuated; len(got) != 1 || !got["z1"] {
		t.Errorf("evacuated %v", got)
	}
}
