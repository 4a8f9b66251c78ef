package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"masticturn/internal/config"
	"masticturn/internal/rendezvous"
	"masticturn/internal/steering"
)

// Defaults of fields of the document that are left at zero.
const (
	defaultStale     = 2 * time.Second
	defaultCapWindow = 10 * time.Second
	defaultService   = 20 * time.Millisecond
	// shiftBand is the advantage below which a choice between regions stays.
	shiftBand = 2 * time.Millisecond
	// subsetTargets is how many targets of a service a VM uses under the
	// policy subset.
	subsetTargets = 6
)

// poolConfig derives the configuration of the pool of a service in a region.
// vm seeds choices and, under the policy subset, picks the targets.
func poolConfig(s *config.Snapshot, svc *config.ServiceIndex, region, vm string, policy steering.PolicyName) steering.PoolConfig {
	doc := s.Document
	cfg := steering.PoolConfig{
		Region:      region,
		ServiceTime: orDefault(svc.ServiceMS.Duration(), defaultService),
		Policy:      policy,
		Comparison: steering.Comparison{
			HeadroomWeight: doc.Steering.HeadroomWeight,
			HeadroomKeep:   doc.Steering.HeadroomKeep,
			Band:           shiftBand,
		},
		Caps:    capsOf(doc, svc.Name),
		Links:   linksOf(doc, region),
		Tenants: make(map[string]int),
		Seed:    xxhash.Sum64String(svc.Name + "\x00" + region + "\x00" + vm),
	}
	for _, c := range doc.Classes {
		cfg.Classes = append(cfg.Classes, steering.ClassSpec{
			Name: c.Name, Priority: c.Priority, Weight: c.Weight, MaxWait: c.MaxWaitMS.Duration(),
		})
	}
	for _, t := range doc.Tenants {
		cfg.Tenants[t.Name] = t.Weight
	}
	cfg.Targets = targetsOf(svc, region, vm, policy)
	return cfg
}

func targetsOf(svc *config.ServiceIndex, region, vm string, policy steering.PolicyName) []steering.TargetSpec {
	indexes := svc.TargetsByRegion[region]
	switch policy {
	case steering.PolicyStaticSpill:
		indexes = svc.AllTargets
	case steering.PolicySubset:
		indexes = subsetOf(indexes, vm)
	}
	specs := make([]steering.TargetSpec, 0, len(indexes))
	for _, t := range indexes {
		specs = append(specs, steering.TargetSpec{Name: t.Name, Zone: t.Zone, Region: t.Region, Slots: t.Slots})
	}
	return specs
}

// subsetOf returns the VM's targets by rendezvous hashing.
func subsetOf(targets []*config.TargetIndex, vm string) []*config.TargetIndex {
	return rendezvous.Top(vm, targets, subsetTargets, func(t *config.TargetIndex) string { return t.Name })
}

// capsOf returns the shift caps of a service: one for the service by name
// goes before one for each service.
func capsOf(doc *config.Document, service string) map[steering.CapKey]steering.CapLimits {
	caps := make(map[steering.CapKey]steering.CapLimits)
	for _, name := range []string{"", service} {
		for _, c := range doc.ShiftCaps {
			if c.Service != name {
				continue
			}
			caps[steering.CapKey{From: c.From, To: c.To}] = steering.CapLimits{
				MaxFraction:     c.MaxFraction,
				MaxStepFraction: c.MaxStepFraction,
				Window:          orDefault(c.WindowMS.Duration(), defaultCapWindow),
			}
		}
	}
	return caps
}

// linksOf returns this service's share of the links from a region.
func linksOf(doc *config.Document, region string) map[string]*steering.LinkShare {
	links := make(map[string]*steering.LinkShare)
	for _, l := range doc.Links {
		if l.From == region {
			links[l.To] = steering.NewLinkShare(l.OneWayMS.Duration(),
				float64(l.RequestsPerSecond), float64(l.BytesPerSecond), len(doc.Services))
		}
	}
	return links
}

func cautionOf(doc *config.Document) steering.Caution {
	return steering.Caution{
		Stale: orDefault(doc.Steering.StaleMS.Duration(), defaultStale),
		Cold:  doc.Steering.ColdMS.Duration(),
	}
}

func orDefault(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}
