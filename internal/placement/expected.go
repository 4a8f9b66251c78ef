package placement

import (
	"slices"
	"time"

	"masticturn/internal/config"
)

const (
	// expectedFor is how long after a request of any VM of the region a target is
	// expected to get another one from this VM: the VMs of a region serve the same
	// objects, and callers choose among them at random.
	expectedFor = 10 * time.Second
	// openingShare is the part of a usual run, and of the time that a run leaves of
	// the objective, that opening a connection must take to be worth opening ahead.
	openingShare = 0.25
)

// Expected returns the targets that are likely to get a request of this VM soon
// and take long to connect to, the one used last first. Those that are cold, or
// take no requests now, are left out.
func (p *Pool) Expected(now time.Time) []*config.TargetIndex {
	var expected []*targetState
	for _, t := range p.order {
		if p.slowToOpen(t.Region) && now.Sub(t.usedAt) <= expectedFor && t.usable(now) && !t.cold(now) {
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

// slowToOpen reports whether opening a connection to a region's targets takes a
// good part of a run and of the time left after one, so that callers would notice.
// A region to which none was opened yet is not known to be.
func (p *Pool) slowToOpen(region string) bool {
	run := p.runs.expect(true, 0)
	return run > 0 && float64(p.trips[region]) >= openingShare*float64(max(run, p.objective-run))
}

// noteObjective takes in within which time a request's answer is of full use.
func (p *Pool) noteObjective(a *Ask) {
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
