package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"masticturn/internal/overload"
	"masticturn/internal/telemetry"
)

// noRegionLoads is used if nothing is known of other regions.
type noRegionLoads struct{}

func (noRegionLoads) Publish(map[string]overload.RegionLoad)       {}
func (noRegionLoads) Others(string) map[string]overload.RegionLoad { return nil }

// rootSettleTime is how long a new root waits for the reports of all VMs before it decides on splits. The
// split stays for longer than that without a decision.
const rootSettleTime = time.Second

// limitsTTL is the TTL of the decisions that a region's only VM makes for itself.
const limitsTTL = reportTTLIntervals * ReportInterval

// decide makes the decisions of the region's root and sets them in the region's total, from which it removes
// the demands. a.mu is held.
func (a *Admitter) decide(total *LoadReport, now time.Time) {
	a.decideRegions(total, a.setLimits(total, now), now)
	total.RemoveDemands()
}

// decideRegions decides on the splits of all services, sets them in the region's total and publishes the
// region's loads. loads holds those by which admission has been decided, by service. a.mu is held.
func (a *Admitter) decideRegions(total *LoadReport, loads map[string]overload.RegionLoad, now time.Time) {
	if !a.inTree || now.Sub(a.rootSince) < rootSettleTime {
		return
	}
	for name, p := range a.pools {
		var known *overload.RegionLoad
		if load, ok := loads[name]; ok {
			known = &load
		} else if u := total.Services[name]; u != nil {
			known = p.RegionLoad(u.Demand, now)
		}
		load, d, ok := p.PlanRegions(known, a.deps.RegionLoads.Others(name), now)
		if ok {
			loads[name] = load
		}
		if d.Split != nil || len(d.Spare) > 0 {
			u := total.usage(name)
			u.Split, u.Spare = d.Split, d.Spare
		}
		a.logSplit(name, p)
	}
	if len(loads) > 0 {
		a.deps.RegionLoads.Publish(loads)
	}
}

// decideAlone makes and applies the decisions if this VM is its region's only one, which sends no reports.
// a.mu is held.
func (a *Admitter) decideAlone(now time.Time) {
	if !a.inTree || !a.aggregator.alone() {
		return
	}
	total := &LoadReport{Services: make(map[string]*Usage)}
	for name, p := range a.pools {
		u := total.usage(name)
		u.Running = p.runningByTarget()
		u.Demand = p.Demand(now)
	}
	a.decide(total, now)
	for name, p := range a.pools {
		u := total.usage(name)
		p.applyLimits(u.Limits, limitsTTL, now)
		p.ApplyRegions(RegionDecision{Split: u.Split, Spare: u.Spare}, limitsTTL, now)
	}
}

// logSplit logs that the root has set a split other than the default, or ceased to. a.mu is held.
func (a *Admitter) logSplit(service string, p *servicePool) {
	on := len(p.planner.wanted) > 0
	if on == p.splitLogged {
		return
	}
	p.splitLogged = on
	a.deps.Logger.Log(eventSplitSwitched,
		telemetry.Value("service", service),
		telemetry.Value("on", on),
		telemetry.Value("reason", p.planner.reason),
		telemetry.Value("split", formatShares(p.planner.wanted)))
}

// formatShares returns shares by region as text.
func formatShares(shares map[string]float64) string {
	var parts []string
	for _, region := range slices.Sorted(maps.Keys(shares)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", region, shares[region]))
	}
	return strings.Join(parts, ", ")
}

// showSplit sets the metrics of a service's split after a change. a.mu is held.
func (a *Admitter) showSplit(service string, p *servicePool) {
	if p.split.version == p.splitShown || len(p.slotsByRegion) < 2 {
		return
	}
	p.splitShown = p.split.version
	a.metrics.setSplit(service, p.shares())
}
