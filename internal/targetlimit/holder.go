package targetlimit

import "time"

const (
	// tokenTTL is how long a token may be used, from the sending of the request for it. It bounds
	// how much of the limit can be held back for later.
	tokenTTL = 500 * time.Millisecond
	// pendingTimeout is how long a caller's request may wait for the granter's response.
	pendingTimeout = 250 * time.Millisecond
	// failedWait is the wait after a failed call of the granter.
	failedWait = 500 * time.Millisecond
)

// batch is a number of tokens received together.
type batch struct {
	count   int
	expires time.Duration
}

// holder is a VM's part of a target's limit: tokens, each of which allows one request to the
// target. It does no I/O and is not safe for concurrent use. Times are of the boot clock.
type holder struct {
	batches []batch // in the order in which they expire
	wanted  int     // requests since the last ask that would use the target
	asking  bool
	askedAt time.Duration
	nextAsk time.Duration // the granter has no token before
	unused  int           // tokens that have expired and are to be returned
}

// expire moves expired tokens to those to be returned.
func (h *holder) expire(now time.Duration) {
	for len(h.batches) > 0 && (now >= h.batches[0].expires || h.batches[0].count == 0) {
		h.unused += h.batches[0].count
		h.batches = h.batches[1:]
	}
}

// available returns the number of tokens.
func (h *holder) available(now time.Duration) int {
	h.expire(now)
	n := 0
	for _, b := range h.batches {
		n += b.count
	}
	return n
}

// take uses a token, if there is one.
func (h *holder) take(now time.Duration) bool {
	h.expire(now)
	if len(h.batches) == 0 {
		return false
	}
	h.batches[0].count--
	return true
}

// pending reports whether tokens may arrive soon.
func (h *holder) pending(now time.Duration) bool {
	return h.asking && now < h.askedAt+pendingTimeout
}

// wait returns how long it takes at least until the granter has a token for this VM.
func (h *holder) wait(now time.Duration) time.Duration { return max(h.nextAsk-now, 0) }

// askDue reports whether to ask the granter for tokens: when there are fewer than requests that
// would use them.
func (h *holder) askDue(now time.Duration) bool {
	return !h.asking && now >= h.nextAsk && h.wanted > h.available(now)
}

// ask begins an ask. It returns how many tokens to ask for and how many to return.
func (h *holder) ask(now time.Duration) (want, unused int) {
	want = max(h.wanted-h.available(now), 0)
	unused = h.unused
	h.wanted, h.unused = 0, 0
	h.asking, h.askedAt = true, now
	return want, unused
}

// receive ends an ask with the tokens granted and the time until there may be more.
func (h *holder) receive(tokens int, wait, now time.Duration) {
	h.asking = false
	h.nextAsk = max(h.nextAsk, now+wait)
	if tokens <= 0 {
		return
	}
	h.batches = append(h.batches, batch{tokens, h.askedAt + tokenTTL})
	h.expire(now)
}

// fail ends an ask that got no response. Tokens that were granted are lost.
func (h *holder) fail(now time.Duration) {
	h.asking = false
	h.nextAsk = now + failedWait
}
