package placement

import (
	"math"
	"time"
)

// smoothing is the weight of a new measurement in a mean: the last ten or so
// count.
const smoothing = 0.1

// mean is a smoothed duration; zero: nothing was measured.
type mean time.Duration

func (m *mean) observe(d time.Duration) {
	if *m == 0 {
		*m = mean(d)
		return
	}
	*m += mean(smoothing * float64(mean(d)-*m))
}

// freshRatio tells a run at a target that did not know the object from one that
// did, which takes a small part of the time.
const freshRatio = 1.8

// runTimes is how long requests of a service run at a target that knows the
// object and at one that does not. A VM knows what it has sent itself; whether
// another VM has sent the object there before shows in the time that the run
// took, and is expected as often as it was so for targets of the same rank.
type runTimes struct {
	warm   mean              // the target knew the object
	fresh  mean              // it did not
	shared [replicas]float64 // how often others had sent the object there, by rank
}

// observe takes in one run at the target of a rank.
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

// expect returns the expected time of a run. What was not measured yet is taken
// from the other.
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

// Slowness of a target against its service.
const (
	slownessMost = 20.0
	// slownessLife is how fast an old measurement of slowness is forgotten, so
	// that a target that was slow is tried again.
	slownessLife = 4 * time.Second
)

// slowness is how many times as long as its service's others a target takes.
type slowness struct {
	factor float64 // 0: not measured
	at     time.Time
}

// observe takes in how many times as long as expected a run took.
func (s *slowness) observe(ratio float64, now time.Time) {
	ratio = min(max(ratio, 1/slownessMost), slownessMost)
	s.factor = s.now(now) + slownessSmoothing*(ratio-s.now(now))
	s.at = now
}

// slownessSmoothing is larger than smoothing: a target that turns slow is found
// out with a few answers.
const slownessSmoothing = 0.25

// now returns the factor, which returns to 1 as the measurement ages.
func (s *slowness) now(at time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	return 1 + (s.factor-1)*math.Exp(-float64(at.Sub(s.at))/float64(slownessLife))
}
