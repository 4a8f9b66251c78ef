package tunnel

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/targetconn"
)

const (
	// checkTimeout is how long a direct connect may take in a check. It is above the round trip between regions.
	checkTimeout = 300 * time.Millisecond
	// checkedTargets is the number of targets to which one check connects while there is evidence of a partition;
	// one otherwise.
	checkedTargets = partitionTargets
	// checkedDetours is the number of targets whose lost ways one check tries again.
	checkedDetours = 2
)

// runChecks checks the ways to targets at intervals, and when requested.
func (s *Service) runChecks(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.closeOrphans()
			s.closeLost()
			s.maintainReady(ctx)
		case <-s.checkRequested:
		}
		s.check(ctx)
	}
}

// requestCheck makes runChecks check without waiting for the interval.
func (s *Service) requestCheck() {
	select {
	case s.checkRequested <- struct{}{}:
	default:
	}
}

// check connects to some targets while this VM is partitioned, has received nothing for a while, or has not reached
// one that another VM reaches; otherwise to targets that it reaches through other VMs only.
func (s *Service) check(ctx context.Context) {
	snap := s.deps.Config.Current()
	if snap == nil {
		return
	}
	now := s.deps.Clock.Now()
	var targets []*config.TargetIndex
	switch {
	case s.health.Partitioned() || s.health.Doubtful():
		targets = sample(snap, s.deps.Region, checkedTargets)
	case s.health.Silent(now):
		targets = sample(snap, s.deps.Region, 1)
	default:
		for _, name := range s.health.DueDetours(checkedDetours, now) {
			if t := snap.Target(name); t != nil {
				targets = append(targets, t)
			}
		}
	}
	var group sync.WaitGroup
	for _, t := range targets {
		group.Go(func() { s.checkTarget(ctx, t) })
	}
	group.Wait()
}

// usableTargets returns the targets that are not leaving.
func usableTargets(snap *config.Snapshot) []*config.TargetIndex {
	var targets []*config.TargetIndex
	for _, svc := range snap.Services() {
		for _, t := range svc.AllTargets {
			if !t.Leaving {
				targets = append(targets, t)
			}
		}
	}
	return targets
}

// spreadOf returns the spread of all targets.
func spreadOf(snap *config.Snapshot) Spread {
	if snap == nil {
		return Spread{}
	}
	zones, services := make(map[string]bool), make(map[string]bool)
	for _, t := range usableTargets(snap) {
		zones[t.Zone], services[t.Service] = true, true
	}
	return Spread{len(zones), len(services)}
}

// sample returns n targets to check, as different from each other as possible: the first one of a region if there
// is one.
func sample(snap *config.Snapshot, region string, n int) []*config.TargetIndex {
	all := usableTargets(snap)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var chosen []*config.TargetIndex
	for len(chosen) < min(n, len(all)) {
		best, bestScore := 0, -1
		for i, t := range all {
			if score := differences(t, chosen, region); score > bestScore {
				best, bestScore = i, score
			}
		}
		chosen = append(chosen, all[best])
	}
	return chosen
}

// differences scores a target by how different it is from those already chosen; the first one should be of the
// region. One that is chosen already has the lowest score.
func differences(t *config.TargetIndex, chosen []*config.TargetIndex, region string) int {
	score := 0
	if len(chosen) == 0 && t.Region == region {
		score++
	}
	for _, c := range chosen {
		if c.Name == t.Name {
			return -1
		}
		if c.Zone != t.Zone {
			score++
		}
		if c.Service != t.Service {
			score++
		}
	}
	return score
}

// checkTarget connects to a target, and asks another VM to do so if that fails, unless the target is known to be
// reached by other VMs only.
func (s *Service) checkTarget(ctx context.Context, t *config.TargetIndex) {
	directCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	d := s.dialDirect(directCtx, t)
	if d.err == nil {
		_ = d.conn.Close()
		return
	}
	if s.health.Detoured(t.Name) || ctx.Err() != nil {
		s.health.Failed()
		return
	}
	if conn, err := s.dialAfterFailure(ctx, t, targetconn.Reach{}, d.err); err == nil {
		_ = conn.Close()
	}
}

// similarTimeout is how long a connect to a similar target may take.
const similarTimeout = 150 * time.Millisecond

// reachesSimilar reports whether this VM connects to another target that it should reach in the same way: one of
// the same availability zone, preferably of the same service.
func (s *Service) reachesSimilar(ctx context.Context, t *config.TargetIndex) bool {
	return s.reachesAny(ctx, t, func(other *config.TargetIndex) bool { return other.Zone == t.Zone })
}

// reachesOthers reports whether this VM connects to any other target, preferably a similar one.
func (s *Service) reachesOthers(ctx context.Context, t *config.TargetIndex) bool {
	return s.reachesSimilar(ctx, t) ||
		s.reachesAny(ctx, t, func(other *config.TargetIndex) bool { return other.Region == t.Region && other.Zone != t.Zone }) ||
		s.reachesAny(ctx, t, func(other *config.TargetIndex) bool { return other.Region != t.Region })
}

// maxSimilar is the number of targets to which reachesAny connects in turn, as some may have ended together.
const maxSimilar = 3

// reachesAny reports whether this VM connects to any of some targets that match.
func (s *Service) reachesAny(ctx context.Context, t *config.TargetIndex, match func(*config.TargetIndex) bool) bool {
	snap := s.deps.Config.Current()
	if snap == nil {
		return false
	}
	var same, others []*config.TargetIndex
	for _, other := range usableTargets(snap) {
		switch {
		case other.Name == t.Name || !match(other):
		case other.Service == t.Service:
			same = append(same, other)
		default:
			others = append(others, other)
		}
	}
	if len(same) == 0 {
		same = others
	}
	rand.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
	timeout := similarTimeout
	if t.Region != s.deps.Region {
		timeout = checkTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, other := range same[:min(len(same), maxSimilar)] {
		if d := s.dialDirect(ctx, other); d.err == nil {
			_ = d.conn.Close()
			return true
		}
	}
	return false
}
