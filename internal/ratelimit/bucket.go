package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Share is a part of a customer's budget.
type Share struct {
	Rate  float64 // requests/s
	Burst int     // capacity of the bucket, in tokens
}

// max returns the larger rate and burst of two shares.
func (s Share) max(o Share) Share {
	return Share{max(s.Rate, o.Rate), max(s.Burst, o.Burst)}
}

// empty reports whether no request can run under the share, because the entire budget may be in use at
// other VMs.
func (s Share) empty() bool { return s.Rate <= 0 || s.Burst < 1 }

// bucket is the token bucket of a share. It is not safe for concurrent use.
type bucket struct {
	share   Share
	limiter *rate.Limiter
}

// newBucket returns a bucket that starts with fill tokens.
func newBucket(s Share, fill int, now time.Time) *bucket {
	b := &bucket{share: s, limiter: rate.NewLimiter(rate.Limit(s.Rate), s.Burst)}
	b.limiter.AllowN(now, max(s.Burst-fill, 0)) // rate.NewLimiter returns a full bucket
	return b
}

// setShare changes the share. Tokens beyond the new burst are discarded; none are added.
func (b *bucket) setShare(s Share, now time.Time) {
	b.share = s
	b.limiter.SetLimitAt(now, rate.Limit(s.Rate))
	b.limiter.SetBurstAt(now, s.Burst)
}

// maxReportedWait limits the wait that bucket.take returns.
const maxReportedWait = time.Second

// take takes a token. If there is none, it returns the time until one is available.
func (b *bucket) take(now time.Time) (ok bool, wait time.Duration) {
	if b.limiter.AllowN(now, 1) {
		return true, 0
	}
	if b.share.empty() {
		return false, maxReportedWait
	}
	missing := 1 - b.limiter.TokensAt(now)
	return false, min(max(time.Duration(missing/b.share.Rate*float64(time.Second)), time.Millisecond), maxReportedWait)
}

// demand estimates a customer's requests/s. The estimate is a slow moving average, which is set to the
// fast one when the difference between them is too large to be random variation.
type demand struct {
	slow, fast    float64
	averaged      float64 // seconds that slow averages over, at most slowWindow
	count         int
	intervalStart time.Duration // on the boot clock
}

const (
	fastWindow = 500 * time.Millisecond
	slowWindow = 5 * time.Second
	// noiseDeviations is the number of standard deviations up to which a difference is considered
	// random variation.
	noiseDeviations = 3
)

// add counts a request.
func (d *demand) add() { d.count++ }

// update ends the current interval and returns the new estimate.
func (d *demand) update(now time.Duration) float64 {
	interval := (now - d.intervalStart).Seconds()
	if interval <= 0 {
		return d.slow
	}
	rate := float64(d.count) / interval
	d.fast += min(interval/fastWindow.Seconds(), 1) * (rate - d.fast)
	d.averaged = min(d.averaged+interval, slowWindow.Seconds())
	d.slow += min(interval/d.averaged, 1) * (rate - d.slow)
	noise := noiseDeviations * math.Sqrt(max(d.slow, 1)/fastWindow.Seconds())
	if math.Abs(d.fast-d.slow) > noise {
		d.slow = d.fast
	}
	d.count, d.intervalStart = 0, now
	return d.slow
}
