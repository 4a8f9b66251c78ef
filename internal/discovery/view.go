package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticturn/internal/config"
)

// View is an immutable snapshot of the catalog.
type View struct {
	Snapshot  *config.Snapshot     // the document and all usable targets
	Evacuated map[string]bool      // evacuated availability zones
	ColdUntil map[string]time.Time // by target name; absent if not cold
}

// catalogEntry is a target's entry with this VM's state about it.
type catalogEntry struct {
	Target
	reportedAt   time.Time // arrival of the last entry applied
	coldUntil    time.Time
	missingSince time.Time // time from which the entry is missing; zero if it exists
	invalid      bool      // the latest entry is invalid
}

// serviceTargets holds the targets of one service.
type serviceTargets struct {
	sorted []*catalogEntry // by id
	// listed is the list of the last view, with listedConnections each. It is nil if any target or its state has
	// changed since.
	listed            []config.Target
	listedConnections int
}

// markChanged requires a new list.
func (s *serviceTargets) markChanged() { s.listed = nil }

// find returns the index at which a target is or would be inserted.
func (s *serviceTargets) find(id string) (int, bool) {
	return slices.BinarySearchFunc(s.sorted, id, func(e *catalogEntry, id string) int {
		return cmp.Compare(e.Instance, id)
	})
}

func (s *serviceTargets) insert(e *catalogEntry) {
	s.markChanged()
	i, found := s.find(e.Instance)
	if found {
		s.sorted[i] = e
		return
	}
	s.sorted = slices.Insert(s.sorted, i, e)
}

func (s *serviceTargets) remove(e *catalogEntry) {
	s.markChanged()
	if i, found := s.find(e.Instance); found {
		s.sorted = slices.Delete(s.sorted, i, i+1)
	}
}

// buildView returns a view of the document with the targets. It leaves out targets of unknown
// services and targets with an invalid entry. Services without changes share their targets with the
// previous view, which may be nil.
func (c *catalog) buildView(doc *config.Document, previous *View, now time.Time) *View {
	live := *doc
	live.Regions = regionsOf(c.regionByZone)
	live.Services = slices.Clone(doc.Services)
	for i := range live.Services {
		svc := &live.Services[i]
		svc.Targets = nil
		if targets := c.services[svc.Name]; targets != nil {
			svc.Targets = targets.list(svc.Connections)
		}
	}
	var base *config.Snapshot
	if previous != nil {
		base = previous.Snapshot
	}
	return &View{
		Snapshot:  config.NextLiveSnapshot(base, c.gen, &live),
		Evacuated: c.evacuated,
		ColdUntil: c.coldTargets(now),
	}
}

// list returns the usable targets, each with the given number of connections. It returns the same list until a
// target changes.
func (s *serviceTargets) list(connections int) []config.Target {
	if s.listed != nil && s.listedConnections == connections {
		return s.listed
	}
	s.listed, s.listedConnections = make([]config.Target, 0, len(s.sorted)), connections
	for _, e := range s.sorted {
		if e.invalid {
			continue
		}
		s.listed = append(s.listed, config.Target{
			Name:        e.Name(),
			Instance:    e.Instance,
			Address:     e.Address,
			Zone:        e.Zone,
			Slots:       e.Slots,
			Connections: connections,
			Leaving:     e.Leaving,
		})
	}
	return s.listed
}

// coldTargets returns until when the cold targets are cold, by name.
func (c *catalog) coldTargets(now time.Time) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, s := range c.services {
		for _, e := range s.sorted {
			if e.coldUntil.After(now) {
				out[e.Name()] = e.coldUntil
			}
		}
	}
	return out
}

// regionsOf returns the regions with their availability zones, both sorted by name.
func regionsOf(regionByZone map[string]string) []config.Region {
	zones := make(map[string][]string)
	for _, zone := range slices.Sorted(maps.Keys(regionByZone)) {
		zones[regionByZone[zone]] = append(zones[regionByZone[zone]], zone)
	}
	regions := make([]config.Region, 0, len(zones))
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		regions = append(regions, config.Region{Name: name, Zones: zones[name]})
	}
	return regions
}
