package discovery

import (
	"maps"
	"slices"
	"time"

	"masticturn/internal/config"
)

// View is the catalog at one moment. It is immutable.
type View struct {
	Snapshot  *config.Snapshot     // the document with all targets
	Evacuated map[string]bool      // availability zones
	ColdUntil map[string]time.Time // by target; absent: not cold
}

// catalogEntry is a target with its local state.
type catalogEntry struct {
	Target
	reported   time.Time // arrival of its last entry
	coldUntil  time.Time
	vanished   time.Time // since when its entry is missing; zero: it exists
	unreadable bool      // its entry is invalid
}

// assemble builds a view.
func assemble(doc *config.Document, gen config.Generation, places map[string]string, targets map[string]*catalogEntry, evacuated map[string]bool) *View {
	live := *doc
	live.Regions = regionsOf(places)
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
		if !ok || t.unreadable {
			continue // unknown service or invalid entry
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

// regionsOf returns the regions with their zones, sorted.
func regionsOf(places map[string]string) []config.Region {
	zones := make(map[string][]string)
	for _, zone := range slices.Sorted(maps.Keys(places)) {
		zones[places[zone]] = append(zones[places[zone]], zone)
	}
	regions := make([]config.Region, 0, len(zones))
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		regions = append(regions, config.Region{Name: name, Zones: zones[name]})
	}
	return regions
}
