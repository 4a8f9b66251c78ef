// Package changelog lists the changes of a table by version, so that those after a version are found without
// going through the table.
package changelog

import (
	"cmp"
	"slices"
)

// Change is a change of an item of the table.
type Change[T any] struct {
	Version uint64
	Item    T
}

// Log holds the changes of a table. An item's earlier changes stay in it until it is compacted; they are
// outdated.
type Log[T any] struct {
	isLatest func(Change[T]) bool
	changes  []Change[T]
	unsorted bool // changes is not in the order of versions
}

// minCompactLength is the length of a log below which outdated changes are kept.
const minCompactLength = 64

// New returns an empty log. isLatest reports whether a change is the latest one of its item.
func New[T any](isLatest func(Change[T]) bool) *Log[T] { return &Log[T]{isLatest: isLatest} }

// Add adds a change of an item, of which the table has the given number. Changes are mostly added in the order of
// their versions.
func (l *Log[T]) Add(version uint64, item T, items int) {
	if n := len(l.changes); n > 0 && l.changes[n-1].Version > version {
		l.unsorted = true
	}
	l.changes = append(l.changes, Change[T]{version, item})
	if len(l.changes) > max(2*items, minCompactLength) {
		l.changes = slices.DeleteFunc(l.changes, l.IsOutdated)
	}
}

// IsOutdated reports whether a change is not the latest one of its item.
func (l *Log[T]) IsOutdated(c Change[T]) bool { return !l.isLatest(c) }

// Since returns the changes after a version in the order of their versions, including outdated ones.
func (l *Log[T]) Since(version uint64) []Change[T] {
	if l.unsorted {
		slices.SortStableFunc(l.changes, func(a, b Change[T]) int { return cmp.Compare(a.Version, b.Version) })
		l.unsorted = false
	}
	first, _ := slices.BinarySearchFunc(l.changes, version+1, func(c Change[T], v uint64) int {
		return cmp.Compare(c.Version, v)
	})
	return l.changes[first:]
}
