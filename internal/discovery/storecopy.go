package discovery

import (
	"maps"
	"slices"
	"time"

	"masticturn/internal/platform"
)

// The store may come back from a copy that is some seconds old. What was acknowledged since holds
// until it is written again, although the copy has earlier objects, lacks some, or has deleted ones.
const (
	// zoneProtection is how long an evacuation holds against a copy that lacks it. Operators write at
	// moments of their own.
	zoneProtection = time.Minute
	// targetProtection is how long a deleted target stays so against a copy. The store drops entries
	// of targets that don't write within a few seconds.
	targetProtection = 6 * time.Second
)

// copyPolicy states for a kind what holds against a copy of the store.
type copyPolicy struct {
	// keeps reports whether a known object holds against an object of a later era with the same name;
	// nil: none does.
	keeps func(known, next platform.Object) bool
	// writtenOnce is set if objects of the kind don't change between their creation and their deletion. An object
	// of a copy then has exactly the revision at which it was known.
	writtenOnce bool
	// mayPrecede reports whether an object of a later era may be an earlier state of an object that was deleted; nil:
	// by their revisions alone.
	mayPrecede func(next, deleted platform.Object) bool
	// deletedFor is how long a deleted object stays so although a copy has it.
	deletedFor time.Duration
	// endsOnTime is set if deletedFor ends even without contact with the store meanwhile. Otherwise it ends with the
	// next change or confirmation of the state, which may tell that the object has been deleted again.
	endsOnTime bool
	// absentFor is how long an object stays although a copy lacks it; forGood: until it is deleted.
	absentFor time.Duration
}

// forGood is the value of copyPolicy.absentFor without a limit.
const forGood time.Duration = -1

// withheldObject is an object of a copy that counts as deleted until a time.
type withheldObject struct {
	object platform.Object
	until  time.Time
}

// copyPolicies returns the policies by kind. zoneBound is the time in which an evacuation has to be in force; 0: none.
func copyPolicies(d Decoder, zoneBound time.Duration) map[platform.Kind]copyPolicy {
	kinds := d.Kinds()
	if zoneBound == 0 {
		zoneBound = zonesBound
	}
	return map[platform.Kind]copyPolicy{
		kinds.Document: {keeps: newerDocument(d), absentFor: forGood},
		// An evacuation that was written since can have the very revision of an earlier one. It is withheld for no
		// longer than lets it be in force within the bound.
		kinds.Evacuations: {writtenOnce: true, deletedFor: zoneBound / 2, endsOnTime: true, absentFor: zoneProtection},
		// The catalog keeps targets without an entry for rejoinGrace.
		kinds.Targets: {keeps: leavingTarget(d), mayPrecede: earlierReport(d), deletedFor: targetProtection},
	}
}

// newerDocument keeps a valid document against one of an earlier generation, or one that can't be read.
func newerDocument(d Decoder) func(known, next platform.Object) bool {
	return func(known, next platform.Object) bool {
		before, err := d.Document(known)
		if err != nil {
			return false
		}
		after, err := d.Document(next)
		return err != nil || after.Generation < before.Generation
	}
}

// leavingTarget keeps the entry of a target that leaves, as the same start of it never returns, and
// the later of two reports.
func leavingTarget(d Decoder) func(known, next platform.Object) bool {
	return func(known, next platform.Object) bool {
		before, err := d.Target(known)
		if err != nil {
			return false
		}
		after, err := d.Target(next)
		if err != nil || after.Name() != before.Name() {
			return false
		}
		return before.Leaving && !after.Leaving || after.Sequence < before.Sequence
	}
}

// earlierReport reports false for a later start of a target than the deleted one, and for a later report of the same
// start, unless that was leaving.
func earlierReport(d Decoder) func(next, deleted platform.Object) bool {
	return func(next, deleted platform.Object) bool {
		after, err := d.Target(next)
		if err != nil {
			return true
		}
		before, err := d.Target(deleted)
		if err != nil {
			return true
		}
		if after.StartMS != before.StartMS {
			return after.StartMS < before.StartMS
		}
		return before.Leaving || after.Sequence <= before.Sequence
	}
}

// setCopyPolicy sets the policy of the mirror's kind.
func (m *Mirror) setCopyPolicy(p copyPolicy, now func() time.Time) { m.policy, m.now = p, now }

// MergeEarlier merges the state of a VM that knew the store's state before it came back from a copy, into
// state that this VM has read from the store since. It reports whether anything changed.
//
// An object that the other VM's state of an earlier era lacks may have been deleted or written since. Objects that
// are written once count as written, as withholding those is worse.
func (m *Mirror) MergeEarlier(list []platform.Object, asOf platform.Version) bool {
	listed := make(map[string]bool, len(list))
	changed := false
	for _, o := range list {
		listed[o.Name] = true
		changed = m.putEarlier(o, m.asOf) || m.addEarlier(o) || changed
	}
	for name, o := range m.objects {
		deletedThere := o.Version <= asOf ||
			o.Version.Era() > asOf.Era() && o.Version.Revision() < asOf.Revision() && !m.policy.writtenOnce
		if !listed[name] && deletedThere && m.policy.deletedFor != 0 {
			m.withhold(&o)
			m.remove(name, m.asOf)
			changed = true
		}
	}
	return changed
}

// putEarlier applies an object of an earlier era, which a peer keeps, if it holds against the known one.
func (m *Mirror) putEarlier(o platform.Object, asOf platform.Version) bool {
	known, ok := m.objects[o.Name]
	if !ok || o.Version.Era() >= asOf.Era() || !m.keeps(&o, &known) {
		return false
	}
	m.set(o)
	return true
}

// addEarlier adds an object of an earlier era that this VM's state lacks.
func (m *Mirror) addEarlier(o platform.Object) bool {
	_, known := m.objects[o.Name]
	_, deleted := m.tombstones[o.Name]
	if known || deleted || m.policy.absentFor == 0 || o.Version.Era() >= m.asOf.Era() {
		return false
	}
	m.set(o)
	m.limitAbsence(&o, m.asOf)
	return true
}

// isDeletedBy reports whether a list as of a version has an object only because a peer keeps it from an earlier
// era, so that the object of this era that this VM knows or withholds was deleted.
func (m *Mirror) isDeletedBy(o *platform.Object, asOf platform.Version) bool {
	known, ok := m.objects[o.Name]
	if w, withheld := m.withheld[o.Name]; withheld && !ok {
		known, ok = w.object, true
	}
	return ok && m.policy.keeps == nil && o.Version.Era() < asOf.Era() && known.Version.Era() == asOf.Era()
}

// keeps reports whether a known object holds against one of a later era.
func (m *Mirror) keeps(known, next *platform.Object) bool {
	return known.Version.Era() < next.Version.Era() && m.policy.keeps != nil && m.policy.keeps(*known, *next)
}

// withholds reports whether an object counts as deleted, as it may come from the copy: by what this VM
// knows, or by what a peer withheld when this VM started.
func (m *Mirror) withholds(o *platform.Object) bool {
	if m.policy.deletedFor == 0 {
		return false
	}
	if w, ok := m.withheld[o.Name]; ok && w.object.Version == o.Version {
		return true
	}
	if !m.mayBeDeleted(o) {
		return false
	}
	m.withhold(o)
	return true
}

// withhold lets an object count as deleted until its protection ends.
func (m *Mirror) withhold(o *platform.Object) {
	w, ok := m.withheld[o.Name]
	if !ok {
		w.until = m.now().Add(m.policy.deletedFor)
	}
	if w.object.Version != o.Version {
		m.newlyWithheld = append(m.newlyWithheld, withholding{o.Name, o.Version, m.tombstones[o.Name]})
	}
	w.object = *o
	m.withheld[o.Name] = w
	m.recordWrite(o)
}

// withholding is the decision that an object counts as deleted, with what was known of its deletion.
type withholding struct {
	name    string
	version platform.Version
	deleted tombstone // zero if this VM doesn't know of one
}

// takeWithheld returns the decisions since the last call.
func (m *Mirror) takeWithheld() []withholding {
	taken := m.newlyWithheld
	m.newlyWithheld = nil
	return taken
}

// mayBeDeleted reports whether an object that is not known may have been deleted in an earlier era after
// its revision. It was if its tombstone has that revision or a later one. A deletion without a
// tombstone was before historyStart. An object that is written once is the deleted one only if that had this revision.
func (m *Mirror) mayBeDeleted(o *platform.Object) bool {
	gone, deleted := m.tombstones[o.Name]
	_, known := m.objects[o.Name]
	switch {
	case deleted && gone.at.Era() >= o.Version.Era():
		return false
	case m.policy.writtenOnce:
		return !known && m.writes.hasEarlier(o)
	case deleted:
		return o.Version.Revision() <= gone.last.Version.Revision() &&
			(m.policy.mayPrecede == nil || m.policy.mayPrecede(*o, gone.last))
	default:
		return !known && m.historyStart != 0 && m.historyStart.Era() < o.Version.Era() && o.Version.Revision() < m.historyStart.Revision()
	}
}

// isWrittenAfter reports whether an object was written after a state of the same era, and so after the store returned
// from a copy.
func isWrittenAfter(o *platform.Object, state platform.Version) bool {
	return o.Version.Era() == state.Era() && o.Version > state
}

// maxWrites is the number of versions that are kept of each name that is written once at a time, and maxWrittenNames
// the number of names at which all of them are discarded.
const (
	maxWrites       = 16
	maxWrittenNames = 4096
)

// writeHistory holds the versions at which objects were written, by name, the latest last. They outlive the objects.
type writeHistory map[string][]platform.Version

// add adds the version of an object.
func (h writeHistory) add(o *platform.Object) {
	versions := h[o.Name]
	if n := len(versions); n > 0 && versions[n-1] == o.Version {
		return
	}
	if len(versions) == 0 && len(h) >= maxWrittenNames {
		clear(h)
	}
	h[o.Name] = append(slices.Clone(versions[max(0, len(versions)-maxWrites+1):]), o.Version)
}

// hasEarlier reports whether an object of the same name had the revision in an earlier era.
func (h writeHistory) hasEarlier(o *platform.Object) bool {
	return slices.ContainsFunc(h[o.Name], func(v platform.Version) bool {
		return v.Era() < o.Version.Era() && v.Revision() == o.Version.Revision()
	})
}

// keepsAbsent reports whether an object stays although a list of a later era lacks it.
func (m *Mirror) keepsAbsent(o *platform.Object, asOf platform.Version) bool {
	if m.policy.absentFor == 0 || o.Version.Era() == asOf.Era() {
		return false
	}
	m.limitAbsence(o, asOf)
	return true
}

// limitAbsence limits how long an object of an earlier era stays, which a list of a later era lacks, or has
// because a peer keeps it.
func (m *Mirror) limitAbsence(o *platform.Object, asOf platform.Version) {
	if known, ok := m.objects[o.Name]; !ok || known.Version.Era() >= asOf.Era() || m.policy.absentFor <= 0 {
		return
	}
	if _, ok := m.absent[o.Name]; !ok {
		m.absent[o.Name] = m.now().Add(m.policy.absentFor)
	}
}

// Withheld returns the objects after a version that count as deleted, as they may come from a copy.
func (m *Mirror) Withheld(since platform.Version) []platform.Object {
	var out []platform.Object
	for _, name := range slices.Sorted(maps.Keys(m.withheld)) {
		if o := m.withheld[name].object; o.Version > since {
			out = append(out, o)
		}
	}
	return out
}

// applyWithheld applies the objects that a peer withholds. Those written after before, this VM's state until now, exist.
// Of others, a VM that has known the store's earlier eras decides by what it knows itself, and another one withholds them
// too. Objects that are written once are withheld by both, as the peer has known them at that revision. It reports
// whether anything changed.
func (m *Mirror) applyWithheld(objects []platform.Object, before platform.Version) bool {
	changed := false
	for _, o := range objects {
		_, present := m.objects[o.Name]
		exists := present || isWrittenAfter(&o, before)
		if exists || m.firstEra < o.Version.Era() && !m.policy.writtenOnce {
			changed = m.put(o, exists) || changed
			m.limitAbsence(&o, m.asOf)
		} else if o.Version > m.tombstones[o.Name].at {
			m.withhold(&o)
		}
	}
	return changed
}

// unprotect ends the protection of an object against a copy, as it was written or deleted since.
func (m *Mirror) unprotect(name string) {
	delete(m.withheld, name)
	delete(m.absent, name)
}

// nextWithheldEnd returns when the first object that counts as deleted ceases to; ok is false if there is none.
func (m *Mirror) nextWithheldEnd() (next time.Time, ok bool) {
	for _, w := range m.withheld {
		if !ok || w.until.Before(next) {
			next, ok = w.until, true
		}
	}
	return next, ok
}

// endProtection lets the store's state hold for objects whose protection has ended. It reports whether
// anything changed.
func (m *Mirror) endProtection() bool {
	changed := m.endWithholding()
	if len(m.absent) == 0 {
		return changed
	}
	now := m.now()
	for name, until := range m.absent {
		if !now.Before(until) {
			delete(m.absent, name)
			m.remove(name, m.asOf)
			changed = true
		}
	}
	return changed
}

// endWithholding lets objects exist that no longer count as deleted. It reports whether anything changed.
func (m *Mirror) endWithholding() bool {
	if len(m.withheld) == 0 {
		return false
	}
	now, changed := m.now(), false
	for name, w := range m.withheld {
		if !now.Before(w.until) {
			delete(m.withheld, name)
			delete(m.tombstones, name)
			changed = m.put(w.object, true) || changed
			m.limitAbsence(&w.object, m.asOf)
		}
	}
	return changed
}
