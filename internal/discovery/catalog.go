package discovery

import (
	"maps"
	"slices"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/customer"
	"masticturn/internal/platform"
)

// rejoinGrace is how long targets without an entry are kept after an outage of the store. Live
// targets write expired entries again within about two seconds.
const rejoinGrace = 2200 * time.Millisecond

// catalog holds the document, the targets and the evacuated zones known to this VM. It is built
// from mirrors, does no I/O and is not safe for concurrent use.
type catalog struct {
	decoder      Decoder
	regionByZone map[string]string
	document     *config.Document
	customers    *customer.Directory
	gen          config.Generation

	documentVersion platform.Version // version of the last object read, valid or not

	targets      map[string]*catalogEntry   // by id
	services     map[string]*serviceTargets // by service
	missing      map[string]bool            // ids of the targets without an entry that are kept for rejoinGrace
	latestStarts *starts
	evacuated    map[string]bool
	listed       map[platform.Kind]bool // kinds of which a complete list was received
	outageEnd    time.Time              // end of the last outage
	copyRead     time.Time              // when the state of a copy of the store was first read
}

func newCatalog(d Decoder, regionByZone map[string]string) *catalog {
	return &catalog{
		decoder:      d,
		regionByZone: regionByZone,
		targets:      make(map[string]*catalogEntry),
		services:     make(map[string]*serviceTargets),
		missing:      make(map[string]bool),
		latestStarts: newStarts(),
		evacuated:    make(map[string]bool),
		listed:       make(map[platform.Kind]bool),
	}
}

// setDocument applies the stored document. It reports whether a newer document is now in force.
// On an error the current document stays in force.
func (c *catalog) setDocument(m *Mirror) (bool, error) {
	o, ok := m.Get(c.decoder.Kinds().DocumentName)
	if !ok || o.Version == c.documentVersion {
		return false, nil
	}
	c.documentVersion = o.Version
	content, err := c.decoder.Document(o)
	if err != nil || content.Generation <= c.gen {
		return false, err
	}
	c.document, c.customers, c.gen = content.Document, content.Customers, content.Generation
	return true, nil
}

// zoneReturnColdTime is the minimum time for which targets count as cold after the evacuation of
// their zone ends. Their own entries that report a cold start may arrive later.
const zoneReturnColdTime = time.Second

// setZones applies the evacuated availability zones and returns the names of unknown ones. The
// existence of an object evacuates its zone; the content is ignored.
func (c *catalog) setZones(m *Mirror, now time.Time) (unknown []string) {
	before := c.evacuated
	c.evacuated = make(map[string]bool)
	for _, o := range m.Objects() {
		if c.regionByZone[o.Name] == "" {
			unknown = append(unknown, o.Name)
			continue
		}
		c.evacuated[o.Name] = true
	}
	if maps.Equal(before, c.evacuated) {
		return unknown
	}
	for _, e := range c.targets {
		if before[e.Zone] && !c.evacuated[e.Zone] {
			e.markCold(now.Add(zoneReturnColdTime))
		}
	}
	for _, s := range c.services {
		s.markChanged()
	}
	return unknown
}

// markCold makes the target count as cold until the given time or later.
func (e *catalogEntry) markCold(until time.Time) {
	if until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// invalidEntry is the name of a target's entry that was rejected, with the reason.
type invalidEntry struct {
	name string
	err  error
}

// targetState is a target's name with its state as described in the log.
type targetState struct{ name, state string }

// targetChanges lists what setTargets has changed.
type targetChanges struct {
	entries int           // number of entries that were changed, added or removed
	onlyNew bool          // all of them are new targets
	states  []targetState // new states of the targets whose state changed
	invalid []invalidEntry
}

// setTargets applies the entries of targets that changed in the mirror. An invalid entry makes its
// target unusable and does not affect other targets. The work does not depend on the number of
// targets.
func (c *catalog) setTargets(m *Mirror, now time.Time) targetChanges {
	ids := m.TakeChanged()
	changes := targetChanges{entries: len(ids), onlyNew: len(c.missing) == 0}
	for _, id := range ids {
		changes.onlyNew = changes.onlyNew && c.targets[id] == nil
	}
	before := c.states(ids)
	var removed []string
	for _, id := range ids {
		o, ok := m.Get(id)
		if !ok {
			removed = append(removed, id)
			continue
		}
		if err := c.readTarget(o, now); err != nil {
			changes.invalid = append(changes.invalid, invalidEntry{id, err})
		}
	}
	c.reconcileMissing(removed, now)
	changes.states = c.changedStates(before)
	return changes
}

// states returns the states of the targets with the given ids and of the missing ones, by id.
func (c *catalog) states(ids []string) map[string]targetState {
	out := make(map[string]targetState, len(ids))
	for _, id := range ids {
		out[id] = c.state(id)
	}
	for id := range c.missing {
		out[id] = c.state(id)
	}
	return out
}

// changedStates returns the states that differ from those before, in the order of the ids.
func (c *catalog) changedStates(before map[string]targetState) []targetState {
	var out []targetState
	for _, id := range slices.Sorted(maps.Keys(before)) {
		now := c.state(id)
		if now == before[id] {
			continue
		}
		if c.targets[id] == nil {
			now.name = before[id].name
		}
		out = append(out, now)
	}
	return out
}

// readTarget decodes, validates and applies a changed entry.
func (c *catalog) readTarget(o platform.Object, now time.Time) error {
	t, err := c.decoder.Target(o)
	if err == nil {
		err = t.validate(c.regionByZone)
	}
	if err == nil && t.StartMS == 0 && c.latestStarts.of(o.Name) != 0 {
		err = &FieldError{"start", "none", "a start time, because an earlier entry of this instance had one"}
	}
	if e := c.targets[o.Name]; e != nil {
		e.invalid = err != nil
		c.services[e.Service].markChanged()
	}
	if err != nil {
		return err
	}
	c.setTarget(t, now)
	return nil
}

// reportReorderWindow is how long reports with a lower sequence number are ignored after a later
// one. The store may apply a write seconds after its answer was lost, out of order.
const reportReorderWindow = 10 * time.Second

// setTarget applies an entry. Older starts, and older reports of the same start, are ignored. The
// cold time counts from the arrival of the entry. A target that starts while this VM watches is
// cold for at least the service's cold time, as its entry may state less.
func (c *catalog) setTarget(t Target, now time.Time) {
	if t.StartMS < c.latestStarts.of(t.Instance) {
		return
	}
	c.recordStart(&t)
	e := c.targets[t.Instance]
	if e != nil && e.StartMS == t.StartMS && t.StartMS != 0 && t.Sequence < e.Sequence && now.Sub(e.reportedAt) <= reportReorderWindow {
		c.markPresent(e)
		return
	}
	previous := e
	if e == nil || e.StartMS != t.StartMS {
		e = &catalogEntry{name: t.Name()}
		if c.listed[c.decoder.Kinds().Targets] {
			e.markCold(now.Add(c.coldTime(t.Service)))
		}
	}
	if t.ColdTime > 0 {
		e.markCold(now.Add(t.ColdTime))
	}
	if previous != nil && previous.Service != t.Service {
		c.drop(previous)
		previous = nil
	}
	e.Target = t
	e.reportedAt = now
	if previous != nil {
		c.targets[t.Instance] = e
		c.services[t.Service].replace(e)
	} else {
		c.keep(e)
	}
	c.markPresent(e)
}

// keep adds a target.
func (c *catalog) keep(e *catalogEntry) {
	c.targets[e.Instance] = e
	s := c.services[e.Service]
	if s == nil {
		s = &serviceTargets{}
		c.services[e.Service] = s
	}
	s.add(e)
}

// drop removes a target.
func (c *catalog) drop(e *catalogEntry) {
	delete(c.targets, e.Instance)
	delete(c.missing, e.Instance)
	c.services[e.Service].remove(e)
}

// markPresent records that a target has an entry.
func (c *catalog) markPresent(e *catalogEntry) {
	e.missingSince = time.Time{}
	delete(c.missing, e.Instance)
}

// recordStart records the latest start of an instance.
func (c *catalog) recordStart(t *Target) {
	if t.StartMS == 0 {
		return
	}
	c.latestStarts.record(t.Instance, t.StartMS, func(id string) bool { return c.targets[id] != nil })
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

// minExpiredFraction is the fraction of all targets that must be missing at once after an outage of
// the store for their entries to count as expired in it. If fewer are missing, they are dropped.
const minExpiredFraction = 0.3

// reconcileMissing drops targets without an entry. If their entries expired in an outage of the
// store, or a copy of the store lacks them, it keeps those that are not leaving for rejoinGrace.
func (c *catalog) reconcileMissing(removed []string, now time.Time) {
	for _, id := range removed {
		if c.targets[id] != nil {
			c.missing[id] = true
		}
	}
	expired := now.Sub(c.outageEnd) <= rejoinGrace && float64(len(c.missing)) >= minExpiredFraction*float64(len(c.targets)) ||
		now.Sub(c.copyRead) <= rejoinGrace
	for id := range c.missing {
		e := c.targets[id]
		if !expired || e.Leaving {
			c.drop(e)
			continue
		}
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
	}
}

// hasMissing reports whether the catalog keeps targets for rejoinGrace that the store no longer
// lists.
func (c *catalog) hasMissing() bool { return len(c.missing) > 0 }

// expireMissing drops missing targets once rejoinGrace is over. It returns their new states.
func (c *catalog) expireMissing(now time.Time) []targetState {
	if now.Sub(c.outageEnd) <= rejoinGrace {
		return nil
	}
	before := c.states(nil)
	for id := range c.missing {
		c.drop(c.targets[id])
	}
	return c.changedStates(before)
}

// view returns a view of the catalog with this VM's shares. It is nil until a complete list of
// each kind was received, as a VM could otherwise send requests to an evacuated zone. Parts that have
// not changed are shared with the previous view, which may be nil.
func (c *catalog) view(shares func() (config.Fleet, config.Retry), previous *View, now time.Time) *View {
	kinds := c.decoder.Kinds()
	if c.document == nil || !c.listed[kinds.Targets] || !c.listed[kinds.Evacuations] {
		return nil
	}
	doc := *c.document
	doc.Fleet, doc.Retry = shares()
	config.SetDefaults(&doc)
	v := c.buildView(&doc, previous, now)
	v.Snapshot.Customers = c.customers
	return v
}

// state describes the state of the target with an id for the log.
func (c *catalog) state(id string) targetState {
	e := c.targets[id]
	if e == nil {
		return targetState{id, "gone"}
	}
	state := "ready"
	switch {
	case e.invalid:
		state = "unreadable"
	case e.Leaving:
		state = "leaving"
	case !e.missingSince.IsZero():
		state = "missing"
	case !e.coldUntil.IsZero():
		state = "cold for " + e.ColdTime.String()
	}
	return targetState{e.name, e.Service + " at " + e.Address + " in " + e.Zone + " " + state}
}
