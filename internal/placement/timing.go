package placement

import (
	"math"
	"time"
)

// meanWeight is the weight of a new measurement in a movingAverage.
const meanWeight = 0.1

// movingAverage is an exponentially weighted moving average; 0: not measured.
type movingAverage time.Duration

func (m *movingAverage) observe(d time.Duration) {
	if *m == 0 {
		*m = movingAverage(d)
		return
	}
	*m += movingAverage(meanWeight * float64(movingAverage(d)-*m))
}

// uncachedRatio is the ratio of a run time to the mean of cached runs at and above which the
// object is assumed not to have been in the target's cache.
const uncachedRatio = 1.8

// runTimes holds the mean run times of a service's requests, by whether the target has the
// object in its cache. This VM knows which objects it has sent to a target itself; that
// another VM had sent an object there is inferred from a short run time.
type runTimes struct {
	cached         movingAverage     // the object was cached at the target
	uncached       movingAverage     // the object was not cached
	cachedByOthers [replicas]float64 // share of objects new to this VM that were cached, by rank
}

// observe records a run at the target of the given rank. known reports whether this VM has
// sent the object there before.
func (r *runTimes) observe(known bool, rank int, d time.Duration) {
	if known {
		r.cached.observe(d)
		return
	}
	rank = min(rank, replicas-1)
	if r.cached != 0 && float64(d) < uncachedRatio*float64(r.cached) {
		r.cached.observe(d)
		r.cachedByOthers[rank] += meanWeight * (1 - r.cachedByOthers[rank])
		return
	}
	r.uncached.observe(d)
	r.cachedByOthers[rank] -= meanWeight * r.cachedByOthers[rank]
}

// expect returns the expected run time at the target of the given rank. If only one mean has
// been measured, it is used for both; 0 if none has.
func (r *runTimes) expect(known bool, rank int) time.Duration {
	cached := time.Duration(r.cached)
	if cached == 0 {
		cached = time.Duration(r.uncached)
	}
	if known {
		return cached
	}
	uncached := max(time.Duration(r.uncached), cached)
	rank = min(rank, replicas-1)
	return uncached - time.Duration(r.cachedByOthers[rank]*float64(uncached-cached))
}

// maxClasses bounds the classes with run times of their own. When it is exceeded, all are measured anew.
const maxClasses = 64

// classTimes holds the run times of a service's classes by name. Classes of one service may differ
// several times in their run times.
type classTimes map[string]*runTimes

// observe records a run of a class, as runTimes.observe does. Runs without a class are not recorded.
func (c classTimes) observe(class string, known bool, rank int, d time.Duration) {
	if class == "" {
		return
	}
	r := c[class]
	if r == nil {
		if len(c) >= maxClasses {
			clear(c)
		}
		r = &runTimes{}
		c[class] = r
	}
	r.observe(known, rank, d)
}

// timesOf returns the run times of a class; those of the whole service if the class has not been
// measured.
func (p *Pool) timesOf(class string) *runTimes {
	if r := p.classTimes[class]; r != nil {
		return r
	}
	return &p.runTimes
}

// observedTimesOf returns the run times of a class with which a run of it is compared; false if the
// class has not been measured, as the service's mean may be that of other classes.
func (p *Pool) observedTimesOf(class string) (*runTimes, bool) {
	if class == "" {
		return &p.runTimes, true
	}
	r := p.classTimes[class]
	return r, r != nil
}

const (
	// maxSlowness is the upper bound of a measured ratio, and 1/maxSlowness the lower bound.
	maxSlowness = 20.0
	// slownessDecay is the time constant by which slowness decays to the shared one, so that a
	// target that seemed slow to this VM alone is tried again.
	slownessDecay = 4 * time.Second
)

// slowness is the ratio of a target's run times to those of the whole service, by this VM's runs. It
// decays to the one that the VMs of the region share.
type slowness struct {
	factor     float64 // 0: not measured
	measuredAt time.Time
	shared     sharedSlowness
}

// observe records the ratio of a run time to the expected run time.
func (s *slowness) observe(ratio float64, now time.Time) {
	ratio = min(max(ratio, 1/maxSlowness), maxSlowness)
	s.factor = s.factorAt(now) + slownessWeight*(ratio-s.factorAt(now))
	s.measuredAt = now
}

// workFactorDecay is the time constant by which a reported work factor decays to 1. It is short, as
// targets that share a machine change theirs several times a second.
const workFactorDecay = 500 * time.Millisecond

// workFactor is the time that work takes at a target, in multiples of its usual time, as last reported.
// Unlike slowness it is a property of the moment.
type workFactor struct {
	factor     float64 // 0: not reported
	reportedAt time.Time
}

// report records a report in percent; 0: the target reported none.
func (f *workFactor) report(percent int, now time.Time) {
	if percent <= 0 {
		*f = workFactor{}
		return
	}
	*f = workFactor{factor: min(max(float64(percent)/100, 1/maxSlowness), maxSlowness), reportedAt: now}
}

// at returns the factor expected at a time; 1 if none was reported.
func (f *workFactor) at(now time.Time) float64 {
	if f.factor == 0 {
		return 1
	}
	return 1 + (f.factor-1)*math.Exp(-float64(now.Sub(f.reportedAt))/float64(workFactorDecay))
}

// slownessWeight is the weight of a new measurement in slowness. It exceeds meanWeight, so
// that a slow target is detected after a few answers.
const slownessWeight = 0.25

// factorAt returns the factor at a time; the shared one if none has been measured.
func (s *slowness) factorAt(at time.Time) float64 {
	shared := s.shared.at(at)
	if s.factor == 0 {
		return shared
	}
	return shared + (s.factor-shared)*math.Exp(-float64(at.Sub(s.measuredAt))/float64(slownessDecay))
}
