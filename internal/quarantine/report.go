package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"masticturn/internal/digest"
)

// Report is what one VM tells another of a request. Times travel as ages, since
// clocks differ; a report is younger by its way than it seems.
type Report struct {
	Digest  []byte
	Head    []byte // empty: the body was not streamed
	Crashes []ReportedCrash
	// AcquittedMS, HeldMS and SeenMS are ages in milliseconds, of which 0 means
	// never and 1 a millisecond at most.
	AcquittedMS uint32
	HeldMS      uint32
	SeenMS      uint32
	Trials      int
	Stored      bool
}

// ReportedCrash is a crash in a report.
type ReportedCrash struct {
	Target uint32
	RanMS  uint32 // from the run's begin to the crash
	AgeMS  uint32
}

// ageMost bounds ages: what is older is forgotten by all.
const ageMost = 2 * keepQuarantined

func ageOf(at, now time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(min(now.Sub(at), ageMost).Milliseconds(), 1))
}

func timeOf(ageMS uint32, now time.Time) time.Time {
	if ageMS == 0 {
		return time.Time{}
	}
	return now.Add(-min(time.Duration(ageMS)*time.Millisecond, ageMost))
}

// Report returns what is known of a request; false when it is not on record.
func (l *Ledger) Report(d digest.Digest, now time.Time) (Report, bool) {
	r := l.records[d]
	if r == nil {
		return Report{}, false
	}
	report := Report{
		Digest:      d[:],
		AcquittedMS: ageOf(r.acquitted, now),
		HeldMS:      ageOf(r.held, now),
		SeenMS:      ageOf(r.seen, now),
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

// Merged is what a report was found to be.
type Merged uint8

// What a report may be.
const (
	Known     Merged = iota // it tells nothing new
	News                    // the other VMs should hear of it
	Objection               // whoever sent it should hear what is known here
)

// Merge takes in a report. One that can't be of any VM tells nothing.
func (l *Ledger) Merge(report Report, now time.Time) Merged {
	if len(report.Digest) != digest.Size || len(report.Head) != 0 && len(report.Head) != digest.Size {
		return Known
	}
	d, head := digest.Digest(report.Digest), digest.Digest{}
	copy(head[:], report.Head)
	if !l.Has(d) && now.Sub(timeOf(report.SeenMS, now)) > report.keep() {
		return Known
	}
	r := l.record(d, head, now)
	news := false
	if at := timeOf(report.AcquittedMS, now); at.After(r.acquitted.Add(settle)) {
		l.acquit(d, r, at)
		news = true
	}
	for _, c := range report.Crashes {
		ended := timeOf(max(c.AgeMS, 1), now)
		news = l.addCrash(d, r, Crash{c.Target, ended.Add(-time.Duration(c.RanMS) * time.Millisecond), ended}) || news
	}
	taken, refuted := l.takeHeld(d, r, &report, now)
	news = news || taken
	if at := timeOf(report.SeenMS, now); at.After(r.seen.Add(askedEvery)) {
		r.seen = at
		news = true
	}
	if report.Stored {
		news = l.SetStored(d) || news
	}
	l.hold(d, r, now)
	switch {
	case refuted && r.held.IsZero():
		return Objection
	case news:
		return News
	}
	return Known
}

// takeHeld takes in since when others hold the request. Where crashes are told, they
// must be enough without those before the acquittal and those that another request
// explains, of which the other VM may not have heard: else it is refuted.
func (l *Ledger) takeHeld(d digest.Digest, r *record, report *Report, now time.Time) (taken, refuted bool) {
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

// keep is how long what a report tells of is kept.
func (r *Report) keep() time.Duration {
	like := record{crashes: make([]Crash, min(len(r.Crashes), crashesMost))}
	if r.HeldMS != 0 {
		like.held = time.Unix(1, 0)
	}
	return like.keep()
}

// Suspicious returns the requests that VMs tell each other of again and again: all
// but those under which a single target has crashed.
func (l *Ledger) Suspicious() []digest.Digest {
	var out []digest.Digest
	for d, r := range l.records {
		if r.weight() >= suspectSequence {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b digest.Digest) int { return bytes.Compare(a[:], b[:]) })
	return out
}

// All returns all requests on record, sorted.
func (l *Ledger) All() []digest.Digest {
	out := slices.Collect(maps.Keys(l.records))
	slices.SortFunc(out, func(a, b digest.Digest) int { return bytes.Compare(a[:], b[:]) })
	return out
}
