package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticturn/internal/digest"
)

// evict removes a record if the ledger is full.
func (l *Ledger) evict(now time.Time) {
	if len(l.records) < maxRecords {
		return
	}
	l.Sweep(now)
	if len(l.records) < maxRecords {
		return
	}
	victim := slices.MinFunc(slices.Collect(maps.Keys(l.records)), func(a, b digest.Digest) int {
		x, y := l.records[a], l.records[b]
		return cmp.Or(cmp.Compare(x.severity(), y.severity()), x.lastSeen.Compare(y.lastSeen))
	})
	l.drop(victim)
}

// severity is the eviction priority of a record. Records with a lower severity are
// evicted first.
func (r *record) severity() int {
	if !r.quarantinedAt.IsZero() {
		return maxCrashesPerRecord + 1
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
		if now.Sub(r.lastSeen) > r.retention() {
			l.drop(d)
		}
	}
}

func (r *record) retention() time.Duration {
	switch {
	case !r.quarantinedAt.IsZero():
		return quarantineRetention
	case len(r.crashes) == 0:
		return clearedRetention
	case len(r.crashes) >= suspectSequence:
		return suspectRetention
	}
	return singleCrashRetention
}
