package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// When the table hashes of two daemons differ for some time, each sends the hashes of its table's buckets. The
// other one answers with the records of the buckets that differ, instead of the whole table.
const (
	// bucketCount is the number of buckets of a table, as many as a bit set of uint64 holds.
	bucketCount = 64
	// settleTime is the time without a change of the own table after which a difference counts. Before,
	// the records that the tables differ by are usually on their way.
	settleTime = 300 * time.Millisecond
)

// buckets holds the hash of the records of each bucket.
type buckets [bucketCount]uint32

// bucketOf returns the bucket of a member.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// toggle adds a record to the table hashes, or removes one that was added.
func (m *StateMachine) toggle(r *Record) {
	d := r.digest()
	m.digest ^= d
	m.buckets[bucketOf(r.Name)] ^= uint32(d)
}

// isSettled reports whether the own table has not changed for some time.
func (m *StateMachine) isSettled(now time.Time) bool { return now.Sub(m.tableChangedAt) >= settleTime }

// compareBuckets schedules the records of the buckets that differ from those of a peer to be sent to it.
func (m *StateMachine) compareBuckets(l *linkState, hb *Heartbeat) {
	if len(hb.Buckets) != bucketCount {
		return
	}
	l.differing = 0
	for i, hash := range hb.Buckets {
		if hash != m.buckets[i] {
			l.differing |= 1 << i
		}
	}
	if l.differing != 0 {
		l.nextSend = m.lastEvent
	}
}

// addDiffering adds the records of the buckets that differ at the peer.
func (m *StateMachine) addDiffering(hb *Heartbeat, l *linkState) {
	if l.differing == 0 {
		return
	}
	listed := make(map[string]bool, len(hb.Records))
	for i := range hb.Records {
		listed[hb.Records[i].Name] = true
	}
	for name, e := range m.table {
		if len(hb.Records) == m.opts.MaxRecords {
			break
		}
		if !listed[name] && !e.isKnownTo(l) && l.differing&(1<<bucketOf(name)) != 0 {
			hb.Records = append(hb.Records, e.Record)
		}
	}
	l.differing = 0
}
