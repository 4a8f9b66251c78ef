package placement

import (
	"slices"
	"time"

	"masticturn/internal/config"
)

const (
	// expectedTTL is how long after a request of the region a target is expected to get
	// one of this VM: callers pick a VM of the region at random.
	expectedTTL = 10 * time.Second
	// openingShare is the share of a run, and of the objective's slack, from which the
	// time to connect justifies opening ahead.
	openingShare = 0.25
)

// Expected returns the warm, usable targets that are likely to get a request soon and
// are slow to connect to, the most recently used first.
func (p *Pool) Expected(now time.Time) []*config.TargetIndex {
	var expected []*targetState
	for _, t := range p.order {
		if p.slowToOpen(t.Region) && now.Sub(t.usedAt) <= expectedTTL && t.usable(now) && !t.cold(now) {
			expected = append(expected, t)
		}
	}
	slices.SortStableFunc(expected, func(x, y *targetState) int { return y.usedAt.Compare(x.usedAt) })
	targets := make([]*config.TargetIndex, len(expected))
	for i, t := range expected {
		targets[i] = t.TargetIndex
	}
	return targets
}

// slowToOpen reports whether callers would notice the time to connect to a region.
func (p *Pool) slowToOpen(region string) bool {
	run := p.runs.expect(true, 0)
	return run > 0 && float64(p.roundTrips[region]) >= openingShare*float64(max(run, p.objective-run))
}

// recordObjective records the shortest objective.
func (p *Pool) recordObjective(a *Request) {
	if a.Rule == nil || a.Rule.ObjectiveMS <= 0 {
		return
	}
	if o := a.Rule.ObjectiveMS.Duration(); p.objective == 0 || o < p.objective {
		p.objective = o
	}
}

// Expected implements admission.Expecter, for all services.
func (a *Admitter) Expected() []*config.TargetIndex {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	var all []*config.TargetIndex
	for _, p := range a.pools {
		all = append(all, p.Expected(now)...)
	}
	return all
}
