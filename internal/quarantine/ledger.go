// Package quarantine keeps requests that crash the targets that run them away from
// further targets. VMs tell each other under which requests targets have crashed; a
// request is held back by what they know together.
package quarantine

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"masticturn/internal/digest"
)

// Verdict is what may be done with a request.
type Verdict uint8

// The verdicts.
const (
	Clear       Verdict = iota // it may run
	Suspect                    // it may run once at a time in the whole fleet
	Quarantined                // it is refused, but for a trial now and then
)

// String returns the name used in logs, metrics and for operators.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "quarantined"}[v] }

// Thresholds of the verdicts. Crashes are in sequence when each run began after the
// crash before it: targets that are lost at one moment, as with an availability zone,
// are no sequence, however many run the request.
const (
	suspectSequence    = 2
	quarantineCrashes  = 3
	quarantineSequence = 2
	// certainCrashes convict a request though others explain some of them: several may
	// crash the same targets.
	certainCrashes = 6
)

// Times for which records are kept since their last crash, or since the request was
// last asked for where it is quarantined.
const (
	keepSingle      = time.Minute
	keepSuspect     = 10 * time.Minute
	keepQuarantined = time.Hour
	// keepAcquitted is how long an acquittal outlives reports that were on their way.
	keepAcquitted = 10 * time.Second
)

// trialAfter is how long a request is quarantined before it is tried, by how many
// trials have crashed a target. After the last one only an operator lifts it.
var trialAfter = [...]time.Duration{30 * time.Second, 5 * time.Minute}

// neverTried is in place of the time of a trial where none will be made.
const neverTried = -time.Second

// Bounds of the memory of a ledger. When there are too many records, those with the
// fewest crashes are dropped first, of these the oldest.
const (
	recordsMost = 4096
	crashesMost = 16 // of one record
)

// settle is how far the times of one event may differ as VMs tell them.
const settle = time.Second

// Crash is the end of a target's process during a run of a request.
type Crash struct {
	Target uint32    // TargetID
	Began  time.Time // the run
	Ended  time.Time
}

// TargetID stands for the name of a target's start.
func TargetID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // it never fails
	return h.Sum32()
}

// record is what is known of one request.
type record struct {
	head      digest.Digest // of requests whose body was streamed, else zero
	crashes   []Crash       // since the acquittal, by end
	acquitted time.Time     // a run was answered, or an operator lifted it; zero: never
	held      time.Time     // quarantined since, or since the last trial; zero: it is not
	bare      bool          // it is held without a word on crashes, as the store tells
	seen      time.Time     // last crash, or last asked for while it was held
	trials    int           // that crashed a target
	stored    bool          // the store has it
}

// Ledger decides which requests may run. It does no I/O and is not safe for
// concurrent use.
type Ledger struct {
	records map[digest.Digest]*record
	targets map[uint32][]digest.Digest // requests that ran at a target that crashed
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

// HasHead reports whether a request with this head, whose body was streamed, is on
// record.
func (l *Ledger) HasHead(head digest.Digest) bool { return l.heads[head] > 0 }

// Crashed takes in that a target crashed during a run. It reports whether that is
// news.
func (l *Ledger) Crashed(d, head digest.Digest, c Crash, now time.Time) bool {
	r := l.record(d, head, now)
	if !l.addCrash(d, r, c) {
		return false
	}
	if !r.held.IsZero() && c.Began.After(r.held.Add(settle)) {
		r.trials++
		r.held = now
	}
	l.hold(d, r, now)
	return true
}

// addCrash adds a crash to a record, unless it is there or was acquitted.
func (l *Ledger) addCrash(d digest.Digest, r *record, c Crash) bool {
	if !c.Ended.After(r.acquitted) {
		return false
	}
	for _, known := range r.crashes {
		if known.Target == c.Target && known.Ended.Sub(c.Ended).Abs() < settle {
			return false
		}
	}
	if len(r.crashes) >= crashesMost {
		if !c.Ended.After(r.crashes[0].Ended) {
			return false
		}
		l.unlink(d, r.crashes[0])
		r.crashes = r.crashes[1:]
	}
	at, _ := slices.BinarySearchFunc(r.crashes, c, func(x, c Crash) int { return x.Ended.Compare(c.Ended) })
	r.crashes = slices.Insert(r.crashes, at, c)
	if c.Ended.After(r.seen) {
		r.seen = c.Ended
	}
	if !slices.Contains(l.targets[c.Target], d) {
		l.targets[c.Target] = append(l.targets[c.Target], d)
	}
	return true
}

// hold puts a request into quarantine when its crashes ask for it.
func (l *Ledger) hold(d digest.Digest, r *record, now time.Time) {
	if !r.held.IsZero() {
		return
	}
	if l.convicted(d, r) {
		r.held = now
	}
}

// convicted reports whether a request's crashes are enough to quarantine it.
func (l *Ledger) convicted(d digest.Digest, r *record) bool {
	return convicts(l.attributed(d, r)) || len(r.crashes) >= certainCrashes && convicts(r.crashes)
}

// convicts reports whether crashes are enough to quarantine a request.
func convicts(crashes []Crash) bool {
	return len(crashes) >= quarantineCrashes && sequence(crashes) >= quarantineSequence
}

// attributed returns the crashes that count against a request. One at a target where
// another request ran that is held counts against that one alone, unless this one was
// at all crashes of the other, so that it explains them as well.
func (l *Ledger) attributed(d digest.Digest, r *record) []Crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool {
		for _, other := range l.targets[c.Target] {
			o := l.records[other]
			if other != d && !o.held.IsZero() && !o.within(r) {
				return true
			}
		}
		return false
	})
}

// within reports whether another request ran at all targets that crashed under this
// one.
func (r *record) within(other *record) bool {
	for _, c := range r.crashes {
		if !slices.ContainsFunc(other.crashes, func(x Crash) bool { return x.Target == c.Target }) {
			return false
		}
	}
	return true
}

// sequence returns the length of the longest sequence of crashes, which are in the
// order of their ends.
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

// Acquit takes in that a target answered a run, or that an operator lets the request
// run again. It reports whether that is news.
func (l *Ledger) Acquit(d digest.Digest, now time.Time) bool {
	r := l.records[d]
	if r == nil || len(r.crashes) == 0 && r.held.IsZero() {
		return false
	}
	l.acquit(d, r, now)
	return true
}

// acquit takes what happened up to a time from a request's record.
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
	if at.After(r.seen) {
		r.seen = at
	}
}

// unlink forgets that a request ran at a target that crashed.
func (l *Ledger) unlink(d digest.Digest, c Crash) {
	rest := slices.DeleteFunc(l.targets[c.Target], func(x digest.Digest) bool { return x == d })
	if len(rest) == 0 {
		delete(l.targets, c.Target)
		return
	}
	l.targets[c.Target] = rest
}

// Judgement is the verdict on a request with what it rests on.
type Judgement struct {
	Verdict Verdict
	Stored  bool          // the store has it
	Crashes int           // targets that crashed under it
	Age     time.Duration // of the last of these
	Trials  int           // that crashed a target
	// TrialIn is after how long it is tried; 0: now. Negative: never.
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
	case sequence(l.attributed(d, r)) >= suspectSequence:
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

// askedEvery is how often it is noted that a quarantined request is still asked for.
const askedEvery = keepQuarantined / 6

// Asked notes that a request is asked for. It reports whether others should know.
func (l *Ledger) Asked(d digest.Digest, now time.Time) bool {
	r := l.records[d]
	if r == nil || r.held.IsZero() || now.Sub(r.seen) < askedEvery {
		return false
	}
	r.seen = now
	return true
}

// SetStored notes that the store has a request in quarantine. It reports whether
// that is news.
func (l *Ledger) SetStored(d digest.Digest) bool {
	r := l.records[d]
	if r == nil || r.held.IsZero() || r.stored {
		return false
	}
	r.stored = true
	return true
}

// Hold puts a request into quarantine of which the store tells. It reports whether
// that is news.
func (l *Ledger) Hold(d, head digest.Digest, now time.Time) bool {
	r := l.record(d, head, now)
	if !r.held.IsZero() || now.Sub(r.acquitted) < keepAcquitted {
		return l.SetStored(d)
	}
	r.held, r.seen, r.stored, r.bare = now, now, true, len(r.crashes) == 0
	return true
}

// Unstored returns the requests in quarantine that the store does not have, with
// the time since when they are.
func (l *Ledger) Unstored() map[digest.Digest]time.Time {
	out := make(map[digest.Digest]time.Time)
	for d, r := range l.records {
		if !r.held.IsZero() && !r.stored {
			out[d] = r.held
		}
	}
	return out
}

// record returns the record of a request, which is made if there is none.
func (l *Ledger) record(d, head digest.Digest, now time.Time) *record {
	r := l.records[d]
	if r == nil {
		l.makeRoom(now)
		r = &record{}
		l.records[d] = r
	}
	if r.head == (digest.Digest{}) && head != (digest.Digest{}) {
		r.head = head
		l.heads[head]++
	}
	return r
}

// makeRoom drops a record when there are too many.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.records) < recordsMost {
		return
	}
	l.Sweep(now)
	if len(l.records) < recordsMost {
		return
	}
	first := slices.MinFunc(slices.Collect(maps.Keys(l.records)), func(a, b digest.Digest) int {
		x, y := l.records[a], l.records[b]
		return cmp.Or(cmp.Compare(x.weight(), y.weight()), x.seen.Compare(y.seen))
	})
	l.drop(first)
}

// weight orders records by how dear their loss is.
func (r *record) weight() int {
	if !r.held.IsZero() {
		return crashesMost + 1
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

// Sweep drops records that have been kept for long enough.
func (l *Ledger) Sweep(now time.Time) {
	for d, r := range l.records {
		if now.Sub(r.seen) > r.keep() {
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

// Head returns the head of a request on record whose body was streamed, else zero.
func (l *Ledger) Head(d digest.Digest) digest.Digest {
	if r := l.records[d]; r != nil {
		return r.head
	}
	return digest.Digest{}
}
