package discovery

import (
	"maps"
	"slices"

	"masticturn/internal/platform"
)

// Mirror is a copy of the objects of one kind as of a version of the store. It only moves
// forward: older state is ignored, whatever its source. It does no I/O and is not safe for
// concurrent use.
type Mirror struct {
	maxBytes int // of an object's content
	asOf     platform.Version
	objects  map[string]platform.Object
	removed  map[string]platform.Version // deleted names with the version
	floor    platform.Version            // from which removed is complete
}

// maxRemoved bounds the recorded names of deleted objects.
const maxRemoved = 4096

// NewMirror returns an empty mirror. Of objects longer than maxBytes it keeps only name and
// version, to bound the memory.
func NewMirror(most int) *Mirror {
	return &Mirror{maxBytes: most, objects: make(map[string]platform.Object), removed: make(map[string]platform.Version)}
}

// AsOf returns the version of the store that the mirror shows; 0: none yet.
func (m *Mirror) AsOf() platform.Version { return m.asOf }

// Objects returns the objects, sorted by name.
func (m *Mirror) Objects() []platform.Object {
	names := slices.Sorted(maps.Keys(m.objects))
	out := make([]platform.Object, len(names))
	for i, name := range names {
		out[i] = m.objects[name]
	}
	return out
}

// Get returns an object.
func (m *Mirror) Get(name string) (platform.Object, bool) {
	o, ok := m.objects[name]
	return o, ok
}

// Replace applies a complete list as of a version. It reports whether anything changed.
func (m *Mirror) Replace(list []platform.Object, asOf platform.Version) bool {
	if asOf < m.asOf {
		return false
	}
	listed := make(map[string]bool, len(list))
	changed := false
	for _, o := range list {
		listed[o.Name] = true
		changed = m.put(o) || changed
	}
	for name, o := range m.objects {
		// Objects newer than the list were created after it.
		if !listed[name] && o.Version <= asOf {
			m.remove(name, asOf)
			changed = true
		}
	}
	if m.floor == 0 {
		m.floor = asOf
	}
	m.asOf = asOf
	return changed
}

// Since returns the objects changed and names removed after a version; ok is false if only
// the complete list will do.
func (m *Mirror) Since(v platform.Version) (changed []platform.Object, removed []string, ok bool) {
	if v < m.floor || v == 0 {
		return nil, nil, false
	}
	for _, o := range m.Objects() {
		if o.Version > v {
			changed = append(changed, o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.removed)) {
		if m.removed[name] > v {
			removed = append(removed, name)
		}
	}
	return changed, removed, true
}

// Apply applies changes up to a version. It reports whether anything changed.
func (m *Mirror) Apply(events []platform.Event, asOf platform.Version) bool {
	changed := false
	for _, e := range events {
		if e.Deleted {
			changed = m.delete(e.Object.Name, max(e.Object.Version, m.asOf)) || changed
			continue
		}
		changed = m.put(e.Object) || changed
	}
	m.asOf = max(m.asOf, asOf)
	return changed
}

func (m *Mirror) put(o platform.Object) bool {
	if gone, ok := m.removed[o.Name]; ok && o.Version <= gone {
		return false
	}
	if known, ok := m.objects[o.Name]; ok && known.Version >= o.Version {
		return false
	}
	delete(m.removed, o.Name)
	m.objects[o.Name] = m.bounded(o)
	return true
}

func (m *Mirror) bounded(o platform.Object) platform.Object {
	if n := len(o.Value) + len(o.Status); n > m.maxBytes {
		o.Value, o.Status, o.Omitted = nil, nil, n
	}
	return o
}

func (m *Mirror) delete(name string, at platform.Version) bool {
	known, ok := m.objects[name]
	if ok && known.Version > at {
		return false
	}
	m.remove(name, at)
	return ok
}

func (m *Mirror) remove(name string, at platform.Version) {
	delete(m.objects, name)
	if len(m.removed) >= maxRemoved {
		clear(m.removed)
		m.floor = at
	}
	m.removed[name] = at
}
