// Package quarantine rejects requests that crash the targets that run them. VMs share
// the crashes that they see, by the digest of the request.
package quarantine

import (
	"hash/fnv"
	"slices"
	"time"

	"masticturn/internal/digest"
)

// Verdict is the state of a request.
type Verdict uint8

// The verdicts.
const (
	Clear       Verdict = iota // runs without restriction
	Suspect                    // runs under a lease, one at a time across the fleet
	Quarantined                // rejected, except for rare trials
)

// String returns the name used in logs, metrics and for operators.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "quarantined"}[v] }

// Thresholds of the verdicts. Crashes are sequential if each run began after the
// previous crash; targets lost at the same moment, as with an availability zone, are not.
const (
	suspectSequence    = 2
	quarantineCrashes  = 3
	quarantineSequence = 2
	// certainCrashes quarantine a request even if other requests explain some of them.
	certainCrashes = 6
)

// Retention of records after their last crash or, in quarantine, the last arrival of
// the request.
const (
	keepSingle      = time.Minute
	keepSuspect     = 10 * time.Minute
	keepQuarantined = time.Hour
	// keepAcquitted exceeds the delay of reports sent before the acquittal.
	keepAcquitted = 10 * time.Second
)

// trialAfter is the delay before each trial. After the last one fails, only an
// operator lifts the quarantine.
var trialAfter = [...]time.Duration{30 * time.Second, 5 * time.Minute}

// neverTried replaces the delay when no trial is left.
const neverTried = -time.Second

// Memory bounds. The record with the fewest crashes is evicted first, then the oldest.
const (
	maxRecords = 4096
	maxCrashes = 16 // of one record
)

// clockTolerance bounds the difference between two VMs' times of one event.
const clockTolerance = time.Second

// Crash is the end of a target's process during a run of a request.
type Crash struct {
	Target uint32    // TargetID
	Began  time.Time // start of the run
	Ended  time.Time
}

// TargetID returns the short ID of a target instance.
func TargetID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // it never fails
	return h.Sum32()
}

// record is the state of one request.
type record struct {
	head      digest.Digest // set if the request has a body
	crashes   []Crash       // since the acquittal, ordered by end
	acquitted time.Time     // last answered run or lift by an operator; zero: never
	held      time.Time     // start of the quarantine or of its last failed trial; zero: not held
	bare      bool          // held without crash details, as loaded from the store
	lastSeen  time.Time     // last crash or, while held, last arrival
	trials    int           // failed ones
	stored    bool          // persisted in the store
}

// Ledger decides which requests may run. It does no I/O and is not safe for
// concurrent use.
type Ledger struct {
	records map[digest.Digest]*record
	targets map[uint32][]digest.Digest // requests running on each target that crashed
	heads   map[digest.Digest]int      // records by head
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

// Has reports whether a request is on record.
func (l *Ledger) Has(d digest.Digest) bool { return l.records[d] != nil }

// HasHead reports whether a request with this head and a body is on record.
func (l *Ledger) HasHead(head digest.Digest) bool { return l.heads[head] > 0 }

// Crashed records the crash of a target during a run. It reports whether the record
// changed.
func (l *Ledger) Crashed(d, head digest.Digest, c Crash, now time.Time) bool {
	r := l.record(d, head, now)
	if !l.addCrash(d, r, c) {
		return false
	}
	if !r.held.IsZero() && c.Began.After(r.held.Add(clockTolerance)) {
		r.trials++
		r.held = now
	}
	l.hold(d, r, now)
	return true
}

// addCrash adds a crash unless it is a duplicate or precedes the acquittal.
func (l *Ledger) addCrash(d digest.Digest, r *record, c Crash) bool {
	if !c.Ended.After(r.acquitted) {
		return false
	}
	for _, known := range r.crashes {
		if known.Target == c.Target && known.Ended.Sub(c.Ended).Abs() < clockTolerance {
			return false
		}
	}
	if len(r.crashes) >= maxCrashes {
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

// hold quarantines a request once its crashes suffice.
func (l *Ledger) hold(d digest.Digest, r *record, now time.Time) {
	if !r.held.IsZero() {
		return
	}
	if l.convicted(d, r) {
		r.held = now
	}
}

// convicted reports whether a request's record suffices for quarantine.
func (l *Ledger) convicted(d digest.Digest, r *record) bool {
	return convicts(l.unexplained(d, r)) || len(r.crashes) >= certainCrashes && convicts(r.crashes)
}

// convicts reports whether crashes suffice for quarantine.
func convicts(crashes []Crash) bool {
	return len(crashes) >= quarantineCrashes && sequence(crashes) >= quarantineSequence
}

// unexplained returns the crashes not explained by another request: a held one that ran
// on the same target, unless this request was present at all crashes of the other.
func (l *Ledger) unexplained(d digest.Digest, r *record) []Crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool {
		for _, other := range l.targets[c.Target] {
			o := l.records[other]
			if other != d && !o.held.IsZero() && !o.subsetOf(r) {
				return true
			}
		}
		return false
	})
}

// subsetOf reports whether all of the record's crashes are in another record too.
func (r *record) subsetOf(other *record) bool {
	for _, c := range r.crashes {
		if !slices.ContainsFunc(other.crashes, func(x Crash) bool { return x.Target == c.Target }) {
			return false
		}
	}
	return true
}

// sequence returns the length of the longest chain of sequential crashes. The crashes
// are ordered by end.
func sequence(crashes []Crash) int {
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

// Acquit clears a request after an answered run or a lift by an operator. It reports
// whether the record changed.
func (l *Ledger) Acquit(d digest.Digest, now time.Time) bool {
	r := l.records[d]
	if r == nil || len(r.crashes) == 0 && r.held.IsZero() {
		return false
	}
	l.acquit(d, r, now)
	return true
}

// acquit removes the crashes up to a time from a record.
func (l *Ledger) acquit(d digest.Digest, r *record, at time.Time) {
	var later []Crash
	for _, c := range r.crashes {
		if c.Ended.After(at) {
			later = append(later, c)
			continue
		}
		l.unlink(d, c)
	}
	r.crashes = later
	r.acquitted = at
	if !r.held.After(at) || !r.bare && !convicts(r.crashes) {
		r.held, r.bare, r.trials, r.stored = time.Time{}, false, 0, false
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

// Judgement is a verdict with its evidence.
type Judgement struct {
	Verdict Verdict
	Stored  bool          // persisted in the store
	Crashes int           // since the last acquittal
	Age     time.Duration // of the last crash
	Trials  int           // failed ones
	// TrialIn is the delay until the next trial; 0: due. Negative: never.
	TrialIn time.Duration
}

// Judge returns the verdict on a request.
func (l *Ledger) Judge(d digest.Digest, now time.Time) Judgement {
	r := l.records[d]
	if r == nil {
		return Judgement{}
	}
	j := Judgement{Crashes: len(r.crashes), Trials: r.trials, Stored: r.stored}
	if n := len(r.crashes); n > 0 {
		j.Age = now.Sub(r.crashes[n-1].Ended)
	}
	switch {
	case !r.held.IsZero():
		j.Verdict = Quarantined
		j.TrialIn = trialIn(r, now)
	case sequence(l.unexplained(d, r)) >= suspectSequence:
		j.Verdict = Suspect
	}
	return j
}

func trialIn(r *record, now time.Time) time.Duration {
	if r.trials >= len(trialAfter) {
		return neverTried
	}
	return max(r.held.Add(trialAfter[r.trials]).Sub(now), 0)
}

// seenInterval is the resolution of a held record's last arrival.
const seenInterval = keepQuarantined / 6

// Touch records the arrival of a request. It reports whether the record changed.
func (l *Ledger) Touch(d digest.Digest, now time.Time) bool {
	r := l.records[d]
	if r == nil || r.held.IsZero() || now.Sub(r.lastSeen) < seenInterval {
		return false
	}
	r.lastSeen = now
	return true
}

// SetStored marks a held record as persisted. It reports whether the record changed.
func (l *Ledger) SetStored(d digest.Digest) bool {
	r := l.records[d]
	if r == nil || r.held.IsZero() || r.stored {
		return false
	}
	r.stored = true
	return true
}

// Hold quarantines a request loaded from the store. It reports whether the record
// changed.
func (l *Ledger) Hold(d, head digest.Digest, now time.Time) bool {
	r := l.record(d, head, now)
	if !r.held.IsZero() || now.Sub(r.acquitted) < keepAcquitted {
		return l.SetStored(d)
	}
	r.held, r.lastSeen, r.stored, r.bare = now, now, true, len(r.crashes) == 0
	return true
}

// Unstored returns the held requests that are not persisted, with the start of their
// quarantine.
func (l *Ledger) Unstored() map[digest.Digest]time.Time {
	out := make(map[digest.Digest]time.Time)
	for d, r := range l.records {
		if !r.held.IsZero() && !r.stored {
			out[d] = r.held
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

// Held returns the number of requests in quarantine.
func (l *Ledger) Held() int {
	n := 0
	for _, r := range l.records {
		if !r.held.IsZero() {
			n++
		}
	}
	return n
}

// Head returns the head digest of a recorded request that has a body, else zero.
func (l *Ledger) Head(d digest.Digest) digest.Digest {
	if r := l.records[d]; r != nil {
		return r.head
	}
	return digest.Digest{}
}
