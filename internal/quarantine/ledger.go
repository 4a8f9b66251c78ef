// Package quarantine rejects requests that crash the targets that run them. VMs replicate
// the crashes that they observe, by the digest of the request.
package quarantine

import (
	"hash/fnv"
	"slices"
	"time"

	"masticturn/internal/digest"
)

// Verdict is the quarantine state of a request.
type Verdict uint8

// The verdicts.
const (
	Clear       Verdict = iota // runs without restriction
	Suspect                    // runs under a lease, one at a time across the fleet
	Quarantined                // rejected, except for rare trials
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "quarantined"}[v] }

// Thresholds of the verdicts. Crashes are sequential if each run began after the
// previous crash. Targets that fail simultaneously, as when an availability zone is lost,
// do not count as sequential.
const (
	suspectSequence    = 2
	quarantineCrashes  = 3
	quarantineSequence = 2
	// unconditionalCrashes is the number of crashes that quarantine a request even if
	// another request explains some of them.
	unconditionalCrashes = 6
)

// Retention of records after the last crash or, for requests in quarantine, after the
// last arrival.
const (
	singleCrashRetention = time.Minute
	suspectRetention     = 10 * time.Minute
	quarantineRetention  = time.Hour
	// clearedRetention exceeds the delay of reports that were sent before the request was
	// cleared.
	clearedRetention = 10 * time.Second
)

// trialDelays are the delays before each trial. If the last trial fails, only an operator
// can lift the quarantine.
var trialDelays = [...]time.Duration{30 * time.Second, 5 * time.Minute}

// noTrialLeft is the value of Assessment.TrialIn if no trials are left.
const noTrialLeft = -time.Second

// Memory limits. The record with the fewest crashes is evicted first; among equals, the
// one seen least recently.
const (
	maxRecords          = 4096
	maxCrashesPerRecord = 16
)

// clockTolerance is the maximum difference between two VMs' times of the same event.
const clockTolerance = time.Second

// Crash describes the crash of a target's process during a run of a request.
type Crash struct {
	Target uint32    // as returned by TargetID
	Began  time.Time // start of the run
	Ended  time.Time
}

// TargetID returns a hash of the name of a target instance.
func TargetID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum32()
}

// record is the crash record of one request.
type record struct {
	head           digest.Digest // set if the request has a body
	crashes        []Crash       // since the request was last cleared, ordered by end
	clearedAt      time.Time     // last answered run or lift by an operator; zero: never cleared
	quarantinedAt  time.Time     // start of the quarantine or time of the last failed trial; zero: not in quarantine
	withoutCrashes bool          // in quarantine without crash details, as loaded from the store
	lastSeen       time.Time     // last crash or, in quarantine, last arrival
	failedTrials   int
	stored         bool // persisted in the store
}

// Ledger stores crash records and decides which requests may run. It does no I/O and is
// not safe for concurrent use.
type Ledger struct {
	records map[digest.Digest]*record
	targets map[uint32][]digest.Digest // requests that were running on each crashed target
	heads   map[digest.Digest]int      // number of records with each head
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		records: make(map[digest.Digest]*record),
		targets: make(map[uint32][]digest.Digest),
		heads:   make(map[digest.Digest]int),
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Has reports whether the ledger has a record of a request.
func (l *Ledger) Has(d digest.Digest) bool { return l.records[d] != nil }

// HasHead reports whether the ledger has a record of a request with this head and a body.
func (l *Ledger) HasHead(head digest.Digest) bool { return l.heads[head] > 0 }

// Crashed records the crash of a target during a run. It returns whether the record
// changed.
func (l *Ledger) Crashed(d, head digest.Digest, c Crash, now time.Time) bool {
	r := l.record(d, head, now)
	if !l.addCrash(d, r, c) {
		return false
	}
	if !r.quarantinedAt.IsZero() && c.Began.After(r.quarantinedAt.Add(clockTolerance)) {
		r.failedTrials++
		r.quarantinedAt = now
	}
	l.quarantineIfDue(d, r, now)
	return true
}

// addCrash adds a crash unless it is a duplicate or precedes the last clearing. It
// returns whether the crash was added.
func (l *Ledger) addCrash(d digest.Digest, r *record, c Crash) bool {
	if !c.Ended.After(r.clearedAt) {
		return false
	}
	for _, known := range r.crashes {
		if known.Target == c.Target && known.Ended.Sub(c.Ended).Abs() < clockTolerance {
			return false
		}
	}
	if len(r.crashes) >= maxCrashesPerRecord {
		if !c.Ended.After(r.crashes[0].Ended) {
			return false
		}
		l.unlink(d, r.crashes[0])
		r.crashes = r.crashes[1:]
	}
	at, _ := slices.BinarySearchFunc(r.crashes, c, func(x, c Crash) int { return x.Ended.Compare(c.Ended) })
	r.crashes = slices.Insert(r.crashes, at, c)
	if c.Ended.After(r.lastSeen) {
		r.lastSeen = c.Ended
	}
	if !slices.Contains(l.targets[c.Target], d) {
		l.targets[c.Target] = append(l.targets[c.Target], d)
	}
	return true
}

// quarantineIfDue quarantines a request if its crashes reach the thresholds.
func (l *Ledger) quarantineIfDue(d digest.Digest, r *record, now time.Time) {
	if !r.quarantinedAt.IsZero() {
		return
	}
	if l.shouldQuarantine(d, r) {
		r.quarantinedAt = now
	}
}

// shouldQuarantine reports whether a request's crashes reach the thresholds of quarantine,
// disregarding those explained by other requests up to unconditionalCrashes.
func (l *Ledger) shouldQuarantine(d digest.Digest, r *record) bool {
	return meetsThresholds(l.unexplained(d, r)) || len(r.crashes) >= unconditionalCrashes && meetsThresholds(r.crashes)
}

// meetsThresholds reports whether crashes reach the thresholds of quarantine.
func meetsThresholds(crashes []Crash) bool {
	return len(crashes) >= quarantineCrashes && longestSequence(crashes) >= quarantineSequence
}

// unexplained returns the crashes that are not attributed to another request. A crash is
// attributed to a quarantined request that ran on the same target, unless this request
// was running at all crashes of that one.
func (l *Ledger) unexplained(d digest.Digest, r *record) []Crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool {
		for _, other := range l.targets[c.Target] {
			o := l.records[other]
			if other != d && !o.quarantinedAt.IsZero() && !o.subsetOf(r) {
				return true
			}
		}
		return false
	})
}

// subsetOf reports whether another record has crashes of all targets of this record.
func (r *record) subsetOf(other *record) bool {
	for _, c := range r.crashes {
		if !slices.ContainsFunc(other.crashes, func(x Crash) bool { return x.Target == c.Target }) {
			return false
		}
	}
	return true
}

// longestSequence returns the length of the longest chain of sequential crashes. The
// crashes must be ordered by end.
func longestSequence(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || !c.Began.Before(last) {
			n++
			last = c.Ended
		}
	}
	return n
}

// Clear clears a request after an answered run or a lift by an operator. It returns
// whether the record changed.
func (l *Ledger) Clear(d digest.Digest, now time.Time) bool {
	r := l.records[d]
	if r == nil || len(r.crashes) == 0 && r.quarantinedAt.IsZero() {
		return false
	}
	l.clearRecord(d, r, now)
	return true
}

// clearRecord removes the crashes up to a time from a record and lifts a quarantine that they
// caused.
func (l *Ledger) clearRecord(d digest.Digest, r *record, at time.Time) {
	var later []Crash
	for _, c := range r.crashes {
		if c.Ended.After(at) {
			later = append(later, c)
			continue
		}
		l.unlink(d, c)
	}
	r.crashes = later
	r.clearedAt = at
	if !r.quarantinedAt.After(at) || !r.withoutCrashes && !meetsThresholds(r.crashes) {
		r.quarantinedAt, r.withoutCrashes, r.failedTrials, r.stored = time.Time{}, false, 0, false
	}
	if at.After(r.lastSeen) {
		r.lastSeen = at
	}
}

// unlink removes a request from the index of a crashed target.
func (l *Ledger) unlink(d digest.Digest, c Crash) {
	rest := slices.DeleteFunc(l.targets[c.Target], func(x digest.Digest) bool { return x == d })
	if len(rest) == 0 {
		delete(l.targets, c.Target)
		return
	}
	l.targets[c.Target] = rest
}

// Assessment is a verdict with the data it is based on.
type Assessment struct {
	Verdict      Verdict
	Stored       bool          // persisted in the store
	Crashes      int           // since the request was last cleared
	Age          time.Duration // of the last crash
	FailedTrials int
	// TrialIn is the delay until the next trial; 0: due, negative: never.
	TrialIn time.Duration
}

// Assess returns the verdict on a request.
func (l *Ledger) Assess(d digest.Digest, now time.Time) Assessment {
	r := l.records[d]
	if r == nil {
		return Assessment{}
	}
	a := Assessment{Crashes: len(r.crashes), FailedTrials: r.failedTrials, Stored: r.stored}
	if n := len(r.crashes); n > 0 {
		a.Age = now.Sub(r.crashes[n-1].Ended)
	}
	switch {
	case !r.quarantinedAt.IsZero():
		a.Verdict = Quarantined
		a.TrialIn = untilTrial(r, now)
	case longestSequence(l.unexplained(d, r)) >= suspectSequence:
		a.Verdict = Suspect
	}
	return a
}

// untilTrial returns the delay until the next trial of a quarantined request, 0 if it is due, or
// noTrialLeft (negative) if no trials are left.
func untilTrial(r *record, now time.Time) time.Duration {
	if r.failedTrials >= len(trialDelays) {
		return noTrialLeft
	}
	return max(r.quarantinedAt.Add(trialDelays[r.failedTrials]).Sub(now), 0)
}

// lastSeenResolution is the minimum interval between updates of the last arrival of a
// quarantined request.
const lastSeenResolution = quarantineRetention / 6

// Touch records the arrival of a request in quarantine. It returns whether the record
// changed.
func (l *Ledger) Touch(d digest.Digest, now time.Time) bool {
	r := l.records[d]
	if r == nil || r.quarantinedAt.IsZero() || now.Sub(r.lastSeen) < lastSeenResolution {
		return false
	}
	r.lastSeen = now
	return true
}

// SetStored marks a quarantined record as persisted. It returns whether the record
// changed.
func (l *Ledger) SetStored(d digest.Digest) bool {
	r := l.records[d]
	if r == nil || r.quarantinedAt.IsZero() || r.stored {
		return false
	}
	r.stored = true
	return true
}

// SetLost marks a record as not persisted any more.
func (l *Ledger) SetLost(d digest.Digest) {
	if r := l.records[d]; r != nil {
		r.stored = false
	}
}

// StoredRequests returns the requests in quarantine that are persisted.
func (l *Ledger) StoredRequests() []digest.Digest {
	var out []digest.Digest
	for d, r := range l.records {
		if !r.quarantinedAt.IsZero() && r.stored {
			out = append(out, d)
		}
	}
	return out
}

// Restore quarantines a request loaded from the store. It returns whether the record
// changed.
func (l *Ledger) Restore(d, head digest.Digest, now time.Time) bool {
	r := l.record(d, head, now)
	if !r.quarantinedAt.IsZero() || now.Sub(r.clearedAt) < clearedRetention {
		return l.SetStored(d)
	}
	r.quarantinedAt, r.lastSeen, r.stored, r.withoutCrashes = now, now, true, len(r.crashes) == 0
	return true
}

// Unstored returns the requests in quarantine that are not persisted, with the start of
// the quarantine.
func (l *Ledger) Unstored() map[digest.Digest]time.Time {
	out := make(map[digest.Digest]time.Time)
	for d, r := range l.records {
		if !r.quarantinedAt.IsZero() && !r.stored {
			out[d] = r.quarantinedAt
		}
	}
	return out
}

// record returns the record of a request, creating it if needed.
func (l *Ledger) record(d, head digest.Digest, now time.Time) *record {
	r := l.records[d]
	if r == nil {
		l.evict(now)
		r = &record{}
		l.records[d] = r
	}
	if r.head == (digest.Digest{}) && head != (digest.Digest{}) {
		r.head = head
		l.heads[head]++
	}
	return r
}

// QuarantinedCount returns the number of requests in quarantine.
func (l *Ledger) QuarantinedCount() int {
	n := 0
	for _, r := range l.records {
		if !r.quarantinedAt.IsZero() {
			n++
		}
	}
	return n
}

// Head returns the head digest of a recorded request with a body, else zero.
func (l *Ledger) Head(d digest.Digest) digest.Digest {
	if r := l.records[d]; r != nil {
		return r.head
	}
	return digest.Digest{}
}
