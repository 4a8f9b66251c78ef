package targetlimit

import (
	"math"
	"time"
)

// The bound that platforms set: in any 4 s a target gets at most 1.5 times what its limit allows
// and 5 requests. A granter in office grants rate×t + burst tokens in any time t, each of which is
// used within tokenTTL and some 100 ms of connecting. With a second granter at
// substituteFraction that makes 4.6 × 1.25 × rate and both bursts, less than 6 × rate + 5.
const (
	// substituteFraction is the part of a limit that a granter uses while another one that it can't
	// see may be in office.
	substituteFraction = 0.25
	// minRate is the rate for targets with a lower limit, in requests/s. Without any request no
	// response could end the limit.
	minRate = 0.1

	// Parts of the burst: burstRequests beyond the first one, but no more than burstSeconds of
	// the limit, and refillSeconds of it, as VMs ask in intervals.
	burstRequests = 2
	burstSeconds  = 2
	refillSeconds = 0.2
)

const (
	// minAskInterval is the shortest interval at which a VM asks for tokens of one target.
	minAskInterval = 100 * time.Millisecond
	// VMs are told different times to ask again, so that there are minAskRate asks/s for one target,
	// or askRatio times its limit if that is more, however many VMs there are.
	minAskRate = 50
	askRatio   = 2
	// maxWait bounds the time after which a VM asks again, and so learns of the end of a limit.
	maxWait = 30 * time.Second
	// returnTTL is how long after a grant unused tokens can be returned.
	returnTTL = 5 * time.Second
)

// bucket is the token bucket of one target at its granter. It does no I/O and is not safe for
// concurrent use. Times are of the boot clock.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
	nextSlot  time.Duration // for which no VM has been told to ask
	granted   map[string]granted
	prunedAt  time.Duration
}

// granted is what a VM was granted by its last ask, of which it can return what it did not use.
type granted struct {
	tokens int
	at     time.Duration
}

// newBucket returns a bucket with one token, so that the first request of a low limit need not wait.
func newBucket(now time.Duration) *bucket {
	return &bucket{tokens: 1, updatedAt: now, granted: make(map[string]granted)}
}

// burst returns the capacity of a bucket under a limit, of which fraction is used.
func burst(perSecond, fraction float64) float64 {
	return 1 + fraction*(min(burstRequests, burstSeconds*perSecond)+refillSeconds*perSecond)
}

// grant takes back the unused tokens of a VM and grants it up to want others. wait is the time after
// which the VM may ask again.
func (b *bucket) grant(vm string, want, unused int, perSecond, fraction float64, now time.Duration) (tokens int, wait time.Duration) {
	rate := fraction * max(perSecond, minRate)
	b.tokens += rate*(now-b.updatedAt).Seconds() + float64(max(min(unused, b.granted[vm].tokens), 0))
	b.tokens = min(b.tokens, burst(perSecond, fraction))
	b.updatedAt = now
	tokens = max(min(want, int(b.tokens)), 0)
	b.tokens -= float64(tokens)
	b.prune(now)
	b.granted[vm] = granted{tokens, now}
	if want <= 0 {
		return 0, minAskInterval
	}
	return tokens, b.nextAsk(tokens < want, rate, now) - now
}

// nextAsk returns when a VM may ask again: if it lacks tokens, not before there is one.
func (b *bucket) nextAsk(lacks bool, rate float64, now time.Duration) time.Duration {
	at := now + minAskInterval
	if lacks {
		refill := time.Duration(math.Ceil((1 - b.tokens) / rate * float64(time.Second)))
		at = max(at, now+refill)
	}
	at = min(max(at, b.nextSlot), now+maxWait)
	b.nextSlot = at + time.Duration(float64(time.Second)/max(minAskRate, askRatio*rate))
	return at
}

// prune drops grants of which nothing can be returned any more.
func (b *bucket) prune(now time.Duration) {
	if now < b.prunedAt+returnTTL {
		return
	}
	b.prunedAt = now
	for vm, g := range b.granted {
		if now >= g.at+returnTTL {
			delete(b.granted, vm)
		}
	}
}
