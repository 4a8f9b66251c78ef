package discovery

import (
	"testing"

	"masticturn/internal/platform"
)

func object(name string, version platform.Version) platform.Object {
	return platform.Object{Kind: "k", Name: name, Version: version}
}

func deletion(name string, version platform.Version) platform.Event {
	return platform.Event{Object: object(name, version), Deleted: true}
}

func names(m *Mirror) string {
	out := ""
	for _, o := range m.Objects() {
		out += o.Name
	}
	return out
}

func TestMirrorOnlyMovesForward(t *testing.T) {
	tests := []struct {
		name    string
		do      func(m *Mirror)
		want    string
		changed bool
	}{
		{"newer list", func(m *Mirror) { m.Replace([]platform.Object{object("a", 1)}, 20) }, "a", true},
		{"older list", func(m *Mirror) { m.Replace(nil, 9) }, "ab", false},
		{"list read before an object was created", func(m *Mirror) {
			m.Apply([]platform.Event{{Object: object("c", 15)}}, 15)
			m.asOf = 10 // another source is behind
			m.Replace([]platform.Object{object("a", 1), object("b", 2)}, 12)
		}, "abc", false},
		{"deletion", func(m *Mirror) { m.Apply([]platform.Event{deletion("a", 11)}, 11) }, "b", true},
		{"change older than a deletion", func(m *Mirror) {
			m.Apply([]platform.Event{deletion("a", 12)}, 12)
			m.Apply([]platform.Event{{Object: object("a", 5)}}, 12)
		}, "b", false},
		{"object created again after a deletion", func(m *Mirror) {
			m.Apply([]platform.Event{deletion("a", 12)}, 12)
			m.Apply([]platform.Event{{Object: object("a", 13)}}, 13)
		}, "ab", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewMirror(maxEntryBytes)
			m.Replace([]platform.Object{object("a", 1), object("b", 2)}, 10)
			tt.do(m)
			if got := names(m); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestMirrorSince(t *testing.T) {
	m := NewMirror(maxEntryBytes)
	m.Replace([]platform.Object{object("a", 1), object("b", 2)}, 10)
	m.Apply([]platform.Event{{Object: object("c", 11)}, deletion("a", 12)}, 12)
	changed, removed, ok := m.ChangesSince(10)
	if !ok || len(changed) != 1 || changed[0].Name != "c" || len(removed) != 1 || removed[0] != "a" {
		t.Errorf("since 10: %v %v %v", changed, removed, ok)
	}
	if changed, removed, ok = m.ChangesSince(12); !ok || len(changed)+len(removed) != 0 {
		t.Errorf("since 12: %v %v %v", changed, removed, ok)
	}
	if _, _, ok = m.ChangesSince(9); ok {
		t.Error("removals before the first list are unknown, so a list is required")
	}
}

// After its tombstones were discarded, a mirror must not answer with changes, which would lack the
// removals.
func TestMirrorRequiresListAfterTombstonesAreCleared(t *testing.T) {
	m := NewMirror(maxEntryBytes)
	m.Replace(nil, 1)
	for i := range platform.Version(maxTombstones + 1) {
		name := string(rune('a'+i%26)) + string(rune(i))
		m.Apply([]platform.Event{{Object: object(name, 2+2*i)}, deletion(name, 3+2*i)}, 3+2*i)
	}
	if _, _, ok := m.ChangesSince(1); ok {
		t.Error("got changes since the first list, although tombstones were discarded")
	}
}
