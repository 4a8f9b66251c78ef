package overload

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

// shortHold is how long a service still counts as short of room after its limits have expired without
// newer ones. It bridges the time until the region has another root.
const shortHold = 2 * time.Second

// gateKey names requests that share a fraction: those of a priority (customer 0), or of one customer.
type gateKey struct {
	priority int
	customer uint32
}

// Gate admits the requests of one service at one VM by the region's limits, and measures their demand.
// It is not safe for concurrent use.
type Gate struct {
	rand      *rand.Rand
	arrivals  map[int]*rate     // by priority
	customers map[gateKey]*rate // by priority and customer
	credits   map[gateKey]float64
	limits    Limits
	short     bool      // limits have been received, and nothing newer that tells of room
	expires   time.Time // when the limits expire
}

// NewGate returns a gate that admits everything. The random numbers spread the VMs' first refusals, so
// that VMs with few requests also match the fraction together.
func NewGate(r *rand.Rand) *Gate {
	return &Gate{
		rand:      r,
		arrivals:  make(map[int]*rate),
		customers: make(map[gateKey]*rate),
		credits:   make(map[gateKey]float64),
	}
}

// Observe records the arrival of a request that is expected to run for some time. Customer 0: none.
func (g *Gate) Observe(priority int, customer uint32, runTime time.Duration, now time.Time) {
	observe(g.arrivals, priority, runTime, now)
	if customer != 0 {
		observe(g.customers, gateKey{priority, customer}, runTime, now)
	}
}

func observe[K comparable](rates map[K]*rate, key K, runTime time.Duration, now time.Time) {
	r := rates[key]
	if r == nil {
		r = &rate{at: now}
		rates[key] = r
	}
	r.observe(runTime, now)
}

// Admit decides on a request. It uses error diffusion: each request adds the fraction to a credit, and
// an admitted one takes 1 from it, so that any few requests in a row match the fraction.
func (g *Gate) Admit(priority int, customer uint32, now time.Time) bool {
	key, fraction := g.fraction(priority, customer, now)
	if fraction >= admitAll {
		return true
	}
	credit, ok := g.credits[key]
	if !ok {
		credit = g.rand.Float64()
	}
	credit += fraction
	admitted := credit >= admitAll
	if admitted {
		credit = max(credit-1, 0)
	}
	g.credits[key] = credit
	return admitted
}

// fraction returns the fraction in force for a request, and the key of its credit. Where a priority's
// capacity is shared by customer, those that are not named are within their share.
func (g *Gate) fraction(priority int, customer uint32, now time.Time) (gateKey, float64) {
	if !now.Before(g.expires) {
		return gateKey{}, 1
	}
	if shares := g.limits.Customers[priority]; customer != 0 && shares != nil {
		return gateKey{priority, customer}, fractionOf(shares, customer)
	}
	return gateKey{priority: priority}, fractionOf(g.limits.Admit, priority)
}

// Fraction returns the fraction in force for the requests of a priority and customer, 0 to 1.
func (g *Gate) Fraction(priority int, customer uint32, now time.Time) float64 {
	_, fraction := g.fraction(priority, customer, now)
	return fraction
}

// LimitedCustomers returns the number of customers that the limits in force name, counted for each
// priority.
func (g *Gate) LimitedCustomers(now time.Time) int {
	n := 0
	if now.Before(g.expires) {
		for _, customers := range g.limits.Customers {
			n += len(customers)
		}
	}
	return n
}

// SharedByCustomer reports whether a request's fraction is that of its customer.
func (g *Gate) SharedByCustomer(priority int, customer uint32, now time.Time) bool {
	return customer != 0 && now.Before(g.expires) && g.limits.Customers[priority] != nil
}

// fractionOf returns an entry of limits, within 0 to 1; 1 if it is absent or not a number.
func fractionOf[K comparable](fractions map[K]float64, key K) float64 {
	f, ok := fractions[key]
	if !ok || math.IsNaN(f) {
		return 1
	}
	return min(max(f, 0), 1)
}

// Demand returns what has lately been asked of this VM. Customers are included while the service is
// short of room, or close to it.
func (g *Gate) Demand(now time.Time) *Demand {
	d := &Demand{}
	dropIdle(g.arrivals, now)
	dropIdle(g.customers, now)
	for priority, r := range g.arrivals {
		d.addPriority(priority, r.milliSlotsAt(now))
	}
	if !g.Short(now) {
		return d
	}
	for key, r := range g.customers {
		d.addCustomer(key.priority, key.customer, r.milliSlotsAt(now))
	}
	return d
}

// dropIdle drops the averages that have become too small to report.
func dropIdle[K comparable](rates map[K]*rate, now time.Time) {
	maps.DeleteFunc(rates, func(_ K, r *rate) bool { return r.milliSlotsAt(now) < minDemand })
}

// Apply puts limits in force for a time. The root sends them while the service is short of room or
// close to it.
func (g *Gate) Apply(l Limits, ttl time.Duration, now time.Time) {
	g.limits, g.short, g.expires = l, true, now.Add(ttl)
	maps.DeleteFunc(g.credits, func(key gateKey, _ float64) bool {
		_, limited := l.Customers[key.priority][key.customer]
		return key.customer != 0 && !limited
	})
}

// Lift ends the limits, as the service has room for all.
func (g *Gate) Lift() {
	g.limits, g.short, g.expires = Limits{}, false, time.Time{}
	clear(g.credits)
}

// Short reports whether the service is short of room or close to it.
func (g *Gate) Short(now time.Time) bool { return g.short && now.Before(g.expires.Add(shortHold)) }
