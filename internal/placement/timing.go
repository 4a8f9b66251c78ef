package placement

import "time"

// timingWeight is the weight of a new measurement in the mean.
const timingWeight = 0.1

// timing is the smoothed time that a target takes for an answer.
type timing struct{ mean time.Duration }

func (t *timing) observe(d time.Duration) {
	if t.mean == 0 {
		t.mean = d
		return
	}
	t.mean += time.Duration(timingWeight * float64(d-t.mean))
}
