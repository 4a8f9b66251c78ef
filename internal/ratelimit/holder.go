package ratelimit

import (
	"math/rand/v2"
	"time"
)

const (
	// keepFor is how long a holder renews the share of a customer without requests.
	keepFor = 10 * time.Second
	// maxSpread bounds how far the return of refused requests is spread.
	maxSpread = 100 * time.Millisecond
	// maxHeld bounds the customers of a holder.
	maxHeld = 20_000
)

// heldShare is a customer's bucket at this VM.
type heldShare struct {
	bucket *bucket
	until  time.Duration // validity of the share, on the boot clock
	demand demand
	usedAt time.Duration // last request
	// waiting are the requests that wait for a token.
	waiting int
	// promised is the latest time at which a refused request was told to come back.
	promised time.Duration
}

// holder keeps this VM's buckets. It does no I/O and is not safe for concurrent use.
type holder struct {
	incarnation uint64
	number      uint64 // of the last report
	held        map[string]*heldShare
}

func newHolder(incarnation uint64) *holder {
	return &holder{incarnation: incarnation, held: make(map[string]*heldShare)}
}

// wallOf converts boot time for the buckets.
func wallOf(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// count counts a request of a customer for the demand that is reported.
func (h *holder) count(name string, now time.Duration) {
	k := h.held[name]
	if k == nil {
		if len(h.held) >= maxHeld {
			return
		}
		k = &heldShare{demand: demand{since: now}}
		h.held[name] = k
	}
	k.demand.add()
	k.usedAt = now
}

// expect makes the next report ask for a share of a customer before its first request.
func (h *holder) expect(name string, now time.Duration) {
	if h.held[name] == nil && len(h.held) < maxHeld {
		h.held[name] = &heldShare{demand: demand{since: now}, usedAt: now}
	}
}

// take takes a token of a customer.
func (h *holder) take(name string, now time.Duration) (verdict, time.Duration) {
	k := h.held[name]
	if k == nil || k.bucket == nil || now >= k.until || k.bucket.share.empty() {
		return verdictUnknown, 0
	}
	if ok, wait := k.bucket.take(wallOf(now)); !ok {
		return verdictOver, wait
	}
	return verdictTaken, 0
}

// enqueue reports whether a request may wait for a token that is expected after a time.
func (h *holder) enqueue(name string, wait time.Duration) bool {
	k := h.held[name]
	if k == nil || k.bucket == nil || wait > tokenWait {
		return false
	}
	if k.waiting >= max(int(k.bucket.share.Rate*tokenWait.Seconds()), 1) {
		return false
	}
	k.waiting++
	return true
}

// dequeue ends the wait of a request.
func (h *holder) dequeue(name string) {
	if k := h.held[name]; k != nil {
		k.waiting = max(k.waiting-1, 0)
	}
}

// refuse returns when a refused request should come back: when there is a token for it, as far as
// those refused before leave some, but soon enough to be of use.
func (h *holder) refuse(name string, wait, now time.Duration) time.Duration {
	k := h.held[name]
	if k == nil || k.bucket == nil {
		return wait
	}
	next := now + wait
	if rate := k.bucket.share.Rate; rate > 0 {
		next = max(next, k.promised+time.Duration(float64(time.Second)/rate))
	}
	if next > now+wait+maxSpread { // more come back than there are tokens
		next = now + wait + time.Duration(rand.Float64()*float64(maxSpread))
	}
	k.promised = next
	return next - now
}

// report returns the next report. It drops customers without requests.
func (h *holder) report(now time.Duration) *report {
	h.number++
	r := &report{Incarnation: h.incarnation, Number: h.number}
	for name, k := range h.held {
		valid := k.bucket != nil && now < k.until
		if !valid && now-k.usedAt > keepFor {
			delete(h.held, name)
			continue
		}
		if now-k.usedAt > keepFor {
			continue // its share runs out
		}
		e := reportEntry{Customer: name, Demand: k.demand.update(now)}
		if valid {
			e.Rate, e.Burst = k.bucket.share.Rate, k.bucket.share.Burst
		} else {
			k.bucket = nil // what it holds must not come back to life
		}
		r.Entries = append(r.Entries, e)
	}
	return r
}

// shrunk is the part of its share to which a holder's must shrink for the granter to be told at once
// that others may have the rest.
const shrunk = 0.8

// apply puts the answer to a report that was sent at some time in force. It reports whether the next
// report is due at once.
func (h *holder) apply(g *grants, sent, now time.Duration) (due bool) {
	for i := range g.Entries {
		e := &g.Entries[i]
		k := h.held[e.Customer]
		if k == nil {
			continue
		}
		share := Share{e.Rate, e.Burst}
		switch {
		case k.bucket == nil:
			k.bucket = newBucket(share, e.Fill, wallOf(now))
		case now >= k.until: // its tokens have expired with the share
			k.bucket = newBucket(share, 0, wallOf(now))
		default:
			due = due || share.Rate < shrunk*k.bucket.share.Rate
			k.bucket.setShare(share, wallOf(now))
		}
		k.until = sent + shareTTL
	}
	return due
}
