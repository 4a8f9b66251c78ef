package membership

import "slices"

// changeLog lists the members by the table versions of their changes, so that the changes since a version are
// found without going through the table. A member's earlier changes stay in the log until it is compacted.
type changeLog struct {
	changes []loggedChange // by version
}

// loggedChange is a change of a member. It is outdated if the member has changed again since.
type loggedChange struct {
	version uint64
	entry   *entry
}

// minCompactChanges is the length of a log below which outdated changes are kept.
const minCompactChanges = 64

// add adds a change, which must have a higher version than all others. current returns the version of a
// member's latest change, and members is the number of members.
func (l *changeLog) add(version uint64, e *entry, members int, current func(*entry) uint64) {
	l.changes = append(l.changes, loggedChange{version, e})
	if len(l.changes) > max(2*members, minCompactChanges) {
		l.changes = slices.DeleteFunc(l.changes, func(c loggedChange) bool { return current(c.entry) != c.version })
	}
}

// since returns the changes after a version, in their order, including outdated ones.
func (l *changeLog) since(version uint64) []loggedChange {
	first, _ := slices.BinarySearchFunc(l.changes, version+1, func(c loggedChange, v uint64) int {
		if c.version < v {
			return -1
		}
		return 1
	})
	return l.changes[first:]
}
