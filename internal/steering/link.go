package steering

import (
	"time"

	"golang.org/x/time/rate"
)

// LinkShare is the part of a link between two regions that one broker may
// use. The document's limit of a link is divided evenly by the number of
// services; each service has one broker in the region at the link's near end,
// so that the shares add up to the limit.
type LinkShare struct {
	OneWay   time.Duration
	requests *rate.Limiter // nil: no limit
	bytes    *rate.Limiter // nil: no limit
}

// linkBurst is the time over which a link's limits may be used at once.
const linkBurst = 100 * time.Millisecond

// NewLinkShare returns the share of a link of requestsPerSecond and
// bytesPerSecond among services. A limit of 0 or less admits nothing.
func NewLinkShare(oneWay time.Duration, requestsPerSecond, bytesPerSecond float64, services int) *LinkShare {
	services = max(services, 1)
	return &LinkShare{
		OneWay:   oneWay,
		requests: newLimiter(requestsPerSecond / float64(services)),
		bytes:    newLimiter(bytesPerSecond / float64(services)),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(0, 0)
	}
	burst := max(1, int(perSecond*linkBurst.Seconds()))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Allows reports whether one more request may use the link now.
func (l *LinkShare) Allows(now time.Time) bool {
	return l.requests.TokensAt(now) >= 1 && l.bytes.TokensAt(now) >= 1
}

// Take uses the link for one request of so many bytes both ways. A request
// larger than the burst is taken as a debt, during which Allows is false. It
// reports false, and takes nothing, when Allows does.
func (l *LinkShare) Take(bytes int64, now time.Time) bool {
	if !l.Allows(now) {
		return false
	}
	l.requests.AllowN(now, 1)
	for left := bytes; left > 0; left -= int64(l.bytes.Burst()) {
		l.bytes.ReserveN(now, int(min(left, int64(l.bytes.Burst()))))
	}
	return true
}
