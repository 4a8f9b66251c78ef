package quarantine

import (
	"bytes"
	"slices"
	"time"

	"masticturn/internal/digest"
)

// Report is a record on the wire. Times are sent as ages since clocks differ; the
// transit time is not added.
type Report struct {
	Digest  []byte
	Head    []byte // empty: the request has no body
	Crashes []ReportedCrash
	// AcquittedMS, HeldMS and SeenMS are ages in milliseconds, rounded up; 0: never.
	AcquittedMS uint32
	HeldMS      uint32
	SeenMS      uint32
	Trials      int
	Stored      bool
}

// ReportedCrash is a crash in a report.
type ReportedCrash struct {
	Target uint32
	RanMS  uint32 // duration of the run
	AgeMS  uint32
}

// maxAge bounds ages; older events have expired everywhere.
const maxAge = 2 * keepQuarantined

func ageOf(at, now time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(min(now.Sub(at), maxAge).Milliseconds(), 1))
}

func timeOf(ageMS uint32, now time.Time) time.Time {
	if ageMS == 0 {
		return time.Time{}
	}
	return now.Add(-min(time.Duration(ageMS)*time.Millisecond, maxAge))
}

// Report returns the record of a request; false if there is none.
func (l *Ledger) Report(d digest.Digest, now time.Time) (Report, bool) {
	r := l.records[d]
	if r == nil {
		return Report{}, false
	}
	report := Report{
		Digest:      d[:],
		AcquittedMS: ageOf(r.acquitted, now),
		HeldMS:      ageOf(r.held, now),
		SeenMS:      ageOf(r.lastSeen, now),
		Trials:      r.trials,
		Stored:      r.stored,
	}
	if r.head != (digest.Digest{}) {
		report.Head = r.head[:]
	}
	for _, c := range r.crashes {
		report.Crashes = append(report.Crashes, ReportedCrash{c.Target, ageOf(c.Began, c.Ended), ageOf(c.Ended, now)})
	}
	return report, true
}

// MergeResult is the effect of a report.
type MergeResult uint8

// The effects of a report.
const (
	Unchanged MergeResult = iota // nothing new
	Updated                      // to be forwarded to other VMs
	Refuted                      // the local record is to be sent back
)

// Merge merges a report. Malformed reports are ignored.
func (l *Ledger) Merge(report Report, now time.Time) MergeResult {
	if len(report.Digest) != digest.Size || len(report.Head) != 0 && len(report.Head) != digest.Size {
		return Unchanged
	}
	d, head := digest.Digest(report.Digest), digest.Digest{}
	copy(head[:], report.Head)
	if !l.Has(d) && now.Sub(timeOf(report.SeenMS, now)) > report.keep() {
		return Unchanged
	}
	r := l.record(d, head, now)
	news := false
	if at := timeOf(report.AcquittedMS, now); at.After(r.acquitted.Add(clockTolerance)) {
		l.acquit(d, r, at)
		news = true
	}
	for _, c := range report.Crashes {
		ended := timeOf(max(c.AgeMS, 1), now)
		news = l.addCrash(d, r, Crash{c.Target, ended.Add(-time.Duration(c.RanMS) * time.Millisecond), ended}) || news
	}
	taken, refuted := l.mergeHeld(d, r, &report, now)
	news = news || taken
	if at := timeOf(report.SeenMS, now); at.After(r.lastSeen.Add(seenInterval)) {
		r.lastSeen = at
		news = true
	}
	if report.Stored {
		news = l.SetStored(d) || news
	}
	l.hold(d, r, now)
	switch {
	case refuted && r.held.IsZero():
		return Refuted
	case news:
		return Updated
	}
	return Unchanged
}

// mergeHeld adopts another VM's quarantine. It is refuted if the crashes do not suffice
// after local acquittals and explanations, which the other VM may not know.
func (l *Ledger) mergeHeld(d digest.Digest, r *record, report *Report, now time.Time) (taken, refuted bool) {
	at := timeOf(report.HeldMS, now)
	if at.IsZero() || !r.held.IsZero() && report.Trials <= r.trials {
		return false, false
	}
	bare := len(report.Crashes) == 0
	if bare && !at.After(r.acquitted) || !bare && !l.convicted(d, r) {
		return false, true
	}
	r.bare = bare && r.held.IsZero()
	r.held = at
	r.trials = max(r.trials, report.Trials)
	return true, false
}

// keep returns the retention of the reported record.
func (r *Report) keep() time.Duration {
	like := record{crashes: make([]Crash, min(len(r.Crashes), maxCrashes))}
	if r.HeldMS != 0 {
		like.held = time.Unix(1, 0)
	}
	return like.keep()
}

// Suspicious returns the requests with more than one crash, and those held, sorted.
func (l *Ledger) Suspicious() []digest.Digest {
	var out []digest.Digest
	for d, r := range l.records {
		if r.severity() >= suspectSequence {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b digest.Digest) int { return bytes.Compare(a[:], b[:]) })
	return out
}
