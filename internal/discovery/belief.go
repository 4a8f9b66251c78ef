package discovery

import (
	"maps"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/platform"
)

// rejoinGrace is how long entries of targets that are missing when the store is
// back after an outage are still believed: entries that lapsed meanwhile are
// written again within about two seconds if their targets live.
const rejoinGrace = 2200 * time.Millisecond

// belief turns mirrors into what is believed. It does no I/O and is not safe
// for concurrent use.
type belief struct {
	decoder  Decoder
	places   map[string]string
	document *config.Document
	gen      config.Generation

	documentRead platform.Version // version of the stored document that was read last

	targets  map[string]*known           // by id; those whose entry could be read once
	read     map[string]platform.Version // by id; the version of its entry that was read
	starts   map[string]int64            // by id; the latest start heard of, also of targets that are gone
	zones    map[string]bool
	listed   map[platform.Kind]bool // kinds of which a whole list was seen
	regained time.Time              // when the store last came back
}

func newBelief(d Decoder, places map[string]string) *belief {
	return &belief{
		decoder: d,
		places:  places,
		targets: make(map[string]*known),
		read:    make(map[string]platform.Version),
		starts:  make(map[string]int64),
		zones:   make(map[string]bool),
		listed:  make(map[platform.Kind]bool),
	}
}

// setDocument takes in the document's object. It reports whether a newer
// document is in force; an error leaves the present one.
func (b *belief) setDocument(m *Mirror) (bool, error) {
	o, ok := m.Get(b.decoder.Kinds().DocumentName)
	if !ok || o.Version == b.documentRead {
		return false, nil // what was in force stays so
	}
	b.documentRead = o.Version
	doc, gen, err := b.decoder.Document(o)
	if err != nil || gen <= b.gen {
		return false, err
	}
	b.document, b.gen = doc, gen
	return true, nil
}

// returnHold is how long the targets of a zone that is taken back count as
// cold at least: the news that they are cold may come by another watch, which
// takes up to two pauses between calls longer.
const returnHold = time.Second

// setZones takes in the evacuated availability zones and returns those that the
// deployment does not have, which harm nothing. That an object stands at a zone
// is all that counts: what it holds is not read, so that a zone whose entry
// nobody can read stays evacuated, as its operator wants it at least empty.
func (b *belief) setZones(m *Mirror, now time.Time) (unknown []string) {
	before := b.zones
	b.zones = make(map[string]bool)
	for _, o := range m.Objects() {
		if b.places[o.Name] == "" {
			unknown = append(unknown, o.Name)
			continue
		}
		b.zones[o.Name] = true
	}
	for _, k := range b.targets {
		if before[k.Zone] && !b.zones[k.Zone] {
			k.chill(now.Add(returnHold))
		}
	}
	return unknown
}

// chill makes a target count as cold at least until a time.
func (k *known) chill(until time.Time) {
	if until.After(k.coldUntil) {
		k.coldUntil = until
	}
}

// entryFault is an entry that names no target to use.
type entryFault struct {
	name string
	err  error
}

// setTargets takes in the targets' entries. It returns the faults of those that
// were read now: such an entry names no target to use, whatever it named
// before, and the others hold.
func (b *belief) setTargets(m *Mirror, now time.Time) []entryFault {
	var faults []entryFault
	seen := make(map[string]bool)
	for _, o := range m.Objects() {
		seen[o.Name] = true
		if version, ok := b.read[o.Name]; ok && version == o.Version {
			continue
		}
		b.read[o.Name] = o.Version
		if err := b.readTarget(o, now); err != nil {
			faults = append(faults, entryFault{o.Name, err})
		}
	}
	maps.DeleteFunc(b.read, func(name string, _ platform.Version) bool { return !seen[name] })
	b.missAll(seen, now)
	return faults
}

// readTarget takes in one entry that changed.
func (b *belief) readTarget(o platform.Object, now time.Time) error {
	t, err := b.decoder.Target(o)
	if err == nil {
		err = t.check(b.places)
	}
	if err == nil && t.Born == 0 && b.starts[o.Name] != 0 {
		err = &FieldError{"start", "none", "the time of a start, as the id has told one before"}
	}
	if k := b.targets[o.Name]; k != nil {
		k.unreadable = err != nil
	}
	if err != nil {
		return err
	}
	b.setTarget(t, now)
	return nil
}

// lateReports is how long a report of a target may be overtaken by one that it
// sent later: writes whose answer is lost are done up to six seconds later.
const lateReports = 10 * time.Second

// setTarget takes in one entry. The time a target stays cold counts from when
// its entry is seen, which errs to the long side. A start that this VM hears of
// while it watches is cold for as long as its service's targets are, as it may
// have written its entry with less. An older start than one known, or an older
// report of the same start, changes nothing.
func (b *belief) setTarget(t Target, now time.Time) {
	if t.Born < b.starts[t.Instance] {
		return
	}
	b.noteStart(&t)
	k := b.targets[t.Instance]
	if k != nil && k.Born == t.Born && t.Born != 0 && t.Sequence < k.Sequence && now.Sub(k.reported) <= lateReports {
		k.vanished = time.Time{}
		return
	}
	if k == nil || k.Born != t.Born {
		k = &known{}
		b.targets[t.Instance] = k
		if b.listed[b.decoder.Kinds().Targets] {
			k.chill(now.Add(b.coldTime(t.Service)))
		}
	}
	if t.Cold > 0 {
		k.chill(now.Add(t.Cold))
	}
	k.Target = t
	k.reported = now
	k.vanished = time.Time{}
}

// startsMost bounds the memory of the starts of targets that are gone. It covers
// those of a few releases of a large deployment.
const startsMost = 8192

// noteStart notes the latest start of an id.
func (b *belief) noteStart(t *Target) {
	if t.Born == 0 {
		return
	}
	if len(b.starts) >= startsMost {
		maps.DeleteFunc(b.starts, func(id string, _ int64) bool { return b.targets[id] == nil })
	}
	b.starts[t.Instance] = t.Born
}

func (b *belief) coldTime(service string) time.Duration {
	if b.document == nil {
		return 0
	}
	for i := range b.document.Services {
		if b.document.Services[i].Name == service {
			return b.document.Services[i].ColdMS.Duration()
		}
	}
	return 0
}

// lapsedShare is the part of all targets that must be missing at once for their
// entries to have lapsed while the store was away: then all lapse. Fewer are
// missing after an outage that only this VM saw, and are gone.
const lapsedShare = 0.3

// missAll handles the targets whose entries are gone: they leave at once,
// unless the entries lapsed in an outage of the store.
func (b *belief) missAll(seen map[string]bool, now time.Time) {
	var missing []string
	for name := range b.targets {
		if !seen[name] {
			missing = append(missing, name)
		}
	}
	lapsed := now.Sub(b.regained) <= rejoinGrace && float64(len(missing)) >= lapsedShare*float64(len(b.targets))
	for _, name := range missing {
		k := b.targets[name]
		if !lapsed || k.Leaving {
			delete(b.targets, name)
			continue
		}
		if k.vanished.IsZero() {
			k.vanished = now
		}
	}
}

// missing reports whether targets are believed in whose entries are gone.
func (b *belief) missing() bool {
	for _, k := range b.targets {
		if !k.vanished.IsZero() {
			return true
		}
	}
	return false
}

// expire drops the targets that did not come back in time. It reports whether
// there were any.
func (b *belief) expire(now time.Time) bool {
	dropped := false
	for name, k := range b.targets {
		if !k.vanished.IsZero() && now.Sub(b.regained) > rejoinGrace {
			delete(b.targets, name)
			dropped = true
		}
	}
	return dropped
}

// view returns what is believed, with this VM's shares; nil until there is a
// document and targets and evacuated zones were listed: a VM that starts must not
// send to a zone of whose evacuation it has not heard yet.
func (b *belief) view(shares func() (config.Fleet, config.Retry)) *View {
	kinds := b.decoder.Kinds()
	if b.document == nil || !b.listed[kinds.Targets] || !b.listed[kinds.Evacuations] {
		return nil
	}
	doc := *b.document
	doc.Fleet, doc.Retry = shares()
	config.SetDefaults(&doc)
	return assemble(&doc, b.gen, b.places, b.targets, b.zones)
}

// states tells each target's state, for logs.
func (b *belief) states() map[string]string {
	out := make(map[string]string, len(b.targets))
	for _, k := range b.targets {
		state := "ready"
		switch {
		case k.unreadable:
			state = "unreadable"
		case k.Leaving:
			state = "leaving"
		case !k.vanished.IsZero():
			state = "missing"
		case !k.coldUntil.IsZero():
			state = "cold for " + k.Cold.String()
		}
		out[k.Name()] = k.Service + " at " + k.Address + " in " + k.Zone + " " + state
	}
	return out
}
