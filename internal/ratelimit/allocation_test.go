package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"masticturn/internal/customer"
)

var testTolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func TestBudgetStaysWithinTolerance(t *testing.T) {
	for _, l := range []customer.Limit{{PerSecond: 4, Burst: 4}, {PerSecond: 40, Burst: 40}, {PerSecond: 389}, {PerSecond: 0.1}} {
		b := testTolerance.Budget(l)
		most := b.Rate*testTolerance.Window.Seconds() + b.Burst + b.Fill
		if bound := testTolerance.Bound(l); most > bound {
			t.Errorf("%+v: budget allows %.1f requests in a window, bound is %.1f", l, most, bound)
		}
	}
}

// holderModel models the share of a VM that does not receive some responses.
type holderModel struct {
	held      Share
	expiresAt time.Duration
}

// The sum of the shares that VMs hold must not exceed the budget, even if responses are lost and demand
// changes.
func TestSharesNeverExceedTheBudget(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		budget := testTolerance.Budget(customer.Limit{PerSecond: 1 + 100*random.Float64(), Burst: float64(random.IntN(50))})
		a := newAllocation(budget, false)
		vms := make([]holderModel, 2+random.IntN(40))
		now := time.Second
		for range 400 {
			now += time.Duration(random.IntN(300)) * time.Millisecond
			i := random.IntN(len(vms))
			vm := &vms[i]
			if now >= vm.expiresAt {
				vm.held = Share{}
			}
			r := shareRequest{vm: fmt.Sprint(i), held: vm.held, demand: 100 * random.Float64()}
			granted := a.renew(r, budget, 1, false, now, now+shareTTL)
			if random.IntN(4) > 0 {
				vm.held, vm.expiresAt = granted, now+shareTTL
			}
			checkHeldShares(t, seed, vms, budget, now)
		}
	}
}

func checkHeldShares(t *testing.T, seed uint64, vms []holderModel, b Budget, now time.Duration) {
	t.Helper()
	var sum Share
	for _, vm := range vms {
		if now < vm.expiresAt {
			sum.Rate += vm.held.Rate
			sum.Burst += vm.held.Burst
		}
	}
	if sum.Rate > b.Rate*1.000001 || float64(sum.Burst) > b.Burst {
		t.Fatalf("seed %d: VMs hold %.2f/s and %d tokens of a budget of %.2f/s and %.1f", seed, sum.Rate, sum.Burst, b.Rate, b.Burst)
	}
}

// A new granter must not grant what VMs that have not reported yet may hold from an earlier term;
// otherwise the sum of the shares would exceed the budget.
func TestNewGranterReservesUnreportedShares(t *testing.T) {
	limit := customer.Limit{PerSecond: 40, Burst: 40}
	limitOf := func(string) customer.Limit { return limit }
	budget := testTolerance.Budget(limit)
	g := newGranter(7, testTolerance, holderSet{"a": 1, "b": 1, "c": 1}, false, time.Second)
	send := func(vm string, rate float64, burst int, number uint64, now time.Duration) grantEntry {
		t.Helper()
		r := &report{Incarnation: 1, Number: number, Entries: []reportEntry{{Customer: "x", Demand: 100, Rate: rate, Burst: burst}}}
		got, ok := g.report(vm, r, limitOf, now)
		if !ok {
			t.Fatalf("report %d of %s was rejected", number, vm)
		}
		return got.Entries[0]
	}
	if got := send("a", 10, 8, 1, time.Second); got.Rate > 10 || got.Burst > 8 {
		t.Errorf("a got %+v while b and c may hold the rest", got)
	}
	if got := send("b", 20, 8, 1, time.Second); got.Rate > 20 || got.Burst > 8 {
		t.Errorf("b got %+v while c may hold the rest", got)
	}
	if got := send("d", 0, 0, 1, time.Second); got.Rate != 0 || got.Burst != 0 || got.Fill != 0 {
		t.Errorf("new holder d got %+v while c may hold the rest", got)
	}
	if got := send("c", 0, 0, 1, time.Second); got.Rate > budget.Rate-30 {
		t.Errorf("c got %+v, more than the rest of the budget", got)
	}
	if _, ok := g.report("a", &report{Incarnation: 1, Number: 1}, limitOf, time.Second); ok {
		t.Error("a duplicate report was accepted")
	}
}

// The share of a holder that no longer reports must be available to others after shareTTL.
func TestExpiredSharesAreGrantedToOthers(t *testing.T) {
	budget := testTolerance.Budget(customer.Limit{PerSecond: 40, Burst: 40})
	a := newAllocation(budget, false)
	now := time.Second
	a.renew(shareRequest{vm: "a", demand: 100}, budget, 1, false, now, now+shareTTL)
	now += shareTTL
	for range 3 {
		got := a.renew(shareRequest{vm: "b", held: a.shareOf("b"), demand: 100}, budget, 1, false, now, now+shareTTL)
		if got.Rate < 0.9*budget.Rate {
			t.Errorf("b got %.1f/s of %.1f/s", got.Rate, budget.Rate)
		}
	}
}

func (a *allocation) shareOf(vm string) Share {
	if res := a.reservations[vm]; res != nil {
		return res.share
	}
	return Share{}
}

// New buckets may start full only if no share of the budget was in force for a window. Otherwise their
// tokens would come on top of requests that ran in the same window.
func TestRecentlyUsedBudgetIsNotRefilled(t *testing.T) {
	limit := customer.Limit{PerSecond: 40, Burst: 40}
	limitOf := func(string) customer.Limit { return limit }
	now := time.Second
	g := newGranter(7, testTolerance, nil, true, now)
	send := func(vm string, held Share, now time.Duration) grantEntry {
		r := &report{Incarnation: 1, Number: uint64(now), Entries: []reportEntry{{Customer: "x", Demand: 40, Rate: held.Rate, Burst: held.Burst}}}
		got, ok := g.report(vm, r, limitOf, now)
		if !ok {
			t.Fatalf("the report of %s was rejected", vm)
		}
		return got.Entries[0]
	}
	first := send("a", Share{}, now)
	if first.Fill == 0 {
		t.Error("the first bucket started empty")
	}
	now += 2 * time.Second
	send("a", Share{first.Rate, first.Burst}, now) // last report of a
	ended := now + shareTTL
	g.sweep(ended)
	if got := send("b", Share{}, ended+time.Millisecond); got.Fill > int(testTolerance.Budget(limit).Fill) {
		t.Errorf("a bucket started with %d tokens right after another VM's share expired", got.Fill)
	}
}

// If it is not known whether a write took effect, only the processes that are listed in both the old
// and the new object may be relied on.
func TestHoldersAfterUncertainWrite(t *testing.T) {
	before, attempted := holderSet{"a": 1, "b": 1, "c": 1}, holderSet{"a": 1, "b": 2, "d": 1}
	if got := before.intersection(attempted); len(got) != 1 || got["a"] != 1 {
		t.Errorf("got %v, want only process 1 of a", got)
	}
}

// The first buckets of an idle budget start full, also in a region whose first request comes later. Together with
// the tokens that the earlier buckets may hold, they never get more than the burst, however shares move.
func TestIdleBudgetFillsBucketsWhenTheyAppear(t *testing.T) {
	budget := Budget{Rate: 4.2, Burst: 19.3}
	const window, ttl = 5 * time.Second, time.Minute
	a := newAllocation(budget, true)
	now := time.Second
	grant := func(vm string, held Share, demand float64) (Share, int) {
		s := a.renew(shareRequest{vm: vm, held: held, demand: demand}, budget, 2, false, now, now+ttl)
		fill := 0
		if held == (Share{}) {
			fill = a.fills.take(budget, window, s.Burst, now)
		}
		a.limitInitialFill(budget)
		return s, fill
	}
	first, fill := grant("vm-1", Share{}, 2)
	if fill != first.Burst {
		t.Errorf("the first bucket starts with %d of %d tokens", fill, first.Burst)
	}
	now += 2 * time.Second
	if second, fill := grant("vm-2", Share{}, 2); fill != second.Burst || fill < 2 {
		t.Errorf("the second bucket starts with %d of %d tokens two seconds later", fill, second.Burst)
	}
	random := rand.New(rand.NewPCG(1, 1))
	held := make(map[string]Share)
	total := 0
	for range 2000 {
		vm := fmt.Sprintf("vm-%d", 3+random.IntN(6))
		if random.Float64() < 0.3 {
			a.removeVM(vm, now)
			delete(held, vm)
			continue
		}
		before := held[vm]
		capacity := 0
		for name, res := range a.reservations {
			if name != vm {
				capacity += res.share.Burst
			}
		}
		s, fill := grant(vm, before, random.Float64()*4)
		held[vm] = s
		total += fill
		if float64(capacity+fill) > budget.Burst {
			t.Fatalf("a bucket starts with %d tokens while others may hold %d of %.1f", fill, capacity, budget.Burst)
		}
	}
	if float64(total) > budget.Burst {
		t.Errorf("%d tokens were given to new buckets of a budget with a burst of %.1f", total, budget.Burst)
	}
}
