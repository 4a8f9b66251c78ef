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
	name         string    // Target.Name
	reportedAt   time.Time // arrival of the last entry applied
	coldUntil    time.Time
	missingSince time.Time // time from which the entry is missing; zero if it exists
	invalid      bool      // the latest entry is invalid
}

// serviceTargets holds the targets of one service.
type serviceTargets struct {
	sorted []*catalogEntry // by id
	added  []*catalogEntry // new targets in any order; they are sorted in once for all, as each insertion costs a copy
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

// add adds a target that is not in the list.
func (s *serviceTargets) add(e *catalogEntry) {
	s.markChanged()
	s.added = append(s.added, e)
}

// replace replaces the entry of a target that is in the list.
func (s *serviceTargets) replace(e *catalogEntry) {
	s.markChanged()
	s.sortAdded()
	if i, found := s.find(e.Instance); found {
		s.sorted[i] = e
	}
}

// sortAdded moves the added targets to the sorted ones.
func (s *serviceTargets) sortAdded() {
	if len(s.added) == 0 {
		return
	}
	byID := func(a, b *catalogEntry) int { return cmp.Compare(a.Instance, b.Instance) }
	slices.SortFunc(s.added, byID)
	last, free := len(s.sorted)-1, len(s.sorted)+len(s.added)-1
	s.sorted = append(s.sorted, s.added...)
	for i := len(s.added) - 1; i >= 0; free-- {
		if last >= 0 && byID(s.sorted[last], s.added[i]) > 0 {
			s.sorted[free] = s.sorted[last]
			last--
			continue
		}
		s.sorted[free] = s.added[i]
		i--
	}
	s.added = nil
}

func (s *serviceTargets) remove(e *catalogEntry) {
	s.markChanged()
	s.sortAdded()
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
	s.sortAdded()
	s.listed, s.listedConnections = make([]config.Target, 0, len(s.sorted)), connections
	for _, e := range s.sorted {
		if e.invalid {
			continue
		}
		s.listed = append(s.listed, config.Target{
			Name:        e.name,
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
		s.sortAdded()
		for _, e := range s.sorted {
			if e.coldUntil.After(now) {
				out[e.name] = e.coldUntil
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
