package ratelimit

import (
	"maps"
	"time"

	"masticturn/internal/customer"
)

// shareTTL is how long a share is valid. It is longer than the election of another granter takes.
const shareTTL = 5 * time.Second

// reporter is the process of a VM that has reported in this term.
type reporter struct {
	incarnation uint64
	lastReport  uint64 // number of its last report
}

// granter splits the budgets of all customers among VMs for one term. It does no I/O and is not safe
// for concurrent use.
type granter struct {
	term            uint64
	tolerance       Tolerance
	allocations     map[string]*allocation // by customer
	reporters       map[string]reporter    // by VM
	expectedHolders func(b Budget) int     // expected number of VMs that hold shares of a budget
	// pending are the VMs that have not reported and may hold shares from an earlier term. Such
	// shares expire by pendingUntil.
	pending      holderSet
	pendingUntil time.Duration
	// idleFrom is the time from which every customer without an allocation is known to have had no
	// shares for a window.
	idleFrom time.Duration
}

// newGranter returns the granter of a term. earlier are the VMs that may hold shares from an earlier
// term; first means that there was no earlier term.
func newGranter(term uint64, t Tolerance, earlier holderSet, first bool, now time.Duration) *granter {
	g := &granter{
		term:            term,
		tolerance:       t,
		expectedHolders: func(Budget) int { return 1 },
		allocations:     make(map[string]*allocation),
		reporters:       make(map[string]reporter),
		pending:         maps.Clone(earlier),
		pendingUntil:    now + shareTTL,
	}
	if !first {
		g.idleFrom = g.pendingUntil + t.Window
	}
	return g
}

// hasUnknownShares reports whether some VMs may hold shares from an earlier term that they have not
// reported.
func (g *granter) hasUnknownShares(now time.Duration) bool {
	return len(g.pending) > 0 && now < g.pendingUntil
}

// report handles a VM's report. It returns false if the report is a duplicate or older than one that
// was already handled.
func (g *granter) report(vm string, r *report, limitOf func(customer string) customer.Limit, now time.Duration) (*reportResponse, bool) {
	last, known := g.reporters[vm]
	if known && (r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.Number <= last.lastReport) {
		return nil, false
	}
	g.reporters[vm] = reporter{r.Incarnation, r.Number}
	until := now + shareTTL
	switch {
	case !known:
		g.adopt(vm, r, limitOf, now, until)
	case last.incarnation != r.Incarnation:
		g.removeVM(vm, now)
	}
	resp := &reportResponse{Term: g.term}
	for i := range r.Entries {
		e := &r.Entries[i]
		if limit := limitOf(e.Customer); limit.Limited() {
			resp.Entries = append(resp.Entries, g.renew(vm, e, limit, now, until))
		}
	}
	return resp, true
}

// adopt handles the first report of a VM, by reserving the shares that the VM holds from an earlier
// term.
func (g *granter) adopt(vm string, r *report, limitOf func(string) customer.Limit, now, until time.Duration) {
	delete(g.pending, vm)
	for i := range r.Entries {
		e := &r.Entries[i]
		if held := e.share(); held != (Share{}) {
			g.allocation(e.Customer, g.tolerance.Budget(limitOf(e.Customer)), now).adopt(vm, held, until)
		}
	}
}

// removeVM removes all reservations of a VM.
func (g *granter) removeVM(vm string, now time.Duration) {
	for _, a := range g.allocations {
		a.removeVM(vm, now)
	}
}

// allocation returns the allocation of a customer's budget, creating it if needed.
func (g *granter) allocation(customer string, b Budget, now time.Duration) *allocation {
	a := g.allocations[customer]
	if a == nil {
		a = newAllocation(b, now >= g.idleFrom)
		g.allocations[customer] = a
	}
	return a
}

// renew grants a VM its share of a customer's budget.
func (g *granter) renew(vm string, e *reportEntry, limit customer.Limit, now, until time.Duration) grantEntry {
	budget := g.tolerance.Budget(limit)
	a := g.allocation(e.Customer, budget, now)
	share := a.renew(shareRequest{vm: vm, held: e.share(), demand: e.Demand}, budget, g.expectedHolders(budget), g.hasUnknownShares(now), now, until)
	out := grantEntry{Customer: e.Customer, Rate: share.Rate, Burst: share.Burst}
	if e.share() == (Share{}) {
		out.Fill = a.fills.take(budget, g.tolerance.Window, share.Burst, now)
	}
	a.limitInitialFill(budget)
	return out
}

// processReplaced handles the first report of a process that the lease does not list. Such a process
// holds no shares, and any earlier process of its VM has ended.
func (g *granter) processReplaced(vm string, incarnation uint64, now time.Duration) {
	if last, known := g.reporters[vm]; known && last.incarnation >= incarnation {
		return
	}
	g.removeVM(vm, now)
	delete(g.pending, vm)
	g.reporters[vm] = reporter{incarnation: incarnation}
}

// removePending handles VMs whose earlier process has ended, and with it the shares that it held.
func (g *granter) removePending(vms []string) {
	for _, vm := range vms {
		delete(g.pending, vm)
	}
}

// holders returns the VMs that have reservations, each with the process that holds the shares.
func (g *granter) holders(now time.Duration) holderSet {
	set := make(holderSet)
	for _, a := range g.allocations {
		a.expire(now)
		for vm := range a.reservations {
			set[vm] = processID(g.reporters[vm].incarnation)
		}
	}
	return set
}

// sweep removes allocations that have been idle for a window.
func (g *granter) sweep(now time.Duration) {
	for name, a := range g.allocations {
		if a.idle(g.tolerance.Window, now) && !g.hasUnknownShares(now) {
			delete(g.allocations, name)
		}
	}
}
