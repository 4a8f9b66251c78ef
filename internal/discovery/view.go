package discovery

import (
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

// buildView returns a view of the document with the given targets. It leaves out targets of
// unknown services and targets with an invalid entry.
func buildView(doc *config.Document, gen config.Generation, regionByZone map[string]string, targets map[string]*catalogEntry, evacuated map[string]bool) *View {
	live := *doc
	live.Regions = regionsOf(regionByZone)
	live.Services = slices.Clone(doc.Services)
	index := make(map[string]int, len(live.Services))
	for i := range live.Services {
		live.Services[i].Targets = nil
		index[live.Services[i].Name] = i
	}
	v := &View{Evacuated: evacuated, ColdUntil: make(map[string]time.Time)}
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		t := targets[name]
		i, ok := index[t.Service]
		if !ok || t.invalid {
			continue
		}
		svc := &live.Services[i]
		svc.Targets = append(svc.Targets, config.Target{
			Name:        t.Name(),
			Instance:    t.Instance,
			Address:     t.Address,
			Zone:        t.Zone,
			Slots:       t.Slots,
			Connections: svc.Connections,
			Leaving:     t.Leaving,
		})
		if !t.coldUntil.IsZero() {
			v.ColdUntil[t.Name()] = t.coldUntil
		}
	}
	v.Snapshot = config.NewLiveSnapshot(gen, &live)
	return v
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
