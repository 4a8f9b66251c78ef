package ratelimit

import (
	"math/rand/v2"
	"time"
)

const (
	// idleTimeout is how long a holder keeps renewing the share of a customer without requests.
	idleTimeout = 10 * time.Second
	// maxRetryJitter limits the random delay by which the retries of refused requests are spread.
	maxRetryJitter = 100 * time.Millisecond
	// maxHeldCustomers limits the number of customers that a holder keeps track of.
	maxHeldCustomers = 20_000
)

// heldShare is the state of a customer at this VM: its bucket, if there is a share, and its demand.
type heldShare struct {
	bucket     *bucket
	expiresAt  time.Duration // end of the share's validity, on the boot clock
	demand     demand
	lastUsedAt time.Duration // time of the last request
	// waiting is the number of requests that wait for a token.
	waiting int
	// lastRetryAt is the retry time given to the most recently refused request.
	lastRetryAt time.Duration
}

// holder keeps this VM's shares. It does no I/O and is not safe for concurrent use.
type holder struct {
	incarnation uint64
	lastReport  uint64 // number of the last report
	shares      map[string]*heldShare
}

func newHolder(incarnation uint64) *holder {
	return &holder{incarnation: incarnation, shares: make(map[string]*heldShare)}
}

// wallTime converts boot time to the time.Time that rate.Limiter needs.
func wallTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// recordRequest counts a request of a customer toward the demand that is reported.
func (h *holder) recordRequest(name string, now time.Duration) {
	hs := h.shares[name]
	if hs == nil {
		if len(h.shares) >= maxHeldCustomers {
			return
		}
		hs = &heldShare{demand: demand{intervalStart: now}}
		h.shares[name] = hs
	}
	hs.demand.add()
	hs.lastUsedAt = now
}

// requestShare makes the next report ask for a customer's share before its first request arrives.
func (h *holder) requestShare(name string, now time.Duration) {
	if h.shares[name] == nil && len(h.shares) < maxHeldCustomers {
		h.shares[name] = &heldShare{demand: demand{intervalStart: now}, lastUsedAt: now}
	}
}

// take takes a token from a customer's bucket. If there is none, it returns resultOverLimit and the time
// until one is available. Without a valid share it returns resultUnknown.
func (h *holder) take(name string, now time.Duration) (takeResult, time.Duration) {
	hs := h.shares[name]
	if hs == nil || hs.bucket == nil || now >= hs.expiresAt || hs.bucket.share.empty() {
		return resultUnknown, 0
	}
	if ok, wait := hs.bucket.take(wallTime(now)); !ok {
		return resultOverLimit, wait
	}
	return resultTaken, 0
}

// enqueue reports whether a request may wait for a token that is expected after the given wait, and
// counts it as waiting if so. Each successful call must be followed by dequeue.
func (h *holder) enqueue(name string, wait time.Duration) bool {
	hs := h.shares[name]
	if hs == nil || hs.bucket == nil || wait > maxTokenWait {
		return false
	}
	if hs.waiting >= max(int(hs.bucket.share.Rate*maxTokenWait.Seconds()), 1) {
		return false
	}
	hs.waiting++
	return true
}

// dequeue ends the wait of a request that enqueue accepted.
func (h *holder) dequeue(name string) {
	if hs := h.shares[name]; hs != nil {
		hs.waiting = max(hs.waiting-1, 0)
	}
}

// retryAfter returns the time after which a refused request should be retried. Retries are spaced by
// the share's rate, so that there is a token for each, but start at most maxRetryJitter after wait,
// soon enough to be of use.
func (h *holder) retryAfter(name string, wait, now time.Duration) time.Duration {
	hs := h.shares[name]
	if hs == nil || hs.bucket == nil {
		return wait
	}
	next := now + wait
	if rate := hs.bucket.share.Rate; rate > 0 {
		next = max(next, hs.lastRetryAt+time.Duration(float64(time.Second)/rate))
	}
	if next > now+wait+maxRetryJitter { // there are more retries than tokens
		next = now + wait + time.Duration(rand.Float64()*float64(maxRetryJitter))
	}
	hs.lastRetryAt = next
	return next - now
}

// report returns the next report. It removes customers without requests once their shares have expired.
func (h *holder) report(now time.Duration) *report {
	h.lastReport++
	r := &report{Incarnation: h.incarnation, Number: h.lastReport}
	for name, hs := range h.shares {
		valid := hs.bucket != nil && now < hs.expiresAt
		if !valid && now-hs.lastUsedAt > idleTimeout {
			delete(h.shares, name)
			continue
		}
		if now-hs.lastUsedAt > idleTimeout {
			continue // let the share expire
		}
		e := reportEntry{Customer: name, Demand: hs.demand.update(now)}
		if valid {
			e.Rate, e.Burst = hs.bucket.share.Rate, hs.bucket.share.Burst
		} else {
			hs.bucket = nil // the tokens of an expired share must not become usable again
		}
		r.Entries = append(r.Entries, e)
	}
	return r
}

// shrinkThreshold is the fraction of its former rate below which a holder's new share is reported to
// the granter immediately, so that the granter can give the rest to others.
const shrinkThreshold = 0.8

// apply puts the shares in force that were granted in response to a report sent at the given time. It
// reports whether the next report should be sent immediately.
func (h *holder) apply(resp *reportResponse, sent, now time.Duration) (due bool) {
	for i := range resp.Entries {
		e := &resp.Entries[i]
		hs := h.shares[e.Customer]
		if hs == nil {
			continue
		}
		share := Share{e.Rate, e.Burst}
		switch {
		case hs.bucket == nil:
			hs.bucket = newBucket(share, e.Fill, wallTime(now))
		case now >= hs.expiresAt: // the tokens expired with the share
			hs.bucket = newBucket(share, 0, wallTime(now))
		default:
			due = due || share.Rate < shrinkThreshold*hs.bucket.share.Rate
			hs.bucket.setShare(share, wallTime(now))
		}
		hs.expiresAt = sent + shareTTL
	}
	return due
}
