package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

// The split is the share of this region's objects whose first target is in each region. By default it
// follows from the numbers of slots (computeRemoteWeight). While the region lacks capacity, the root of
// the region's tree sets another one, toward which each VM moves in steps.
const (
	// splitStep is the largest share of objects that a step moves between regions, and splitInterval the
	// time between steps. Each step moves objects to targets that don't have them in their caches, and
	// at most 0.15 of a region's requests may move from a window of 2 s to the next.
	splitStep     = 0.05
	splitInterval = time.Second
	// splitHold is how long a split stays without being renewed.
	splitHold = 5 * time.Second
	// splitTolerance is the distance from the wanted split below which no further step is taken.
	splitTolerance = 0.01
	// minSplitShare is the least share of a region. A region with a weight of 0 would have its targets
	// ranked by name, so that requests which may run nowhere else would all go to the same two.
	minSplitShare = 0.001
)

// split is the present split of a pool and the one that is wanted.
type split struct {
	weights   map[string]float64 // of a slot by region; nil: the default
	wanted    map[string]float64 // share by region; nil: the default
	heardAt   time.Time          // when wanted was last renewed
	steppedAt time.Time
	version   uint64 // incremented when the present split may have changed
}

// setSplit sets the wanted split; empty: the default. It takes effect by stepSplit. Values out of range
// are ignored.
func (p *Pool) setSplit(wanted map[string]float64, now time.Time) {
	s := &p.split
	s.heardAt = now
	s.wanted = nil
	for region, share := range wanted {
		if share >= 0 && share <= 1 { // not NaN
			if s.wanted == nil {
				s.wanted = make(map[string]float64, len(wanted))
			}
			s.wanted[region] = share
		}
	}
}

// stepSplit moves the split toward the wanted one if a step is due. A split that has not been renewed for
// splitHold returns to the default.
func (p *Pool) stepSplit(now time.Time) {
	s := &p.split
	if now.Sub(s.heardAt) > splitHold {
		s.wanted = nil
	}
	if s.weights == nil && s.wanted == nil || now.Sub(s.steppedAt) < splitInterval {
		return
	}
	current, goal := p.shares(), p.goalShares()
	distance := shareDistance(current, goal)
	switch {
	case s.wanted == nil && distance <= splitStep:
		s.weights = nil
	case distance <= splitTolerance:
		return
	default:
		s.weights = p.weightsFor(moveShares(current, goal, min(1, splitStep/distance)))
	}
	s.steppedAt = now
	p.applyWeights()
	p.ranking.clear()
}

// updateSlots counts the slots by region, after a change of the targets. The weights of slots stay, so that
// a region that loses targets loses its share of them at once, as by default.
func (p *Pool) updateSlots() {
	p.slotsByRegion = make(map[string]int)
	for _, t := range p.sortedTargets {
		if !t.Leaving && !t.evacuated {
			p.slotsByRegion[t.Region] += t.Slots
		}
	}
	if len(p.slotsByRegion) < 2 {
		p.split.weights = nil
	}
	p.applyWeights()
}

// applyWeights sets the weights of the targets' slots.
func (p *Pool) applyWeights() {
	p.split.version++
	for _, t := range p.sortedTargets {
		t.slotWeight = p.slotWeight(t.Region)
	}
}

// slotWeight returns the weight of a slot in a region.
func (p *Pool) slotWeight(region string) float64 {
	if w, ok := p.split.weights[region]; ok {
		return w
	}
	return p.defaultSlotWeight(region)
}

func (p *Pool) defaultSlotWeight(region string) float64 {
	if region != p.region {
		return p.remoteWeight
	}
	return 1
}

// shares returns the present split.
func (p *Pool) shares() map[string]float64 { return p.sharesBy(p.slotWeight) }

// defaultShares returns the split by default.
func (p *Pool) defaultShares() map[string]float64 { return p.sharesBy(p.defaultSlotWeight) }

// sharesBy returns the share of objects that each region's targets win with the given weights of slots.
func (p *Pool) sharesBy(weight func(region string) float64) map[string]float64 {
	shares := make(map[string]float64, len(p.slotsByRegion))
	for region, slots := range p.slotsByRegion {
		shares[region] = float64(slots) * weight(region)
	}
	normalize(shares)
	return shares
}

// goalShares returns the wanted split as far as regions have slots, or the default.
func (p *Pool) goalShares() map[string]float64 {
	goal := make(map[string]float64, len(p.slotsByRegion))
	total := 0.0
	for region, slots := range p.slotsByRegion {
		if slots > 0 {
			total += p.split.wanted[region]
			goal[region] = p.split.wanted[region]
		}
	}
	if total == 0 {
		return p.defaultShares()
	}
	for region := range goal {
		goal[region] = max(goal[region]/total, minSplitShare)
	}
	normalize(goal)
	return goal
}

// weightsFor returns the weights of slots with which the regions' targets win the given shares. A slot of
// this region has weight 1.
func (p *Pool) weightsFor(shares map[string]float64) map[string]float64 {
	unit := 1.0
	if own := p.slotsByRegion[p.region]; own > 0 && shares[p.region] > 0 {
		unit = shares[p.region] / float64(own)
	}
	weights := make(map[string]float64, len(shares))
	for region, share := range shares {
		if slots := p.slotsByRegion[region]; slots > 0 && share > 0 {
			weights[region] = share / float64(slots) / unit
		}
	}
	return weights
}

// normalize scales shares to a sum of 1. It does nothing if all are 0.
func normalize(shares map[string]float64) {
	total := 0.0
	for _, region := range slices.Sorted(maps.Keys(shares)) { // in order, as all VMs must round alike
		total += shares[region]
	}
	if total == 0 {
		return
	}
	for region := range shares {
		shares[region] /= total
	}
}

// shareDistance returns the share of objects that has to move between two splits.
func shareDistance(a, b map[string]float64) float64 {
	sum := 0.0
	for region, share := range a {
		sum += math.Abs(share - b[region])
	}
	for region, share := range b {
		if _, ok := a[region]; !ok {
			sum += share
		}
	}
	return sum / 2
}

// moveShares returns the split that lies between two others, at a fraction of the way.
func moveShares(from, to map[string]float64, fraction float64) map[string]float64 {
	out := make(map[string]float64, len(to))
	for region, share := range to {
		out[region] = from[region] + fraction*(share-from[region])
	}
	for region, share := range from {
		if _, ok := to[region]; !ok {
			out[region] = share * (1 - fraction)
		}
	}
	return out
}
