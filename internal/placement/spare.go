package placement

import (
	"math"
	"slices"
	"time"

	"masticturn/internal/rendezvous"
)

const (
	// sparePeriod is the period in which each VM has its turn to use other regions' free slots, if there
	// are fewer than VMs.
	sparePeriod = 2 * time.Second
	// goldenRatio spreads the turns of VMs evenly, also of any run of VMs with successive names.
	goldenRatio = 0.6180339887498949
	// spareRank is the rank of a target in another region after an object's candidates.
	spareRank = replicas
	// maxSpareCandidates is the number of targets in other regions that are considered for an object.
	maxSpareCandidates = 4
)

// spareSlotsInUse is this VM's use of other regions' free slots.
type spareSlotsInUse struct {
	slots   map[string]float64 // that this VM may use, by region
	expires time.Time
	running map[string]int // requests by region
	ranking rankingCache   // targets of other regions
}

// set sets the slots that this VM may use until a time. Values out of range are ignored.
func (s *spareSlotsInUse) set(slots map[string]float64, expires time.Time) {
	s.slots, s.expires = nil, expires
	for region, n := range slots {
		if n > 0 && n <= maxRunning {
			if s.slots == nil {
				s.slots = make(map[string]float64, len(slots))
			}
			s.slots[region] = n
		}
	}
}

// allowance returns how many requests the VM may run in a region at a time. Parts of a slot are given in
// turns: at any time, about as many VMs of n have one more as the part of n.
func (s *spareSlotsInUse) allowance(region string, turn float64, now time.Time) int {
	if now.After(s.expires) {
		return 0
	}
	phase := turn + float64(now.UnixNano()%int64(sparePeriod))/float64(sparePeriod)
	return int(s.slots[region] + phase - math.Floor(phase))
}

func (s *spareSlotsInUse) acquire(region string) {
	if s.running == nil {
		s.running = make(map[string]int)
	}
	s.running[region]++
}

func (s *spareSlotsInUse) release(region string) {
	s.running[region]--
	if s.running[region] == 0 {
		delete(s.running, region)
	}
}

// setTurn computes this VM's turn among the VMs, from 0 to 1; -1 if the VMs are not known.
func (p *Pool) setTurn() {
	p.turn = -1
	i := slices.IndexFunc(p.fleet.VMs, func(vm VM) bool { return vm.Name == p.fleet.Self })
	if i >= 0 {
		_, p.turn = math.Modf(float64(i) * goldenRatio)
	}
}

// chooseSpare returns a target with a free slot in another region that is known to have some, for a
// request whose candidates are full; nil if there is none that this VM may use.
func (p *Pool) chooseSpare(req *Request, now time.Time) *Selection {
	if len(p.spare.slots) == 0 || p.turn < 0 {
		return nil
	}
	allowed := make(map[string]bool)
	for region := range p.spare.slots {
		if region != p.region && p.spare.running[region] < p.spare.allowance(region, p.turn, now) {
			allowed[region] = true
		}
	}
	if len(allowed) == 0 {
		return nil
	}
	considered := 0
	for _, t := range p.spareTargets(req) {
		if !allowed[t.Region] || !p.canServe(t, req, now) || t.cold(now) {
			continue
		}
		if considered++; considered > maxSpareCandidates {
			break
		}
		if _, ok := p.rateLimit(t, req, now); ok && t.load(now) < t.Slots {
			sel := p.newSelection(t, req, spareRank, req.Key == "" || t.objects.known(req.Key), now)
			sel.usesSpare = true
			return sel
		}
	}
	return nil
}

// spareTargets returns the targets of other regions in rank order for a request.
func (p *Pool) spareTargets(req *Request) []*targetState {
	key := p.hashKey(req)
	ranked := p.spare.ranking.get(key)
	if ranked == nil {
		ranked = rendezvous.TopWeighted(key, p.otherTargets, maxCachedTargets,
			func(t *targetState) string { return t.Name },
			func(t *targetState) float64 { return float64(t.Slots) })
		if req.Key != "" {
			p.spare.ranking.add(key, ranked)
		}
	}
	return ranked
}
