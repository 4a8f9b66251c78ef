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
	sorted  []*catalogEntry // by id
	changed bool            // any target or its state has changed since the last view
}

// find returns the index at which a target is or would be inserted.
func (s *serviceTargets) find(id string) (int, bool) {
	return slices.BinarySearchFunc(s.sorted, id, func(e *catalogEntry, id string) int {
		return cmp.Compare(e.Instance, id)
	})
}

func (s *serviceTargets) insert(e *catalogEntry) {
	s.changed = true
	i, found := s.find(e.Instance)
	if found {
		s.sorted[i] = e
		return
	}
	s.sorted = slices.Insert(s.sorted, i, e)
}

func (s *serviceTargets) remove(e *catalogEntry) {
	s.changed = true
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
	unchanged := make(map[string]bool)
	for i := range live.Services {
		svc := &live.Services[i]
		targets := c.services[svc.Name]
		if old := previousService(previous, svc.Name); old != nil && targets != nil && !targets.changed && old.Connections == svc.Connections {
			svc.Targets = old.Targets
			unchanged[svc.Name] = true
			continue
		}
		svc.Targets = nil
		if targets != nil {
			svc.Targets = targets.configTargets(svc.Connections)
		}
	}
	v := &View{Evacuated: c.evacuated, ColdUntil: c.coldTargets(now)}
	if previous == nil {
		v.Snapshot = config.NewLiveSnapshot(c.gen, &live)
	} else {
		v.Snapshot = config.NextLiveSnapshot(previous.Snapshot, c.gen, &live, unchanged)
	}
	for _, s := range c.services {
		s.changed = false
	}
	return v
}

// previousService returns a service of the previous view, or nil.
func previousService(previous *View, name string) *config.ServiceIndex {
	if previous == nil {
		return nil
	}
	return previous.Snapshot.Service(name)
}

// configTargets returns the usable targets, each with the given number of connections.
func (s *serviceTargets) configTargets(connections int) []config.Target {
	out := make([]config.Target, 0, len(s.sorted))
	for _, e := range s.sorted {
		if e.invalid {
			continue
		}
		out = append(out, config.Target{
			Name:        e.Name(),
			Instance:    e.Instance,
			Address:     e.Address,
			Zone:        e.Zone,
			Slots:       e.Slots,
			Connections: connections,
			Leaving:     e.Leaving,
		})
	}
	return out
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
