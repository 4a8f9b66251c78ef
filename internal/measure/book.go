package measure

import (
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
)

// Sign is a source that can say that a target is leaving. Any one suffices.
type Sign uint8

// The signs of leaving.
const (
	SignDocument Sign = iota // operators say so in the document
	SignPlatform             // the platform's list says so
	SignHealth               // the health endpoint says so
	SignAnswer               // the target said so on an answer
	signCount
)

// Rules of the book.
const (
	// downAfter is the number of failed probes in a row after which a target
	// counts as down.
	downAfter = 2
	// clearAfter is the number of probes in a row that must say otherwise
	// before the health endpoint's word that a target is leaving is dropped.
	clearAfter = 3
	// answerHold is how long the word of a target on an answer stands against
	// a health endpoint that says otherwise. It is renewed by each such answer.
	answerHold = 30 * time.Second
	// reportedHold is how long a sign stands that another member reports: the
	// platform's list, or a target's word on an answer. Who saw the sign renews
	// it with each report, so that members that start later hear of it too.
	reportedHold = 5 * time.Second
)

// Probe is the result of one probe of a target, or a report of one.
type Probe struct {
	Target   string
	Reporter string // VM that probed
	OK       bool
	Status   edge.TargetStatus
	InFlight int // -1 unknown
	Slots    int
	Queued   int
	At       time.Time // by this daemon's clock, less the report's age on the way
}

// Book keeps what is believed of each target and why. It does no I/O and is
// not safe for concurrent use.
type Book struct {
	entries map[string]*entry
	stale   time.Duration
	cold    time.Duration
	dirty   bool
	version uint64
}

type entry struct {
	state     TargetState
	probes    map[string]Probe // last probe of each reporter
	failures  int              // failed probes in a row, over all reporters
	clear     int              // probes in a row that did not say draining
	signs     [signCount]bool
	until     [signCount]time.Time // when the signs that are held run out
	seenUntil time.Time            // how long the target's word to this daemon stands
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{entries: make(map[string]*entry)}
}

// Configure takes over a document: targets it no longer names are dropped.
func (b *Book) Configure(snap *config.Snapshot) {
	b.stale = snap.Document.Steering.StaleMS.Duration()
	b.cold = snap.Document.Steering.ColdMS.Duration()
	for name := range b.entries {
		if snap.Target(name) == nil {
			delete(b.entries, name)
		}
	}
	for _, svc := range snap.Services() {
		for _, t := range svc.AllTargets {
			b.setSign(b.entry(t.Name), SignDocument, t.Leaving)
		}
	}
	b.dirty = true
}

// Reported takes over that a member reports a sign of the targets leaving. It
// stands for reportedHold, or longer where it stood longer already.
func (b *Book) Reported(s Sign, leaving []string, now time.Time) {
	until := now.Add(reportedHold)
	for _, name := range leaving {
		if e, ok := b.entries[name]; ok && e.until[s].Before(until) {
			b.hold(e, s, until)
		}
	}
}

// Seen returns the targets whose word on an answer to this daemon stands.
func (b *Book) Seen(now time.Time) []string {
	var names []string
	for name, e := range b.entries {
		if now.Before(e.seenUntil) {
			names = append(names, name)
		}
	}
	return names
}

// Probed takes a probe's result. Older results of the same reporter are
// ignored.
func (b *Book) Probed(p Probe, now time.Time) {
	e, ok := b.entries[p.Target]
	if !ok {
		return
	}
	if last, ok := e.probes[p.Reporter]; ok && !p.At.After(last.At) {
		return
	}
	e.probes[p.Reporter] = p
	if p.OK {
		b.probeSucceeded(e, p, now)
	} else {
		e.failures++
	}
	b.dropStale(e, now)
	b.evaluate(e)
}

func (b *Book) probeSucceeded(e *entry, p Probe, now time.Time) {
	e.failures = 0
	if p.Status == edge.TargetDraining {
		e.clear = 0
		b.setSign(e, SignHealth, true)
	} else if e.clear++; e.clear >= clearAfter {
		b.setSign(e, SignHealth, false)
	}
	cold := p.Status == edge.TargetCold || e.state.Health == Down
	if cold && e.state.ColdSince.IsZero() {
		e.state.ColdSince = now
	}
	if p.At.After(e.state.MeasuredAt) {
		e.state.MeasuredAt = p.At
		e.state.InFlight, e.state.Slots, e.state.Queued = p.InFlight, p.Slots, p.Queued
	}
}

// Observed takes a target's word on an answer to this daemon.
func (b *Book) Observed(o Observation, now time.Time) {
	e, ok := b.entries[o.Target]
	if !ok {
		return
	}
	if o.Draining {
		e.seenUntil = now.Add(answerHold)
		b.hold(e, SignAnswer, e.seenUntil)
	}
	if o.InFlight >= 0 {
		e.state.InFlight = o.InFlight
		e.state.MeasuredAt = now
		if o.Slots > 0 {
			e.state.Slots = o.Slots
		}
	}
	b.evaluate(e)
}

// Tick lets holds expire and targets warm up.
func (b *Book) Tick(now time.Time) {
	for _, e := range b.entries {
		b.lapse(e, SignAnswer, now)
		b.lapse(e, SignPlatform, now)
		if !e.state.ColdSince.IsZero() && now.Sub(e.state.ColdSince) >= b.cold {
			e.state.ColdSince = time.Time{}
			b.evaluate(e)
		}
	}
}

// Leaving reports whether any sign says that the target is leaving.
func (b *Book) Leaving(target string) bool {
	e, ok := b.entries[target]
	return ok && e.leaving()
}

// Snapshot returns a new view, or nil when nothing changed since the last.
func (b *Book) Snapshot() *View {
	if !b.dirty {
		return nil
	}
	b.dirty = false
	b.version++
	v := &View{Version: b.version, Targets: make(map[string]TargetState, len(b.entries))}
	for name, e := range b.entries {
		v.Targets[name] = e.state
	}
	return v
}

func (b *Book) entry(name string) *entry {
	e, ok := b.entries[name]
	if !ok {
		e = &entry{state: TargetState{Target: name, InFlight: -1}, probes: make(map[string]Probe)}
		b.entries[name] = e
	}
	return e
}

// hold turns a sign on until a time.
func (b *Book) hold(e *entry, s Sign, until time.Time) {
	e.until[s] = until
	b.setSign(e, s, true)
}

// lapse turns a held sign off once its time has come.
func (b *Book) lapse(e *entry, s Sign, now time.Time) {
	if e.signs[s] && !now.Before(e.until[s]) {
		b.setSign(e, s, false)
	}
}

func (b *Book) setSign(e *entry, s Sign, on bool) {
	if e.signs[s] != on {
		e.signs[s] = on
		b.dirty = true
		e.state.Health = e.health()
	}
}

// dropStale forgets reporters that have gone silent, so that their last word
// does not stand against fresh ones.
func (b *Book) dropStale(e *entry, now time.Time) {
	for reporter, p := range e.probes {
		if now.Sub(p.At) > b.stale {
			delete(e.probes, reporter)
		}
	}
}

func (b *Book) evaluate(e *entry) {
	e.state.Health = e.health()
	b.dirty = true
}

// health derives the belief from signs and probes. A target is down when no
// reporter reached it lately; one that cannot reach it while another can is
// cut off itself. Without fresh probes the last belief stands, and its age
// tells.
func (e *entry) health() Health {
	if e.leaving() {
		return Draining
	}
	reached := false
	for _, p := range e.probes {
		reached = reached || p.OK
	}
	switch {
	case reached && !e.state.ColdSince.IsZero():
		return Cold
	case reached:
		return Healthy
	case e.failures >= downAfter:
		return Down
	case e.state.Health == Draining:
		return Unmeasured
	default:
		return e.state.Health
	}
}

func (e *entry) leaving() bool {
	for _, on := range e.signs {
		if on {
			return true
		}
	}
	return false
}
