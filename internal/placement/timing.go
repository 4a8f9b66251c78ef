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

// runTimes is how long requests of a service run at a target, by whether the
// target knew the object. It can't be told for sure: an object is taken for
// known when this VM has sent a request about it there before.
type runTimes struct {
	first  mean // the object was new
	repeat mean // it was known
}

// observe takes in one run.
func (r *runTimes) observe(known bool, d time.Duration) {
	if known {
		r.repeat.observe(d)
		return
	}
	r.first.observe(d)
}

// known and fresh return the expected time of a run; what was not measured yet
// is taken from the other.
func (r *runTimes) known() time.Duration {
	if r.repeat == 0 {
		return time.Duration(r.first)
	}
	return time.Duration(r.repeat)
}

func (r *runTimes) fresh() time.Duration { return max(time.Duration(r.first), r.known()) }

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
