package quarantine

import (
	"bytes"
	"slices"
	"time"

	"masticturn/internal/digest"
)

// Report is the wire format of a record. Times are sent as ages because clocks differ;
// transit time is not accounted for.
type Report struct {
	Digest  []byte
	Head    []byte // empty if the request has no body
	Crashes []ReportedCrash
	// ClearedMS, QuarantinedMS and SeenMS are ages in milliseconds, rounded up; 0: never.
	ClearedMS     uint32
	QuarantinedMS uint32
	SeenMS        uint32
	FailedTrials  int
	Stored        bool
}

// ReportedCrash is a crash in a report.
type ReportedCrash struct {
	Target uint32
	RanMS  uint32 // duration of the run
	AgeMS  uint32
}

// maxReportedAge is the maximum age in a report. Older events have expired on all VMs.
const maxReportedAge = 2 * quarantineRetention

func ageOf(at, now time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(min(now.Sub(at), maxReportedAge).Milliseconds(), 1))
}

func timeOf(ageMS uint32, now time.Time) time.Time {
	if ageMS == 0 {
		return time.Time{}
	}
	return now.Add(-min(time.Duration(ageMS)*time.Millisecond, maxReportedAge))
}

// Report returns a report of the record of a request, or false if there is none.
func (l *Ledger) Report(d digest.Digest, now time.Time) (Report, bool) {
	r := l.records[d]
	if r == nil {
		return Report{}, false
	}
	report := Report{
		Digest:        d[:],
		ClearedMS:     ageOf(r.clearedAt, now),
		QuarantinedMS: ageOf(r.quarantinedAt, now),
		SeenMS:        ageOf(r.lastSeen, now),
		FailedTrials:  r.failedTrials,
		Stored:        r.stored,
	}
	if r.head != (digest.Digest{}) {
		report.Head = r.head[:]
	}
	for _, c := range r.crashes {
		report.Crashes = append(report.Crashes, ReportedCrash{c.Target, ageOf(c.Began, c.Ended), ageOf(c.Ended, now)})
	}
	return report, true
}

// MergeResult is the effect of merging a report.
type MergeResult uint8

// The effects of merging a report.
const (
	Unchanged MergeResult = iota // the record did not change
	Updated                      // the record changed and must be forwarded to other VMs
	Refuted                      // the local record contradicts the report and must be sent back
)

// Merge merges a report into the ledger. Malformed and expired reports are ignored.
func (l *Ledger) Merge(report Report, now time.Time) MergeResult {
	if len(report.Digest) != digest.Size || len(report.Head) != 0 && len(report.Head) != digest.Size {
		return Unchanged
	}
	d, head := digest.Digest(report.Digest), digest.Digest{}
	copy(head[:], report.Head)
	if !l.Has(d) && now.Sub(timeOf(report.SeenMS, now)) > report.retention() {
		return Unchanged
	}
	r := l.record(d, head, now)
	changed := false
	if at := timeOf(report.ClearedMS, now); at.After(r.clearedAt.Add(clockTolerance)) {
		l.clearRecord(d, r, at)
		changed = true
	}
	for _, c := range report.Crashes {
		ended := timeOf(max(c.AgeMS, 1), now)
		changed = l.addCrash(d, r, Crash{c.Target, ended.Add(-time.Duration(c.RanMS) * time.Millisecond), ended}) || changed
	}
	adopted, refuted := l.mergeQuarantine(d, r, &report, now)
	changed = changed || adopted
	if at := timeOf(report.SeenMS, now); at.After(r.lastSeen.Add(lastSeenResolution)) {
		r.lastSeen = at
		changed = true
	}
	if report.Stored {
		changed = l.SetStored(d) || changed
	}
	l.quarantineIfDue(d, r, now)
	switch {
	case refuted && r.quarantinedAt.IsZero():
		return Refuted
	case changed:
		return Updated
	}
	return Unchanged
}

// mergeQuarantine adopts a quarantine reported by another VM. It refutes the report if the
// crashes do not reach the thresholds given what this VM knows, such as answered runs and
// crashes caused by other requests, of which the other VM may not have learned.
func (l *Ledger) mergeQuarantine(d digest.Digest, r *record, report *Report, now time.Time) (adopted, refuted bool) {
	at := timeOf(report.QuarantinedMS, now)
	if at.IsZero() || !r.quarantinedAt.IsZero() && report.FailedTrials <= r.failedTrials {
		return false, false
	}
	withoutCrashes := len(report.Crashes) == 0
	if withoutCrashes && !at.After(r.clearedAt) || !withoutCrashes && !l.shouldQuarantine(d, r) {
		return false, true
	}
	r.withoutCrashes = withoutCrashes && r.quarantinedAt.IsZero()
	r.quarantinedAt = at
	r.failedTrials = max(r.failedTrials, report.FailedTrials)
	return true, false
}

// retention returns the retention of a record with the reported contents.
func (r *Report) retention() time.Duration {
	rec := record{crashes: make([]Crash, min(len(r.Crashes), maxCrashesPerRecord))}
	if r.QuarantinedMS != 0 {
		rec.quarantinedAt = time.Unix(1, 0)
	}
	return rec.retention()
}

// Suspicious returns the requests with more than one crash and those in quarantine,
// sorted by digest.
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
