package placement

import (
	"slices"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/overload"
	"masticturn/internal/telemetry"
)

// applyScopes switches admission by priority and customer on or off for each service. a.mu is held.
func (a *Admitter) applyScopes(s *config.Snapshot) {
	if !a.deps.Overload.Admission {
		return
	}
	scopes := a.scopes.of(s)
	for name, p := range a.pools {
		scope := scopes[name]
		if scope.on() && !slices.Equal(scope.priorities, p.overload.scope.priorities) {
			a.registerOverloadMetrics(name, scope.priorities)
		}
		if !p.setOverloadScope(scope) {
			continue
		}
		a.deps.Logger.Log(eventOverloadSwitched,
			telemetry.Value("service", name),
			telemetry.Value("on", scope.on()),
			telemetry.Value("reason", scope.reason()))
	}
}

// setLimits sets the limits of all services in the region's total. It returns the region's loads, by
// service, of those for which the part is on. a.mu is held.
func (a *Admitter) setLimits(total *LoadReport, now time.Time) map[string]overload.RegionLoad {
	loads := make(map[string]overload.RegionLoad)
	for name, p := range a.pools {
		if p.overload.gate == nil {
			continue
		}
		u := total.Services[name]
		if u == nil {
			u = newUsage()
		}
		limits, load := p.Decide(u, a.deps.RegionLoads.Others(name), now)
		if limits == nil && now.Sub(a.rootSince) < rootSettleTime && p.overload.gate.Short(now) {
			limits = &overload.Limits{} // the first totals of a new root lack the demand of some VMs
		}
		loads[name] = load
		a.logLimits(name, p, limits, now)
		if limits != nil {
			total.usage(name).Limits = limits
		}
	}
	return loads
}

// resetDecisions forgets what this VM has decided as the root of its region's tree.
func (p *Pool) resetDecisions() {
	p.planner = regionPlanner{}
	if p.overload.gate != nil {
		p.overload.decider = overload.NewDecider(p.region)
	}
}

// anyShort reports whether any service is short of capacity. a.mu is held.
func (a *Admitter) anyShort(now time.Time) bool {
	for _, p := range a.pools {
		if p.overload.gate != nil && p.overload.gate.Short(now) {
			return true
		}
	}
	return false
}
