package placement

import (
	"slices"
	"time"

	"masticturn/internal/config"
)

const (
	// expectedWindow is how long after a request from any VM of the region a target is
	// expected to get one from this VM before an idle connection expires, if this VM is the
	// region's only one. Callers choose a VM at random, so that it is shorter by the number of
	// VMs.
	expectedWindow = 30 * time.Second
	// minConnectFraction is the fraction of the run time, and of the time that the objective
	// leaves besides it, that connecting must take for opening connections ahead to be worth
	// it.
	minConnectFraction = 0.25
)

// PreconnectCandidates returns the targets that are likely to get a request soon and are slow to
// connect to, the most recently used first. Cold and unusable targets are left out.
func (p *Pool) PreconnectCandidates(now time.Time) []*config.TargetIndex {
	var expected []*targetState
	if !p.anySlowToConnect() {
		return nil
	}
	window := expectedWindow / time.Duration(max(p.regionVMs, 1))
	for _, t := range p.sortedTargets {
		if p.slowToConnect(t.Region) && now.Sub(t.lastRequest) <= window && t.usable(now) && !t.cold(now) {
			expected = append(expected, t)
		}
	}
	slices.SortStableFunc(expected, func(x, y *targetState) int { return y.lastRequest.Compare(x.lastRequest) })
	targets := make([]*config.TargetIndex, len(expected))
	for i, t := range expected {
		targets[i] = t.TargetIndex
	}
	return targets
}

// anySlowToConnect reports whether slowToConnect holds for any region.
func (p *Pool) anySlowToConnect() bool {
	for region := range p.roundTrips {
		if p.slowToConnect(region) {
			return true
		}
	}
	return false
}

// slowToConnect reports whether connecting to a region takes long enough for callers to
// notice.
func (p *Pool) slowToConnect(region string) bool {
	runTime := p.runTimes.expect(true, 0)
	return runTime > 0 && float64(p.roundTrips[region]) >= minConnectFraction*float64(max(runTime, p.objective-runTime))
}

// recordObjective records the shortest objective of the requests so far.
func (p *Pool) recordObjective(req *Request) {
	if req.Rule == nil || req.Rule.ObjectiveMS <= 0 {
		return
	}
	if o := req.Rule.ObjectiveMS.Duration(); p.objective == 0 || o < p.objective {
		p.objective = o
	}
}

// Expected implements admission.Expecter for the targets of all services.
func (a *Admitter) Expected() []*config.TargetIndex {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	var all []*config.TargetIndex
	for _, p := range a.pools {
		all = append(all, p.PreconnectCandidates(now)...)
	}
	return all
}
