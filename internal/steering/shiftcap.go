package steering

import (
	"math"
	"time"
)

const (
	// capBuckets is how many buckets a window is divided into.
	capBuckets = 16
	// capSkew is how many buckets of delay between the count of a request and
	// that of its shift the cap allows for: a quarter of a window.
	capSkew = 4
	// capRing covers three windows, the skew and the current bucket.
	capRing = 64
)

// CapLimits is the bound that operators set on a shift between two regions
// for one service.
type CapLimits struct {
	MaxFraction     float64       // shifted requests in a window per counted request of the window before
	MaxStepFraction float64       // how much the fraction may rise from one window to the next; 0: by any amount
	Window          time.Duration // length of a window
}

// ShiftCap bounds the requests of the callers of one region that this process
// sends to targets of another one. It counts this process's own traffic only,
// so that the sum over all processes keeps the bound without agreement: the
// bound is a fraction of what each one counted, rounded down.
//
// Property 1, for every alignment of the windows, not only that of one clock:
// with s requests shifted in [a, a+Window) and n requests counted in
// [a-Window, a), s ≤ floor(MaxFraction·n). It also holds for a counter that
// sees shifts late, by up to a fifth of a window.
//
// Property 2, for every window that starts at a boundary of a bucket: the
// fraction s/n exceeds that of the window before by MaxStepFraction at most.
//
// Property 3: a new ShiftCap has counted nothing and shifts nothing.
//
// The time must not go back; one that does counts as the latest time seen.
type ShiftCap struct {
	limits  CapLimits
	origin  time.Time
	current int64 // number of the current bucket since origin
	counted [capRing]uint32
	shifted [capRing]uint32
	budget  uint64 // shifts allowed in the current bucket
	owed    uint64 // shifts in the current bucket below which traffic returns too fast
}

// NewShiftCap returns a cap that has counted nothing.
func NewShiftCap(limits CapLimits, now time.Time) *ShiftCap {
	return &ShiftCap{limits: limits, origin: now}
}

// Count counts one request of the callers of the region, whether it is
// shifted or not. A further attempt of a counted request is not counted.
func (c *ShiftCap) Count(now time.Time) {
	c.advance(now)
	c.counted[c.current%capRing]++
}

// Allows reports whether one more request may be shifted now.
func (c *ShiftCap) Allows(now time.Time) bool {
	c.advance(now)
	return c.shiftedNow() < c.budget
}

// Shift takes one shift; it reports false, and takes none, when the cap is
// reached.
func (c *ShiftCap) Shift(now time.Time) bool {
	if !c.Allows(now) {
		return false
	}
	c.shifted[c.current%capRing]++
	return true
}

// Owed reports whether traffic returns faster than MaxStepFraction per window,
// so that a request should be shifted although nothing else calls for it.
func (c *ShiftCap) Owed(now time.Time) bool {
	c.advance(now)
	return c.shiftedNow() < c.owed
}

// PerSecond returns the shifts a second that the cap allows at present.
func (c *ShiftCap) PerSecond(now time.Time) float64 {
	c.advance(now)
	return float64(c.budget) / (c.limits.Window / capBuckets).Seconds()
}

// Fraction returns the shifted requests of the last window per request that
// was counted in the window before it.
func (c *ShiftCap) Fraction(now time.Time) float64 {
	c.advance(now)
	return c.fractionBefore(c.current)
}

func (c *ShiftCap) shiftedNow() uint64 { return uint64(c.shifted[c.current%capRing]) }

// advance moves to the bucket of now.
func (c *ShiftCap) advance(now time.Time) {
	bucket := int64(now.Sub(c.origin) / (c.limits.Window / capBuckets))
	if bucket <= c.current {
		return
	}
	for n := max(c.current+1, bucket-capRing+1); n <= bucket; n++ {
		c.counted[n%capRing] = 0
		c.shifted[n%capRing] = 0
	}
	c.current = bucket
	c.plan()
}

// plan computes budget and owed when a bucket begins. Every window that holds
// the present moment starts in one of the last capBuckets+1 buckets.
func (c *ShiftCap) plan() {
	budget := uint64(math.MaxUint64)
	for start := c.current - capBuckets; start <= c.current; start++ {
		budget = min(budget, c.left(start))
	}
	c.budget = budget
	c.owed = 0
	if c.limits.MaxStepFraction > 0 {
		c.pace()
	}
}

// pace spreads a rise and a fall by the step evenly over the window. In a
// linear change by one step per window the present fraction is that of the
// last window and half a step.
func (c *ShiftCap) pace() {
	perBucket := float64(c.sum(&c.counted, c.current, capBuckets)) / capBuckets
	fraction := c.fractionBefore(c.current)
	half := c.limits.MaxStepFraction / 2
	rise := uint64(math.Ceil((fraction + 2*half) * perBucket))
	c.budget = min(c.budget, max(rise, 1))
	c.owed = uint64(max(0, fraction-half) * perBucket)
}

// left returns how many more requests a window that starts in the bucket
// start may shift.
func (c *ShiftCap) left(start int64) uint64 {
	done := c.sum(&c.shifted, c.current, c.current-start)
	allowed := uint64(c.limits.MaxFraction * float64(c.surely(start)))
	if c.limits.MaxStepFraction > 0 && start > c.current-capBuckets {
		fraction := c.fractionBefore(start) + c.limits.MaxStepFraction
		allowed = min(allowed, uint64(fraction*float64(c.sum(&c.counted, start, capBuckets))))
	}
	if done >= allowed {
		return 0
	}
	return allowed - done
}

// surely returns how many requests were counted at least in the window before
// one that starts in the bucket start. A shift that is counted outside later
// than it was decided here is compared with a later window before: the least
// of all delays up to capSkew buckets is taken.
func (c *ShiftCap) surely(start int64) uint64 {
	least := uint64(math.MaxUint64)
	for delay := int64(0); delay <= capSkew; delay++ {
		first := start + delay - (capBuckets - 1)
		end := min(start+delay, c.current)
		least = min(least, c.sum(&c.counted, end, end-first))
	}
	return least
}

// fractionBefore returns the fraction of the window that ends before a bucket.
func (c *ShiftCap) fractionBefore(end int64) float64 {
	return ratio(c.sum(&c.shifted, end, capBuckets), c.sum(&c.counted, end-capBuckets, capBuckets))
}

// sum adds up the n buckets before end.
func (c *ShiftCap) sum(ring *[capRing]uint32, end int64, n int64) uint64 {
	var total uint64
	for i := max(end-n, 0); i < end; i++ {
		total += uint64(ring[i%capRing])
	}
	return total
}

func ratio(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
