package ratelimit

import "time"

// Parameters of the split of a budget among its holders.
const (
	// spareShare of the rate is kept for new holders.
	spareShare = 0.03
	// floorShare of the rate is split evenly among the holders, the rest by demand.
	floorShare = 0.15
	// headroom is how much more than its demand a holder gets if the budget allows, besides an even
	// part of the rate.
	headroom = 1.5
)

// booking is what a VM may hold until some time.
type booking struct {
	share  Share
	demand float64       // requests/s
	until  time.Duration // on the granter's boot clock
}

// request asks for a share.
type request struct {
	vm     string
	held   Share   // in force at the VM
	demand float64 // requests/s
}

// allocation splits a customer's budget among the VMs that hold shares of it. The bookings never
// exceed the budget. It does no I/O and is not safe for concurrent use.
type allocation struct {
	bookings map[string]*booking
	adopted  Share // held under earlier granters by VMs that have reported
	fills    fillBudget
}

// newAllocation returns an allocation without bookings. Idle is set if no share of the budget was in
// force for a window, so that buckets may start full.
func newAllocation(b Budget, idle bool) *allocation {
	a := &allocation{bookings: make(map[string]*booking)}
	if idle {
		a.fills.tokens = b.Burst
	}
	return a
}

// adopt books what a VM holds under an earlier granter.
func (a *allocation) adopt(vm string, held Share, until time.Duration) {
	a.adopted.Rate += held.Rate
	a.adopted.Burst += held.Burst
	a.bookings[vm] = &booking{share: held, until: until}
}

// forget drops a VM's booking, as its process has ended.
func (a *allocation) forget(vm string) { delete(a.bookings, vm) }

// renew books a share for a VM. While some VMs may hold shares of an earlier granter that they have
// not reported, incomplete is set and the budget is not granted beyond what is known.
// Expected is how many holders there will be.
func (a *allocation) renew(r request, b Budget, expected int, incomplete bool, now, until time.Duration) Share {
	a.expire(now)
	mine := a.bookings[r.vm]
	if mine == nil {
		mine = &booking{}
		a.bookings[r.vm] = mine
	}
	mine.demand = r.demand
	mine.until = until
	granted := a.target(r, b, expected).min(a.free(r.vm, b, incomplete))
	// The answer may be lost, so that the VM goes on with what it has.
	mine.share = granted.max(r.held)
	return granted
}

func (s Share) min(o Share) Share {
	return Share{max(min(s.Rate, o.Rate), 0), max(min(s.Burst, o.Burst), 0)}
}

// target returns the share that a VM should have, by its part of the demand.
func (a *allocation) target(r request, b Budget, expected int) Share {
	holders := float64(len(a.bookings))
	even := max(holders+1, float64(expected))
	floor := floorShare * b.Rate / holders
	total := 0.0
	for _, k := range a.bookings {
		total += k.demand + floor
	}
	fair := (1 - spareShare) * b.Rate * (r.demand + floor) / total
	return Share{
		Rate:  min(fair, headroom*r.demand+b.Rate/even),
		Burst: max(int(b.Burst/even), 1),
	}
}

// free returns what no other VM may hold.
func (a *allocation) free(vm string, b Budget, incomplete bool) Share {
	free := Share{b.Rate, int(b.Burst)}
	for name, k := range a.bookings {
		if name != vm {
			free.Rate -= k.share.Rate
			free.Burst -= k.share.Burst
		}
	}
	if incomplete {
		free.Rate -= max(b.Rate-a.adopted.Rate, 0)
		free.Burst -= max(int(b.Burst)-a.adopted.Burst, 0)
	}
	return free
}

// expire drops bookings that have run out.
func (a *allocation) expire(now time.Duration) {
	for vm, k := range a.bookings {
		if now >= k.until {
			delete(a.bookings, vm)
		}
	}
}

// fillBudget is a token bucket of the tokens that new buckets may start with. At most the budget's
// Fill is taken in a window, besides what it starts with.
type fillBudget struct {
	tokens float64
	last   time.Duration
}

// take returns the tokens for a new bucket, most at most.
func (f *fillBudget) take(b Budget, window time.Duration, most int, now time.Duration) int {
	if window > 0 && f.last > 0 {
		refill := b.Fill / 2 * (now - f.last).Seconds() / window.Seconds()
		f.tokens = max(f.tokens, min(f.tokens+refill, b.Fill/2))
	}
	f.last = now
	n := min(int(f.tokens), most)
	f.tokens -= float64(n)
	return n
}
