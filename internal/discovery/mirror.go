package discovery

import (
	"maps"
	"slices"
	"time"

	"masticturn/internal/changelog"
	"masticturn/internal/platform"
)

// Mirror is a copy of the objects of one kind as of a version of the store. Its version never
// decreases: older state is ignored, whatever its source. It does no I/O and is not safe for
// concurrent use. The work for a change does not depend on the number of objects.
type Mirror struct {
	maxBytes     int // limit of an object's content
	policy       copyPolicy
	now          func() time.Time
	asOf         platform.Version
	firstEra     uint64 // of the first list
	objects      map[string]platform.Object
	tombstones   map[string]tombstone   // by name of the deleted object
	historyStart platform.Version       // version from which tombstones is complete
	history      *changelog.Log[string] // changes and deletions by name
	changed      map[string]struct{}    // names of the objects changed since TakeChanged
	earlier      earlierVersions
	writes       writeHistory // of a kind whose objects are written once

	withheld      map[string]withheldObject // objects of a copy that count as deleted, by name
	newlyWithheld []withholding             // decisions since takeWithheld
	absent        map[string]time.Time      // objects that a copy lacks, with the time at which they are dropped
}

// tombstone is a deleted object.
type tombstone struct {
	at   platform.Version // version of the deletion
	last platform.Object  // the object before, with its value only for mayPrecede; its version is 0 if it was not known
}

// maxTombstones is the number of tombstones at which all of them are discarded.
const maxTombstones = 4096

// NewMirror returns an empty mirror. To bound memory, it discards the content of objects larger
// than maxBytes.
func NewMirror(maxBytes int) *Mirror {
	m := &Mirror{
		maxBytes:   maxBytes,
		now:        time.Now,
		objects:    make(map[string]platform.Object),
		tombstones: make(map[string]tombstone),
		changed:    make(map[string]struct{}),
		earlier:    make(earlierVersions),
		writes:     make(writeHistory),
		withheld:   make(map[string]withheldObject),
		absent:     make(map[string]time.Time),
	}
	m.history = changelog.New(m.isLatest)
	return m
}

// AsOf returns the version of the store that the mirror reflects; 0 if it has no state yet.
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

// Len returns the number of objects.
func (m *Mirror) Len() int { return len(m.objects) }

// Get returns the object of a name.
func (m *Mirror) Get(name string) (platform.Object, bool) {
	o, ok := m.objects[name]
	return o, ok
}

// TakeChanged returns the names of the objects that were changed or removed since the last call, in
// order.
func (m *Mirror) TakeChanged() []string {
	names := slices.Sorted(maps.Keys(m.changed))
	clear(m.changed)
	return names
}

// Replace applies a complete list as of a version. It reports whether anything changed.
func (m *Mirror) Replace(list []platform.Object, asOf platform.Version) bool {
	return m.ReplaceRelayed(list, nil, asOf)
}

// ReplaceRelayed is like Replace, but for the state of another VM, which withholds some objects that may come
// from a copy of the store.
func (m *Mirror) ReplaceRelayed(list, withheld []platform.Object, asOf platform.Version) bool {
	if asOf < m.asOf {
		return false
	}
	listed := make(map[string]bool, len(list))
	changed := m.endProtection()
	for _, o := range withheld {
		listed[o.Name] = m.objects[o.Name].Version.Era() == o.Version.Era()
	}
	for _, o := range list {
		listed[o.Name] = !m.isDeletedBy(&o, asOf)
		changed = m.put(o, false) || m.putEarlier(o, asOf) || changed
		m.limitAbsence(&o, asOf)
	}
	maps.DeleteFunc(m.withheld, func(name string, _ withheldObject) bool { return !listed[name] })
	for name, o := range m.objects {
		// An object newer than the list was created after the list was read.
		if !listed[name] && o.Version <= asOf && !m.keepsAbsent(&o, asOf) {
			m.remove(name, asOf)
			changed = true
		}
	}
	if m.asOf == 0 {
		m.firstEra = asOf.Era()
	}
	if m.historyStart.Era() < asOf.Era() || m.historyStart == 0 {
		m.historyStart = asOf
	}
	before := m.asOf
	m.asOf = asOf
	return m.applyWithheld(withheld, before) || changed
}

// KnowsChangesSince reports whether ChangesSince can tell the changes since a version. It can't for an
// earlier era, in which the other side may have seen what was then lost.
func (m *Mirror) KnowsChangesSince(v platform.Version) bool {
	return v >= m.historyStart && v != 0 && v.Era() == m.asOf.Era()
}

// ChangesSince returns the objects changed and the names removed after a version. ok is false if
// the mirror does not know all removals since then, so that the complete list is needed.
func (m *Mirror) ChangesSince(v platform.Version) (changed []platform.Object, removed []string, ok bool) {
	if !m.KnowsChangesSince(v) {
		return nil, nil, false
	}
	for _, c := range m.history.Since(uint64(v)) {
		if m.history.IsOutdated(c) {
			continue
		}
		if o, exists := m.objects[c.Item]; exists {
			changed = append(changed, o)
		} else {
			removed = append(removed, c.Item)
		}
	}
	return changed, removed, true
}

// Apply applies changes up to a version that the store has reported to this VM. It reports whether
// anything changed.
func (m *Mirror) Apply(events []platform.Event, asOf platform.Version) bool {
	return m.apply(events, asOf, true)
}

// ApplyRelayed is like Apply, but for differences from the state of another VM, which may come from a
// copy of the store, and of which the VM withholds some.
func (m *Mirror) ApplyRelayed(events []platform.Event, withheld []platform.Object, asOf platform.Version) bool {
	before := m.asOf
	changed := m.apply(events, asOf, false)
	return m.applyWithheld(withheld, before) || changed
}

func (m *Mirror) apply(events []platform.Event, asOf platform.Version, written bool) bool {
	changed := m.endProtection()
	for _, e := range events {
		if e.Deleted {
			changed = m.delete(e.Object.Name, max(e.Object.Version, m.asOf)) || changed
			continue
		}
		changed = m.put(e.Object, written) || changed
	}
	m.asOf = max(m.asOf, asOf)
	return changed
}

// put applies an object. written means that it was surely written after the store's last return from
// a copy.
func (m *Mirror) put(o platform.Object, written bool) bool {
	if gone, ok := m.tombstones[o.Name]; ok && o.Version <= gone.at {
		return false
	}
	if !written && !isWrittenAfter(&o, m.asOf) && m.withholds(&o) {
		return false
	}
	if known, ok := m.objects[o.Name]; ok && (known.Version >= o.Version || m.keeps(&known, &o)) {
		return false
	}
	m.unprotect(o.Name)
	delete(m.tombstones, o.Name)
	if known, ok := m.objects[o.Name]; ok {
		m.earlier.add(known)
	}
	m.set(o)
	return true
}

// set adds or replaces an object.
func (m *Mirror) set(o platform.Object) {
	m.objects[o.Name] = m.limitSize(o)
	m.recordWrite(&o)
	m.record(o.Name, o.Version)
}

// recordWrite keeps the version of an object that is written once.
func (m *Mirror) recordWrite(o *platform.Object) {
	if m.policy.writtenOnce {
		m.writes.add(o)
	}
}

func (m *Mirror) limitSize(o platform.Object) platform.Object {
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
	m.unprotect(name)
	m.remove(name, at)
	return ok
}

func (m *Mirror) remove(name string, at platform.Version) {
	last := m.objects[name]
	if m.policy.mayPrecede == nil {
		last = platform.Object{Version: last.Version}
	}
	delete(m.objects, name)
	delete(m.earlier, name)
	if len(m.tombstones) >= maxTombstones {
		clear(m.tombstones)
		m.historyStart = at
	}
	m.tombstones[name] = tombstone{at: at, last: last}
	m.record(name, at)
}

// record adds a change to the history.
func (m *Mirror) record(name string, at platform.Version) {
	m.changed[name] = struct{}{}
	m.history.Add(uint64(at), name, len(m.objects)+len(m.tombstones))
}

// isLatest reports whether an object, or its deletion, still has the version of a change.
func (m *Mirror) isLatest(c changelog.Change[string]) bool {
	if o, ok := m.objects[c.Item]; ok {
		return uint64(o.Version) == c.Version
	}
	return uint64(m.tombstones[c.Item].at) == c.Version
}
