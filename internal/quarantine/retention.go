package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticturn/internal/digest"
)

// evict makes room for one record.
func (l *Ledger) evict(now time.Time) {
	if len(l.records) < maxRecords {
		return
	}
	l.Sweep(now)
	if len(l.records) < maxRecords {
		return
	}
	first := slices.MinFunc(slices.Collect(maps.Keys(l.records)), func(a, b digest.Digest) int {
		x, y := l.records[a], l.records[b]
		return cmp.Or(cmp.Compare(x.severity(), y.severity()), x.lastSeen.Compare(y.lastSeen))
	})
	l.drop(first)
}

// severity orders records for eviction, the least severe first.
func (r *record) severity() int {
	if !r.held.IsZero() {
		return maxCrashes + 1
	}
	return len(r.crashes)
}

func (l *Ledger) drop(d digest.Digest) {
	r := l.records[d]
	for _, c := range r.crashes {
		l.unlink(d, c)
	}
	if l.heads[r.head]--; l.heads[r.head] <= 0 {
		delete(l.heads, r.head)
	}
	delete(l.records, d)
}

// Sweep drops expired records.
func (l *Ledger) Sweep(now time.Time) {
	for d, r := range l.records {
		if now.Sub(r.lastSeen) > r.keep() {
			l.drop(d)
		}
	}
}

func (r *record) keep() time.Duration {
	switch {
	case !r.held.IsZero():
		return keepQuarantined
	case len(r.crashes) == 0:
		return keepAcquitted
	case len(r.crashes) >= suspectSequence:
		return keepSuspect
	}
	return keepSingle
}
