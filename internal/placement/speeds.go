package placement

import (
	"math"
	"time"

	"masticturn/internal/edge"
)

const (
	// sharedSlownessDecay is the time constant by which shared slowness decays to 1. It exceeds
	// slownessDecay, as the runs of all VMs of a region confirm it.
	sharedSlownessDecay = 30 * time.Second
	// speedWeight is the weight of one run in shared slowness. A target that is three times slower
	// than the others is detected after a few runs; with 0.2, cache misses were enough for the power
	// of two of a usual target to change.
	speedWeight = 0.15
	// minSpeedRuns is the number of cached runs of a class that its mean must include for runs to be
	// compared with it in samples.
	minSpeedRuns = 8
	// workPeakDecay is the time constant by which the largest reported work factor decays to 1.
	workPeakDecay = 10 * time.Second
	// speedUpdateInterval is the interval at which shared slowness is updated while no samples arrive.
	speedUpdateInterval = time.Second
	// The power of two of a target's slowness changes if the logarithm is further from it than
	// powerRise, or powerFall for changes back towards 0. The difference keeps objects from moving
	// back and forth.
	powerRise = 0.55
	powerFall = 0.75
	// powerHold is how long the logarithm must be that far away, unless it is further than powerAtOnce.
	// Without it, runs during which the work factor of a target fell were taken for slowness.
	powerHold   = time.Second
	powerAtOnce = 0.9
)

// sharedSlowness is the ratio of a target's run times to those of the whole service, by the runs of all
// VMs of the region.
type sharedSlowness struct {
	factor     float64 // 0: unknown
	measuredAt time.Time
	power      int       // of two to which relative is rounded
	relative   float64   // factor relative to that of the service's targets together; 0: no speeds differ
	updatedAt  time.Time // of relative
	differs    time.Time // since when relative calls for another power; zero: it does not
}

// observe records the mean ratio of some runs.
func (s *sharedSlowness) observe(sample SpeedSample, now time.Time) {
	before := s.factorAt(now)
	weight := 1 - math.Pow(1-speedWeight, float64(sample.Runs))
	s.factor = before + weight*(sample.mean()-before)
	s.measuredAt = now
}

// factorAt returns the measured factor at a time; 1 if it is unknown.
func (s *sharedSlowness) factorAt(now time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	return decayToOne(s.factor, now.Sub(s.measuredAt), sharedSlownessDecay)
}

// at returns the slowness relative to the service's targets together at a time; 1 while no speeds differ.
func (s *sharedSlowness) at(now time.Time) float64 {
	if s.relative == 0 {
		return 1
	}
	return decayToOne(s.relative, now.Sub(s.updatedAt), sharedSlownessDecay)
}

func decayToOne(factor float64, age, timeConstant time.Duration) float64 {
	return 1 + (factor-1)*math.Exp(-float64(max(age, 0))/float64(timeConstant))
}

// updatePower updates power and reports whether it has changed.
func (s *sharedSlowness) updatePower(now time.Time) bool {
	log, power := math.Log2(s.relative), float64(s.power)
	limit := powerRise
	if power > 0 && log < power || power < 0 && log > power {
		limit = powerFall
	}
	distance := math.Abs(log - power)
	if distance <= limit {
		s.differs = time.Time{}
		return false
	}
	if s.differs.IsZero() {
		s.differs = now
	}
	if distance <= powerAtOnce && now.Sub(s.differs) < powerHold {
		return false
	}
	s.power, s.differs = int(math.Round(log)), time.Time{}
	return true
}

// SpeedChange is a change of a target's shared slowness. Both values are powers of two.
type SpeedChange struct {
	Target           string
	Slowness, Before float64
}

// poolSpeeds is what a pool knows of the speeds of its targets.
type poolSpeeds struct {
	differ    bool // the slowness of some target is rounded to another power of two than 1
	known     bool // the region's total has had samples
	updatedAt time.Time

	references map[string]*speedReference // by class
	work       float64                    // largest work factor of late
	workAt     time.Time                  // when it was reported
	newSamples map[uint32]SpeedSample     // of this VM since the last report, by shortID of the target
	newSince   time.Time                  // time of the first of them
}

// recordSpeed records a run, without the target's work factor, for the next load report. load is what the
// target reported with it; nil: nothing. It records nothing where a region has one VM, or the time of the
// way to the target is not known.
//
// The run may have waited in the target's queue, for about as long as the requests that were ahead or
// wait now take at the largest work factor of late. Such a run can only show that the target is slower
// than estimated, and no faster, as a busy target must not be taken for a slow one.
func (p *Pool) recordSpeed(sel *Selection, runTime time.Duration, load *edge.Load, now time.Time) {
	t := sel.target
	if !p.enabled.Speeds || p.regionVMs < 2 || !sel.known || t.Region != p.region && p.roundTrips[t.Region] == 0 {
		return
	}
	s := &p.speeds
	reference := s.reference(sel.class)
	ratio := float64(runTime) / float64(reference.mean)
	ahead := sel.ahead
	if load != nil && load.Waiting > 0 {
		ahead = max(ahead, load.Waiting+1)
	}
	s.recordWork(t.workFactor.at(now), now)
	waited := ahead > 0
	if waited && t.Slots > 0 {
		ratio *= t.workFactor.at(now) / s.peakWork(now)
		ratio /= 1 + float64(ahead)/float64(t.Slots)
	}
	if reference.runs >= minSpeedRuns && (!waited || ratio > t.slowness.shared.factorAt(now)) {
		s.add(t.id, newSpeedSample(ratio), now)
	}
	if !waited {
		reference.observe(time.Duration(float64(runTime) / t.slowness.shared.at(now)))
	}
}

// recordWork records a work factor that a target has reported.
func (s *poolSpeeds) recordWork(factor float64, now time.Time) {
	if factor >= s.peakWork(now) {
		s.work, s.workAt = factor, now
	}
}

// peakWork returns about the largest work factor that any target has reported in the last workPeakDecay.
func (s *poolSpeeds) peakWork(now time.Time) float64 {
	if s.work <= 1 {
		return 1
	}
	return decayToOne(s.work, now.Sub(s.workAt), workPeakDecay)
}

// speedReference is the mean run time of a class by the runs that did not wait at their target. Samples
// are compared with it, as the means of runTimes include waits that this VM did not expect.
type speedReference struct {
	mean movingAverage
	runs int
}

func (r *speedReference) observe(d time.Duration) {
	r.mean.observe(d)
	r.runs++
}

// reference returns the reference of a class.
func (s *poolSpeeds) reference(class string) *speedReference {
	r := s.references[class]
	if r == nil {
		if len(s.references) >= maxClasses || s.references == nil {
			s.references = make(map[string]*speedReference)
		}
		r = &speedReference{}
		s.references[class] = r
	}
	return r
}

// add adds a sample to those of the next report. Samples that no report has taken within maxReportTTL are
// dropped.
func (s *poolSpeeds) add(id uint32, sample SpeedSample, now time.Time) {
	if s.newSamples == nil || now.Sub(s.newSince) > maxReportTTL {
		s.newSamples = make(map[uint32]SpeedSample)
		s.newSince = now
	}
	s.newSamples[id] = s.newSamples[id].plus(sample)
}

// takeNew returns the samples for a report; each is returned once.
func (s *poolSpeeds) takeNew() map[uint32]SpeedSample {
	samples := s.newSamples
	s.newSamples = nil
	return samples
}

// applySpeeds applies the samples in the region's total; there may be none. It returns the targets whose
// slowness is rounded to another power of two than before.
func (p *Pool) applySpeeds(samples map[uint32]SpeedSample, now time.Time) []SpeedChange {
	if !p.enabled.Speeds {
		return nil
	}
	updated := false
	for id, sample := range samples {
		if t := p.byID[id]; t != nil && sample.Runs > 0 {
			t.slowness.shared.observe(sample.clamped(), now)
			updated = true
		}
	}
	p.speeds.known = p.speeds.known || updated
	if !p.speeds.known || !updated && now.Sub(p.speeds.updatedAt) < speedUpdateInterval {
		return nil
	}
	p.speeds.updatedAt = now
	return p.updateSpeeds(now)
}

// updateSpeeds recomputes the targets' slowness relative to all of them together. The measured factors
// are relative to means that other targets' speeds have influenced; without a common reference, both
// would drift.
func (p *Pool) updateSpeeds(now time.Time) []SpeedChange {
	reference := p.meanFactor(now)
	var changes []SpeedChange
	differ := false
	for _, t := range p.sortedTargets {
		s := &t.slowness.shared
		s.relative, s.updatedAt = s.factorAt(now)/reference, now
		before := s.power
		if s.updatePower(now) {
			changes = append(changes, SpeedChange{t.Name, math.Ldexp(1, s.power), math.Ldexp(1, before)})
		}
		differ = differ || s.power != 0
	}
	if !differ {
		for _, t := range p.sortedTargets {
			t.slowness.shared.relative = 0
		}
	}
	if len(changes) > 0 || differ != p.speeds.differ {
		p.speeds.differ = differ
		p.weighTargets()
		p.ranking.clear()
	}
	return changes
}

// meanFactor returns the mean of the measured factors while all slots are in use: that of one target with
// the slots and the throughput of all.
func (p *Pool) meanFactor(now time.Time) float64 {
	slots, throughput := 0.0, 0.0
	for _, t := range p.sortedTargets {
		slots += float64(t.Slots)
		throughput += float64(t.Slots) / t.slowness.shared.factorAt(now)
	}
	if throughput == 0 {
		return 1
	}
	return slots / throughput
}

// weighTargets sets the weights of the targets in rankings: slots divided by the power of two of their
// slowness. The sum of each region remains that of its slots, so that the speeds of targets move no
// objects between regions.
func (p *Pool) weighTargets() {
	for _, t := range p.sortedTargets {
		t.weight = float64(t.Slots)
	}
	if !p.speeds.differ {
		return
	}
	slots, weights := make(map[string]float64), make(map[string]float64)
	for _, t := range p.sortedTargets {
		t.weight = math.Ldexp(t.weight, -t.slowness.shared.power)
		slots[t.Region] += float64(t.Slots)
		weights[t.Region] += t.weight
	}
	for _, t := range p.sortedTargets {
		if weights[t.Region] > 0 {
			t.weight *= slots[t.Region] / weights[t.Region]
		}
	}
}

// TargetsBySlowness returns the number of targets by shared slowness, a power of two. All values that
// slowness can have are included.
func (p *Pool) TargetsBySlowness() map[float64]int {
	most := int(math.Round(math.Log2(maxSlowness)))
	targets := make(map[float64]int)
	for power := -most; power <= most; power++ {
		targets[math.Ldexp(1, power)] = 0
	}
	for _, t := range p.sortedTargets {
		targets[math.Ldexp(1, t.slowness.shared.power)]++
	}
	return targets
}
