package discovery

import (
	"maps"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/customer"
	"masticturn/internal/platform"
)

// rejoinGrace is how long targets without an entry are kept after an outage of the store.
// Live targets write lapsed entries again within about two seconds.
const rejoinGrace = 2200 * time.Millisecond

// catalog is the document, targets and evacuated zones known to this VM, built from
// mirrors. It does no I/O and is not safe for concurrent use.
type catalog struct {
	decoder   Decoder
	places    map[string]string
	document  *config.Document
	customers *customer.Directory
	gen       config.Generation

	documentRead platform.Version // last one read

	targets  map[string]*catalogEntry    // by id
	read     map[string]platform.Version // by id; version of the entry
	starts   map[string]int64            // by id; the latest one, also of targets without an entry
	zones    map[string]bool
	listed   map[platform.Kind]bool // kinds with a complete list
	regained time.Time              // end of the last outage
}

func newCatalog(d Decoder, places map[string]string) *catalog {
	return &catalog{
		decoder: d,
		places:  places,
		targets: make(map[string]*catalogEntry),
		read:    make(map[string]platform.Version),
		starts:  make(map[string]int64),
		zones:   make(map[string]bool),
		listed:  make(map[platform.Kind]bool),
	}
}

// setDocument applies the document's object. It reports whether a newer document is in
// force; on an error the present one stays.
func (c *catalog) setDocument(m *Mirror) (bool, error) {
	o, ok := m.Get(c.decoder.Kinds().DocumentName)
	if !ok || o.Version == c.documentRead {
		return false, nil
	}
	c.documentRead = o.Version
	read, err := c.decoder.Document(o)
	if err != nil || read.Generation <= c.gen {
		return false, err
	}
	c.document, c.customers, c.gen = read.Document, read.Customers, read.Generation
	return true, nil
}

// returnHold is how long targets of a zone that is no longer evacuated count as cold at
// least, as their own entries may arrive later.
const returnHold = time.Second

// setZones applies the evacuated availability zones and returns unknown ones. The content
// of an object is not read: its existence evacuates the zone.
func (c *catalog) setZones(m *Mirror, now time.Time) (unknown []string) {
	before := c.zones
	c.zones = make(map[string]bool)
	for _, o := range m.Objects() {
		if c.places[o.Name] == "" {
			unknown = append(unknown, o.Name)
			continue
		}
		c.zones[o.Name] = true
	}
	for _, k := range c.targets {
		if before[k.Zone] && !c.zones[k.Zone] {
			k.markCold(now.Add(returnHold))
		}
	}
	return unknown
}

// markCold makes a target count as cold at least until a time.
func (k *catalogEntry) markCold(until time.Time) {
	if until.After(k.coldUntil) {
		k.coldUntil = until
	}
}

// entryFault is an invalid entry.
type entryFault struct {
	name string
	err  error
}

// setTargets applies the targets' entries and returns the faults of those read now. An
// invalid entry makes its target unusable; the others hold.
func (c *catalog) setTargets(m *Mirror, now time.Time) []entryFault {
	var faults []entryFault
	seen := make(map[string]bool)
	for _, o := range m.Objects() {
		seen[o.Name] = true
		if version, ok := c.read[o.Name]; ok && version == o.Version {
			continue
		}
		c.read[o.Name] = o.Version
		if err := c.readTarget(o, now); err != nil {
			faults = append(faults, entryFault{o.Name, err})
		}
	}
	maps.DeleteFunc(c.read, func(name string, _ platform.Version) bool { return !seen[name] })
	c.markMissing(seen, now)
	return faults
}

// readTarget applies a changed entry.
func (c *catalog) readTarget(o platform.Object, now time.Time) error {
	t, err := c.decoder.Target(o)
	if err == nil {
		err = t.check(c.places)
	}
	if err == nil && t.Born == 0 && c.starts[o.Name] != 0 {
		err = &FieldError{"start", "none", "the time of a start, as an earlier entry of the id has one"}
	}
	if k := c.targets[o.Name]; k != nil {
		k.unreadable = err != nil
	}
	if err != nil {
		return err
	}
	c.setTarget(t, now)
	return nil
}

// lateReports is how long a report may be overtaken by a later one, as the store may apply
// a write seconds after its answer was lost.
const lateReports = 10 * time.Second

// setTarget applies an entry. Cold time counts from its arrival. A new start is cold for the
// service's cold time, as its entry may state less. Older starts, and older reports of the
// same start, are ignored.
func (c *catalog) setTarget(t Target, now time.Time) {
	if t.Born < c.starts[t.Instance] {
		return
	}
	c.recordStart(&t)
	k := c.targets[t.Instance]
	if k != nil && k.Born == t.Born && t.Born != 0 && t.Sequence < k.Sequence && now.Sub(k.reported) <= lateReports {
		k.vanished = time.Time{}
		return
	}
	if k == nil || k.Born != t.Born {
		k = &catalogEntry{}
		c.targets[t.Instance] = k
		if c.listed[c.decoder.Kinds().Targets] {
			k.markCold(now.Add(c.coldTime(t.Service)))
		}
	}
	if t.Cold > 0 {
		k.markCold(now.Add(t.Cold))
	}
	k.Target = t
	k.reported = now
	k.vanished = time.Time{}
}

// maxStarts bounds the recorded starts of targets without an entry.
const maxStarts = 8192

// recordStart records an instance's latest start.
func (c *catalog) recordStart(t *Target) {
	if t.Born == 0 {
		return
	}
	if len(c.starts) >= maxStarts {
		maps.DeleteFunc(c.starts, func(id string, _ int64) bool { return c.targets[id] == nil })
	}
	c.starts[t.Instance] = t.Born
}

func (c *catalog) coldTime(service string) time.Duration {
	if c.document == nil {
		return 0
	}
	for i := range c.document.Services {
		if c.document.Services[i].Name == service {
			return c.document.Services[i].ColdMS.Duration()
		}
	}
	return 0
}

// lapsedShare is the share of all targets that must miss at once for their entries to count
// as lapsed in an outage of the store. Fewer missing ones are gone.
const lapsedShare = 0.3

// markMissing drops targets without an entry, or keeps them for rejoinGrace if the entries
// lapsed in an outage.
func (c *catalog) markMissing(seen map[string]bool, now time.Time) {
	var missing []string
	for name := range c.targets {
		if !seen[name] {
			missing = append(missing, name)
		}
	}
	lapsed := now.Sub(c.regained) <= rejoinGrace && float64(len(missing)) >= lapsedShare*float64(len(c.targets))
	for _, name := range missing {
		k := c.targets[name]
		if !lapsed || k.Leaving {
			delete(c.targets, name)
			continue
		}
		if k.vanished.IsZero() {
			k.vanished = now
		}
	}
}

// missing reports whether targets without an entry are kept.
func (c *catalog) missing() bool {
	for _, k := range c.targets {
		if !k.vanished.IsZero() {
			return true
		}
	}
	return false
}

// expire drops missing targets after rejoinGrace. It reports whether there were any.
func (c *catalog) expire(now time.Time) bool {
	dropped := false
	for name, k := range c.targets {
		if !k.vanished.IsZero() && now.Sub(c.regained) > rejoinGrace {
			delete(c.targets, name)
			dropped = true
		}
	}
	return dropped
}

// view returns the catalog with this VM's shares; nil until all kinds have been listed. Before
// that a VM could send to an evacuated zone.
func (c *catalog) view(shares func() (config.Fleet, config.Retry)) *View {
	kinds := c.decoder.Kinds()
	if c.document == nil || !c.listed[kinds.Targets] || !c.listed[kinds.Evacuations] {
		return nil
	}
	doc := *c.document
	doc.Fleet, doc.Retry = shares()
	config.SetDefaults(&doc)
	v := assemble(&doc, c.gen, c.places, c.targets, c.zones)
	v.Snapshot.Customers = c.customers
	return v
}

// states returns each target's state, for logs.
func (c *catalog) states() map[string]string {
	out := make(map[string]string, len(c.targets))
	for _, k := range c.targets {
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
