package placement

import (
	"math"
	"time"
)

// smoothing is the weight of a new measurement in a mean.
const smoothing = 0.1

// mean is an exponentially weighted moving average; zero: not measured.
type mean time.Duration

func (m *mean) observe(d time.Duration) {
	if *m == 0 {
		*m = mean(d)
		return
	}
	*m += mean(smoothing * float64(mean(d)-*m))
}

// freshRatio is the multiple of a warm run from which the object was new to the target.
const freshRatio = 1.8

// runTimes holds run times of a service at targets that know the object and at others.
// Whether another VM has sent the object there before shows in the run time; its
// frequency is recorded by rank.
type runTimes struct {
	warm   mean              // the target knew the object
	fresh  mean              // it did not
	shared [replicas]float64 // how often others had sent the object, by rank
}

// observe records a run at a target of the given rank.
func (r *runTimes) observe(known bool, rank int, d time.Duration) {
	if known {
		r.warm.observe(d)
		return
	}
	rank = min(rank, replicas-1)
	if r.warm != 0 && float64(d) < freshRatio*float64(r.warm) {
		r.warm.observe(d)
		r.shared[rank] += smoothing * (1 - r.shared[rank])
		return
	}
	r.fresh.observe(d)
	r.shared[rank] -= smoothing * r.shared[rank]
}

// expect returns the expected run time. A missing mean is taken from the other.
func (r *runTimes) expect(known bool, rank int) time.Duration {
	warm := time.Duration(r.warm)
	if warm == 0 {
		warm = time.Duration(r.fresh)
	}
	if known {
		return warm
	}
	fresh := max(time.Duration(r.fresh), warm)
	rank = min(rank, replicas-1)
	return fresh - time.Duration(r.shared[rank]*float64(fresh-warm))
}

// Bounds of slowness.
const (
	maxSlowness = 20.0
	// slownessTTL is the time constant of decay, so that a slow target is tried again.
	slownessTTL = 4 * time.Second
)

// slowness is a target's run time relative to its service's.
type slowness struct {
	factor float64 // 0: not measured
	at     time.Time
}

// observe records the ratio of a run time to the expected one.
func (s *slowness) observe(ratio float64, now time.Time) {
	ratio = min(max(ratio, 1/maxSlowness), maxSlowness)
	s.factor = s.now(now) + slownessSmoothing*(ratio-s.now(now))
	s.at = now
}

// slownessSmoothing exceeds smoothing, so that few answers show a slow target.
const slownessSmoothing = 0.25

// now returns the factor, which decays to 1.
func (s *slowness) now(at time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	return 1 + (s.factor-1)*math.Exp(-float64(at.Sub(s.at))/float64(slownessTTL))
}
