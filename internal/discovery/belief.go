package discovery

import (
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
	targets  map[string]*known
	zones    map[string]bool
	listed   map[platform.Kind]bool // kinds of which a whole list was seen
	regained time.Time              // when the store last came back
}

func newBelief(d Decoder, places map[string]string) *belief {
	return &belief{decoder: d, places: places, listed: make(map[platform.Kind]bool), targets: make(map[string]*known), zones: make(map[string]bool)}
}

// setDocument takes in the document's object. It reports whether a newer
// document is in force; an error leaves the present one.
func (b *belief) setDocument(m *Mirror) (bool, error) {
	o, ok := m.Get(b.decoder.Kinds().DocumentName)
	if !ok {
		return false, nil // what was in force stays so
	}
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

// setZones takes in the evacuated availability zones.
func (b *belief) setZones(m *Mirror, now time.Time) {
	before := b.zones
	b.zones = make(map[string]bool)
	for _, o := range m.Objects() {
		b.zones[o.Name] = true
	}
	for _, k := range b.targets {
		if before[k.Zone] && !b.zones[k.Zone] {
			k.chill(now.Add(returnHold))
		}
	}
}

// chill makes a target count as cold at least until a time.
func (k *known) chill(until time.Time) {
	if until.After(k.coldUntil) {
		k.coldUntil = until
	}
}

// setTargets takes in the targets' entries. It returns the errors of entries
// that can't be read, which are passed over.
func (b *belief) setTargets(m *Mirror, now time.Time) []error {
	var errs []error
	seen := make(map[string]bool)
	for _, o := range m.Objects() {
		seen[o.Name] = true
		t, err := b.decoder.Target(o)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		b.setTarget(t, o.Version, now)
	}
	b.missAll(seen, now)
	return errs
}

// setTarget takes in one entry. The time a target stays cold counts from when
// its entry is seen, which errs to the long side. A target that comes to be
// while this VM watches is cold for as long as its service's targets are, as
// it may have written its entry with less.
func (b *belief) setTarget(t Target, version platform.Version, now time.Time) {
	k := b.targets[t.Instance]
	if k == nil {
		k = &known{}
		b.targets[t.Instance] = k
		if b.listed[b.decoder.Kinds().Targets] {
			k.chill(now.Add(b.coldTime(t.Service)))
		}
	}
	if t.Cold > 0 && version != k.version {
		k.chill(now.Add(t.Cold))
	}
	k.Target = t
	k.version = version
	k.vanished = time.Time{}
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
	for name, k := range b.targets {
		state := "ready"
		switch {
		case k.Leaving:
			state = "leaving"
		case !k.vanished.IsZero():
			state = "missing"
		case !k.coldUntil.IsZero():
			state = "cold for " + k.Cold.String()
		}
		out[name] = k.Service + " at " + k.Address + " in " + k.Zone + " " + state
	}
	return out
}
