package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"masticturn/internal/platform"
)

// names returns the view's targets by id.
func (w *world) names() map[string]string {
	out := make(map[string]string)
	for _, t := range w.b.view(noShares).Snapshot.Services()[0].AllTargets {
		out[t.Instance] = t.Name
	}
	return out
}

// put writes bytes as an entry and returns the faults found.
func (w *world) put(name, value string) []entryFault {
	w.version++
	w.targets.Apply([]platform.Event{{Object: platform.Object{Name: name, Version: w.version, Value: []byte(value)}}}, w.version)
	return w.b.setTargets(w.targets, w.now)
}

// A restarted target shares no state with the start before.
func TestStartAgainUnderTheSameID(t *testing.T) {
	w := newWorld(t)
	w.report("a", Target{Born: 1000, Leaving: true})
	w.now = w.now.Add(time.Minute)
	first := w.names()["a"]
	w.report("a", Target{Born: 2000})
	if w.names()["a"] == first {
		t.Errorf("both starts are named %s", first)
	}
	if w.b.targets["a"].Leaving {
		t.Error("the new start leaves as the old one did")
	}
	if !w.cold("a") {
		t.Error("a start that is heard of while this VM watches is cold")
	}
	if got := w.b.view(noShares).ColdUntil[w.names()["a"]]; got.IsZero() {
		t.Error("the view does not tell that the new start is cold")
	}
}

func TestOlderStartNeverReplacesANewerOne(t *testing.T) {
	w := newWorld(t)
	w.report("a", Target{Born: 2000})
	want := w.names()["a"]
	w.report("a", Target{Born: 1000, Leaving: true})
	if w.names()["a"] != want || w.b.targets["a"].Leaving {
		t.Errorf("an older start is believed: %v", w.b.states())
	}
	w.remove("a")
	w.report("a", Target{Born: 1000})
	if len(w.names()) != 0 {
		t.Errorf("an older start is believed after the newer one is gone: %v", w.b.states())
	}
	w.report("a", Target{Born: 2000})
	if w.names()["a"] != want {
		t.Errorf("the newer start is not believed again: %v", w.b.states())
	}
}

// A repeated entry changes nothing.
func TestRepeatedStartChangesNothing(t *testing.T) {
	w := newWorld(t)
	w.report("a", Target{Born: 1000})
	w.now = w.now.Add(time.Minute)
	w.report("a", Target{Born: 1000, Sequence: 2})
	if w.cold("a") {
		t.Error("a start that was heard of before is cold again")
	}
}

// An overtaken report does not revert a later one of the same start; sequences restart with
// each start.
func TestReportsOfOneStartAreInOrder(t *testing.T) {
	w := newWorld(t)
	w.report("a", Target{Born: 1000, Sequence: 7, Leaving: true})
	w.report("a", Target{Born: 1000, Sequence: 6})
	if !w.b.targets["a"].Leaving {
		t.Error("an overtaken report takes back that the target leaves")
	}
	w.report("a", Target{Born: 2000, Sequence: 1})
	if w.b.targets["a"].Leaving {
		t.Error("the counts of the start before bind the new one")
	}
	w.now = w.now.Add(lateReports + time.Second)
	w.report("a", Target{Born: 2000, Sequence: 0, Leaving: true})
	if !w.b.targets["a"].Leaving {
		t.Error("a report that was not overtaken lately is passed over")
	}
	// Without a start, the id is the name.
	w.report("b", Target{Sequence: 7, Leaving: true})
	w.report("b", Target{Sequence: 1})
	if w.b.targets["b"].Leaving || w.names()["b"] != "b" {
		t.Errorf("believed: %v", w.b.states())
	}
}

func TestEntryThatNamesNoTarget(t *testing.T) {
	good := `{"Service":"svc","Zone":"z1","Slots":1,"Address":"10.0.0.1:80","Born":5}`
	swap := func(from, to string) string { return strings.Replace(good, from, to, 1) }
	tests := map[string]string{
		"bytes":             "\x00{",
		"unknown zone":      swap("z1", "z9"),
		"no slots":          swap(`"Slots":1`, `"Slots":0`),
		"too many slots":    swap(`"Slots":1`, `"Slots":70000`),
		"long cold":         swap(`"Slots":1`, `"Slots":1,"Cold":7200000000000`),
		"no address":        swap("10.0.0.1:80", ""),
		"a host name":       swap("10.0.0.1:80", "host:80"),
		"port 0":            swap("10.0.0.1:80", "10.0.0.1:0"),
		"large port":        swap("10.0.0.1:80", "10.0.0.1:80000"),
		"no start any more": swap(`,"Born":5`, ""),
	}
	for name, bad := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "other")
			if faults := w.put("a", good); faults != nil {
				t.Fatal(faults)
			}
			w.now = w.now.Add(time.Minute)
			faults := w.put("a", bad)
			if len(faults) != 1 || faults[0].name != "a" {
				t.Errorf("faults %v", faults)
			}
			if names := w.names(); len(names) != 1 || names["other"] == "" {
				t.Errorf("targets %v, want the other one only", names)
			}
			// Faults are reported once per change.
			w.report("other", Target{Sequence: 1})
			if again := w.b.setTargets(w.targets, w.now); again != nil {
				t.Errorf("told again: %v", again)
			}
			if faults := w.put("a", good); faults != nil || len(w.names()) != 2 || w.cold("a") {
				t.Errorf("the same start, readable again: faults %v, targets %v, cold %v", faults, w.names(), w.cold("a"))
			}
		})
	}
}

// Names are valid in headers and messages.
func TestIDsThatCanNotBeNames(t *testing.T) {
	for _, id := range []string{"", "a b", "a\nb", "a@5", "é", strings.Repeat("x", maxInstanceBytes+1)} {
		target := Target{Instance: id, Slots: 1, Zone: "z1", Address: "10.0.0.1:80"}
		var fault *FieldError
		if err := target.check(map[string]string{"z1": "r1"}); !errors.As(err, &fault) || fault.Field != "name" {
			t.Errorf("id %q: %v", id, err)
		}
	}
}

func TestLongEntriesAreNotKept(t *testing.T) {
	w := newWorld(t, "other")
	faults := w.put("a", `{"x":"`+strings.Repeat("y", maxEntryBytes)+`"}`)
	if len(faults) != 1 || !errors.Is(faults[0].err, ErrOmitted) || len(w.names()) != 1 {
		t.Errorf("faults %v, targets %v", faults, w.names())
	}
	if o, _ := w.targets.Get("a"); len(o.Value) != 0 || o.Omitted <= maxEntryBytes {
		t.Errorf("kept %d bytes, omitted %d", len(o.Value), o.Omitted)
	}
}

// Starts of targets without an entry are dropped in the end.
func TestStartsAreBounded(t *testing.T) {
	w := newWorld(t, "other")
	for i := range 3 * maxStarts {
		w.b.recordStart(&Target{Instance: fmt.Sprint(i), Born: int64(i + 1)})
	}
	if n := len(w.b.starts); n > maxStarts {
		t.Errorf("%d starts are kept", n)
	}
}

// Unknown zones are ignored, and the content of known ones does not matter.
func TestEvacuationsOfOtherWriters(t *testing.T) {
	w := newWorld(t, "a")
	w.version++
	w.zones.Replace([]platform.Object{
		{Name: "nowhere", Version: w.version},
		{Name: "z1", Version: w.version, Value: []byte("\xff" + strings.Repeat("x", maxEntryBytes))},
	}, w.version)
	if unknown := w.b.setZones(w.zones, w.now); len(unknown) != 1 || unknown[0] != "nowhere" {
		t.Errorf("unknown zones %v", unknown)
	}
	if got := w.b.view(noShares).Evacuated; len(got) != 1 || !got["z1"] {
		t.Errorf("evacuated %v", got)
	}
}
