package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1000, 0)

const ttl = 375 * time.Millisecond

func newTestGate() *Gate { return NewGate(rand.New(rand.NewPCG(1, 1))) }

// Guards against runs of refusals that random selection has, and that few requests don't outlast.
func TestGateMatchesFractionInFewRequests(t *testing.T) {
	properties := gopter.NewProperties(testParameters())
	properties.Property("any requests in a row match the fraction within one", prop.ForAll(func(fraction float64, skip, n int) bool {
		g := newTestGate()
		g.Apply(Limits{Admit: map[int]float64{2: fraction}}, ttl, start)
		admitted := 0
		for i := range skip + n {
			if g.Admit(2, 0, start) && i >= skip {
				admitted++
			}
		}
		return math.Abs(float64(admitted)-fraction*float64(n)) <= 1+1e-6
	}, gen.Float64Range(0, 1), gen.IntRange(0, 30), gen.IntRange(1, 40)))
	properties.TestingRun(t)
}

// Guards against VMs that get one request each refusing all of them alike.
func TestGatesOfManyVMsMatchFractionTogether(t *testing.T) {
	admitted := 0
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		g := NewGate(r)
		g.Apply(Limits{Admit: map[int]float64{2: 0.3}}, ttl, start)
		if g.Admit(2, 0, start) {
			admitted++
		}
	}
	if admitted < 250 || admitted > 350 {
		t.Errorf("%d of 1000 are admitted, want about 300", admitted)
	}
}

func TestLimitsExpire(t *testing.T) {
	g := newTestGate()
	g.Apply(Limits{Admit: map[int]float64{2: 0}}, ttl, start)
	if g.Admit(2, 0, start.Add(ttl-1)) {
		t.Error("a request is admitted while the limits are valid")
	}
	if !g.Admit(2, 0, start.Add(ttl)) {
		t.Error("a request is refused by limits that have expired")
	}
	if !g.Short(start.Add(ttl)) || g.Short(start.Add(ttl+shortHold)) {
		t.Error("the service must count as short of room for shortHold after its limits")
	}
	g.Apply(Limits{Admit: map[int]float64{2: 0}}, ttl, start)
	g.Lift()
	if !g.Admit(2, 0, start) || g.Short(start) {
		t.Error("limits are in force after they were lifted")
	}
}

// Guards against limits of a faulty root, such as fractions out of range.
func TestGateClampsFractions(t *testing.T) {
	for _, f := range []float64{math.NaN(), 7, math.Inf(1)} {
		g := newTestGate()
		g.Apply(Limits{Admit: map[int]float64{0: f}}, ttl, start)
		wantFraction(t, g.Fraction(0, 0, start), 1)
	}
	g := newTestGate()
	g.Apply(Limits{Admit: map[int]float64{0: -3}, Customers: map[int]map[uint32]float64{1: {9: 0.5}}}, -time.Second, start)
	wantFraction(t, g.Fraction(0, 0, start), 1)
	g.Apply(Limits{Admit: map[int]float64{0: -3}}, ttl, start)
	wantFraction(t, g.Fraction(0, 0, start), 0)
}

func TestGateLimitsNamedCustomersOnly(t *testing.T) {
	g := newTestGate()
	g.Apply(Limits{
		Admit:     map[int]float64{0: 0.5, 1: 0.25},
		Customers: map[int]map[uint32]float64{0: {7: 0.2}},
	}, ttl, start)
	for _, tt := range []struct {
		priority int
		customer uint32
		want     float64
	}{{0, 7, 0.2}, {0, 8, 1}, {0, 0, 0.5}, {1, 7, 0.25}, {2, 7, 1}} {
		wantFraction(t, g.Fraction(tt.priority, tt.customer, start), tt.want)
	}
	if n := g.LimitedCustomers(start); n != 1 {
		t.Errorf("%d customers above their share, want 1", n)
	}
}

func TestDemandFollowsArrivals(t *testing.T) {
	g := newTestGate()
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		g.Observe(2, 7, 300*time.Millisecond, now)
	}
	if d := g.Demand(now); d.Priorities[2] < 28_000 || d.Priorities[2] > 32_000 || d.Customers != nil {
		t.Errorf("demand %+v, want about 30 slots, and no customers while there is room", d)
	}
	g.Apply(Limits{}, ttl, now)
	if d := g.Demand(now); d.Customers[2][7] != d.Priorities[2] {
		t.Errorf("demand %+v, want that of the customer too", d)
	}
	if d := g.Demand(now.Add(20 * demandWindow)); !d.Empty() {
		t.Errorf("demand %+v long after the last arrival", d)
	}
}

// Guards against sums that overflow or exceed what any region has.
func TestDemandsAddUpToTheLimit(t *testing.T) {
	d := &Demand{}
	other := &Demand{
		Priorities: map[int]uint32{0: 5, 1: math.MaxUint32},
		Customers:  map[int]map[uint32]uint32{0: {3: math.MaxUint32}},
		Waiting:    math.MaxUint32,
	}
	d.Add(nil)
	for range 5 {
		d.Add(other)
	}
	if d.Priorities[0] != 25 || d.Priorities[1] != maxDemand || d.Customers[0][3] != maxDemand || d.Waiting != maxDemand {
		t.Errorf("sum %+v", d)
	}
}
