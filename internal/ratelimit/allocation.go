package ratelimit

import "time"

// Parameters for splitting a budget among its holders.
const (
	// spareFraction is the fraction of the rate that is reserved for new holders.
	spareFraction = 0.03
	// evenFraction is the fraction of the rate that is split evenly among the holders. The rest is
	// split in proportion to demand.
	evenFraction = 0.15
	// demandHeadroom limits a holder's rate to this multiple of its demand, plus an even part of the
	// budget's rate.
	demandHeadroom = 1.5
)

// reservation is the share that a VM may hold until expiresAt.
type reservation struct {
	share     Share
	demand    float64       // requests/s
	expiresAt time.Duration // on the granter's boot clock
}

// shareRequest is a VM's request for a share.
type shareRequest struct {
	vm     string
	held   Share   // in force at the VM
	demand float64 // requests/s
}

// allocation splits a customer's budget among the VMs that hold shares of it. The sum of the
// reservations never exceeds the budget. It does no I/O and is not safe for concurrent use.
type allocation struct {
	reservations  map[string]*reservation
	adoptedShares Share // sum of the shares that VMs reported to hold from earlier granters
	fills         fillBudget
	emptiedAt     time.Duration // when a reservation was last removed
}

// newAllocation returns an allocation without reservations. idle means that no share of the budget was in
// force for a window, so that its whole burst is available to new buckets.
func newAllocation(b Budget, idle bool) *allocation {
	a := &allocation{reservations: make(map[string]*reservation)}
	if idle {
		a.fills.initial = b.Burst
	}
	return a
}

// limitInitialFill limits the tokens that an idle budget still has for new buckets to the part of the burst
// that is not reserved: the other buckets may hold tokens for the rest.
func (a *allocation) limitInitialFill(b Budget) {
	free := b.Burst
	for _, res := range a.reservations {
		free -= float64(res.share.Burst)
	}
	a.fills.initial = min(a.fills.initial, max(free, 0))
}

// adopt reserves the share that a VM holds from an earlier granter.
func (a *allocation) adopt(vm string, held Share, until time.Duration) {
	a.adoptedShares.Rate += held.Rate
	a.adoptedShares.Burst += held.Burst
	a.reservations[vm] = &reservation{share: held, expiresAt: until}
}

// removeVM removes the reservation of a VM whose process has ended.
func (a *allocation) removeVM(vm string, now time.Duration) {
	delete(a.reservations, vm)
	a.recordEnd(now)
}

// recordEnd records that a share has ended. The tokens that its bucket started with may have been used in the
// same window, so that no other bucket may start with them.
func (a *allocation) recordEnd(now time.Duration) {
	a.emptiedAt = now
	a.fills.initial = 0
}

// idle reports whether no share of the budget was in force for a window.
func (a *allocation) idle(window, now time.Duration) bool {
	a.expire(now)
	return len(a.reservations) == 0 && now-a.emptiedAt > window
}

// renew reserves and returns a share for a VM. incomplete means that some VMs may hold shares from an
// earlier granter that they have not reported yet; only the part of the budget that is known to be
// free is granted then. expected is the number of holders that the budget will have.
func (a *allocation) renew(r shareRequest, b Budget, expected int, incomplete bool, now, until time.Duration) Share {
	a.expire(now)
	own := a.reservations[r.vm]
	if own == nil {
		own = &reservation{}
		a.reservations[r.vm] = own
	}
	own.demand = r.demand
	own.expiresAt = until
	granted := a.target(r, b, expected).min(a.available(r.vm, b, incomplete))
	// If the response is lost, the VM continues to use the share that it holds.
	own.share = granted.max(r.held)
	return granted
}

// min returns the smaller rate and burst of two shares, but no negative ones.
func (s Share) min(o Share) Share {
	return Share{max(min(s.Rate, o.Rate), 0), max(min(s.Burst, o.Burst), 0)}
}

// target returns the share that a VM should have according to its part of the demand.
func (a *allocation) target(r shareRequest, b Budget, expected int) Share {
	holders := float64(len(a.reservations))
	parts := max(holders+1, float64(expected))
	evenRate := evenFraction * b.Rate / holders
	total := 0.0
	for _, res := range a.reservations {
		total += res.demand + evenRate
	}
	proportional := (1 - spareFraction) * b.Rate * (r.demand + evenRate) / total
	return Share{
		Rate:  min(proportional, demandHeadroom*r.demand+b.Rate/parts),
		Burst: max(int(b.Burst/parts), 1),
	}
}

// available returns the part of the budget that no other VM may hold. It may be negative.
func (a *allocation) available(vm string, b Budget, incomplete bool) Share {
	available := Share{b.Rate, int(b.Burst)}
	for name, res := range a.reservations {
		if name != vm {
			available.Rate -= res.share.Rate
			available.Burst -= res.share.Burst
		}
	}
	if incomplete {
		available.Rate -= max(b.Rate-a.adoptedShares.Rate, 0)
		available.Burst -= max(int(b.Burst)-a.adoptedShares.Burst, 0)
	}
	return available
}

// expire removes expired reservations.
func (a *allocation) expire(now time.Duration) {
	for vm, res := range a.reservations {
		if now >= res.expiresAt {
			delete(a.reservations, vm)
			a.recordEnd(now)
		}
	}
}

// fillBudget limits the tokens with which the buckets of new holders start, so that holders that join
// do not raise the total over the limit. It is itself a token bucket. In any window at most the
// budget's Fill is taken: half of it may have accumulated before the window (the cap), and the other
// half is refilled during it. The initial tokens come on top; they only become fewer.
type fillBudget struct {
	initial float64
	tokens  float64
	last    time.Duration
}

// take returns the number of tokens for a new bucket, at most maxTokens.
func (f *fillBudget) take(b Budget, window time.Duration, maxTokens int, now time.Duration) int {
	f.refill(b, window, now)
	n := min(int(f.initial+f.tokens), maxTokens)
	fromInitial := min(f.initial, float64(n))
	f.initial -= fromInitial
	f.tokens -= float64(n) - fromInitial
	return n
}

// refill adds the tokens for the time since the last refill.
func (f *fillBudget) refill(b Budget, window, now time.Duration) {
	if f.last != 0 && window > 0 {
		f.tokens += b.Fill / 2 * (now - f.last).Seconds() / window.Seconds()
	}
	f.tokens = min(f.tokens, b.Fill/2)
	f.last = now
}
