package steering

import (
	"math"
	"time"
)

// Smoothing of the estimators.
const (
	serviceSmoothing = 0.05                   // weight of a new service time in the mean
	rateWindow       = 500 * time.Millisecond // time constant of arrival rates
	minServiceTime   = 100 * time.Microsecond // lower bound of the mean service time
)

// ServiceTime is the mean time that a request holds a slot, an exponentially
// weighted mean that starts at the document's expectation.
type ServiceTime struct{ mean float64 }

// NewServiceTime returns an estimate that starts at expected.
func NewServiceTime(expected time.Duration) ServiceTime {
	return ServiceTime{mean: float64(max(expected, minServiceTime))}
}

// Observe takes in how long a request held its slot.
func (s *ServiceTime) Observe(d time.Duration) {
	s.mean += serviceSmoothing * (float64(max(d, minServiceTime)) - s.mean)
}

// Mean returns the estimate.
func (s *ServiceTime) Mean() time.Duration { return time.Duration(s.mean) }

// Rate is an exponentially decaying arrival rate.
type Rate struct {
	value float64 // per second
	at    time.Time
}

// Add counts n arrivals.
func (r *Rate) Add(n float64, now time.Time) {
	r.decay(now)
	r.value += n / rateWindow.Seconds()
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}

func (r *Rate) decay(now time.Time) {
	if dt := now.Sub(r.at); dt > 0 {
		if !r.at.IsZero() {
			r.value *= math.Exp(-dt.Seconds() / rateWindow.Seconds())
		}
		r.at = now
	}
}

// DrainEstimate is what the expected wait is computed from.
type DrainEstimate struct {
	Slots       int           // slots that serve the queue
	ServiceTime time.Duration // mean time that a request holds a slot
	HigherRate  float64       // arrivals per second of classes that go before
	Share       float64       // part of the dequeues that is guaranteed to the class
}

// ExpectedWait returns how long a request waits behind ahead others, of which
// own are of its class: the shorter of the time in which what the classes
// before it leave over drains all of them, and the time in which the class's
// guaranteed part drains its own. Without any slot it is the longest duration.
func (d DrainEstimate) ExpectedWait(ahead, own int) time.Duration {
	total := float64(d.Slots) / max(d.ServiceTime, minServiceTime).Seconds()
	byPriority := drainTime(ahead, total-d.HigherRate)
	byShare := drainTime(own, total*d.Share)
	return min(byPriority, byShare)
}

func drainTime(n int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return math.MaxInt64
	}
	seconds := float64(n) / perSecond
	if seconds > maxWait.Seconds() {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}
