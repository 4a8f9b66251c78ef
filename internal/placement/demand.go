package placement

import (
	"math"
	"time"

	"masticturn/internal/overload"
)

// demandWindow is the time constant over which arrivals are averaged.
const demandWindow = 2 * time.Second

// minMilliSlots is the least demand that is reported, in milli-slots. VMs with few requests would otherwise send
// reports long after them.
const minMilliSlots = 10

// demandMeter measures what callers ask of a service whose targets are in several regions: arrivals per
// second x mean run time.
type demandMeter struct {
	meanRun movingAverage // of all runs, with objects in caches or not
	rates   map[int]*arrivalRate
}

// arrivalRate is a mean number of arrivals per second, with exponentially decaying weights.
type arrivalRate struct {
	perSecond float64
	at        time.Time
}

func (r *arrivalRate) valueAt(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(demandWindow))
}

// metersDemand reports whether the pool's demand is measured: other regions may have capacity for it.
func (p *Pool) metersDemand() bool { return p.enabled.Regions && len(p.slotsByRegion) > 1 }

// observeArrival records the arrival of a request. One that another target has not run has arrived before.
func (p *Pool) observeArrival(req *Request, now time.Time) {
	if p.metersDemand() && len(req.Exclude) == 0 {
		p.demandMeter.observeArrival(req.Priority, now)
	}
}

// observeRun records the latency of a run. Requests that were queued at the target are left out, as are those in
// regions to which the round-trip time isn't known.
func (p *Pool) observeRun(sel *Selection, latency time.Duration, now time.Time) {
	trip := time.Duration(p.roundTrips[sel.target.Region])
	if !p.metersDemand() || sel.queued || sel.target.Region != p.region && trip == 0 {
		return
	}
	run := max(latency-trip, time.Millisecond)
	p.demandMeter.meanRun.observe(time.Duration(float64(run) / sel.target.workFactor.at(now)))
}

// observeArrival records the arrival of a request.
func (m *demandMeter) observeArrival(priority int, now time.Time) {
	if m.rates == nil {
		m.rates = make(map[int]*arrivalRate)
	}
	r := m.rates[priority]
	if r == nil {
		r = &arrivalRate{}
		m.rates[priority] = r
	}
	r.perSecond = r.valueAt(now) + 1/demandWindow.Seconds()
	r.at = now
}

// meteredDemand returns what callers ask of this VM; nil if there is none, or all targets are in one region.
func (p *Pool) meteredDemand(now time.Time) *overload.Demand {
	if !p.metersDemand() {
		return nil
	}
	return p.demandMeter.demand(now)
}

// demand returns the demand; nil if there is none.
func (m *demandMeter) demand(now time.Time) *overload.Demand {
	d := &overload.Demand{Priorities: make(map[int]uint32)}
	for priority, r := range m.rates {
		slots := r.valueAt(now) * time.Duration(m.meanRun).Seconds()
		if milli := uint32(math.Round(min(slots, maxDemand/milliSlots) * milliSlots)); milli >= minMilliSlots {
			d.Priorities[priority] = milli
		} else if now.Sub(r.at) > 10*demandWindow {
			delete(m.rates, priority)
		}
	}
	if len(d.Priorities) == 0 {
		return nil
	}
	return d
}
