package discovery

import (
	"maps"
	"slices"
	"time"

	"masticturn/internal/config"
)

// View is what this VM believes at one moment. It is immutable.
type View struct {
	Snapshot  *config.Snapshot     // the document with the targets that take work or are leaving
	Evacuated map[string]bool      // availability zones
	ColdUntil map[string]time.Time // by target; absent: not cold
}

// known is a target with what this VM noted of it.
type known struct {
	Target
	reported   time.Time // when its entry was last taken in
	coldUntil  time.Time
	vanished   time.Time // its entry is missing since; zero: it is there
	unreadable bool      // its entry names no target now
}

// assemble makes a view of a document and targets.
func assemble(doc *config.Document, gen config.Generation, places map[string]string, targets map[string]*known, evacuated map[string]bool) *View {
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
			continue // the document does not have its service, or its entry names none
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

// regionsOf turns the map of places into regions with their zones, sorted.
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
