package emulation

import (
	"time"

	"masticturn/internal/overload"
	"masticturn/internal/placement"
)

const (
	// regionLoadInterval is the interval at which roots send the loads of their regions.
	regionLoadInterval = 250 * time.Millisecond
	// regionLoadTTL is the age from which on a load is unknown.
	regionLoadTTL = 1500 * time.Millisecond
)

// heardLoad is the load of another region as a VM has received it.
type heardLoad struct {
	load overload.RegionLoad
	at   time.Time
}

// decideRegions decides on the split at the root of a region's tree, and sends the region's load to the
// roots of the other regions if that is due.
func (s *simulation) decideRegions(v *vm, total *placement.LoadReport, now time.Time) {
	name := s.workload.Name
	others := make(map[string]overload.RegionLoad)
	for region, h := range v.heardLoads {
		if now.Sub(h.at) <= regionLoadTTL {
			others[region] = h.load
		}
	}
	var demand *overload.Demand
	if u := total.Services[name]; u != nil {
		demand = u.Demand
	}
	load, decision, ok := v.pool.PlanRegions(v.pool.RegionLoad(demand, now), others, now)
	if decision.Split != nil || len(decision.Spare) > 0 {
		if total.Services[name] == nil {
			total.Services[name] = &placement.Usage{}
		}
		total.Services[name].Split, total.Services[name].Spare = decision.Split, decision.Spare
	}
	total.RemoveDemands()
	if ok && now.Sub(v.loadSentAt) >= regionLoadInterval {
		v.loadSentAt = now
		s.sendRegionLoad(v, load)
	}
}

func (s *simulation) sendRegionLoad(v *vm, load overload.RegionLoad) {
	for _, r := range s.workload.Regions {
		if r.Name == v.region {
			continue
		}
		if s.loadLost() {
			continue
		}
		root := s.vmsByName[placement.TreeRoot(s.namesIn(r.Name))]
		s.after(s.workload.OneWay, func() { root.heardLoads[v.region] = heardLoad{load, s.now} })
	}
}

// loadLost reports whether a message with the load of a region is lost.
func (s *simulation) loadLost() bool {
	at := s.now.Sub(startTime)
	if at >= s.workload.CutFrom && at < s.workload.CutUntil {
		return true
	}
	return s.workload.LoadLoss > 0 && s.rng.Float64() < s.workload.LoadLoss
}
