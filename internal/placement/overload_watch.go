package placement

import (
	"fmt"
	"time"

	"masticturn/internal/overload"
	"masticturn/internal/telemetry"
)

// limitHold is how long a fraction must be 1 again until that is logged, so that a service at its limit
// does not fill the log.
const limitHold = 5 * time.Second

// limitedPriority identifies a priority of a service.
type limitedPriority struct {
	service  string
	priority int
}

// registerOverloadMetrics registers the metrics of a service for which the part is on: of each priority
// the fraction in force at this VM, and the number of customers above their fair share. a.mu is held.
func (a *Admitter) registerOverloadMetrics(service string, priorities []int) {
	if a.deps.Metrics == nil {
		return
	}
	for _, priority := range priorities {
		a.deps.Metrics.GetOrCreateGauge(
			fmt.Sprintf("masticturn_admitted_fraction{service=%q,priority=\"%d\"}", service, priority),
			func() float64 { return a.admittedFraction(service, priority) })
	}
	a.deps.Metrics.GetOrCreateGauge(
		fmt.Sprintf("masticturn_customers_above_share{service=%q}", service),
		func() float64 { return float64(a.customersAboveShare(service)) })
}

// admittedFraction returns the fraction of a priority's requests that this VM admits; 1 if there is no
// limit.
func (a *Admitter) admittedFraction(service string, priority int) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[service]
	if p == nil || p.overload.gate == nil {
		return 1
	}
	return p.overload.gate.Fraction(priority, 0, a.deps.Clock.Now())
}

// customersAboveShare returns the number of customers that the limits in force name.
func (a *Admitter) customersAboveShare(service string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[service]
	if p == nil || p.overload.gate == nil {
		return 0
	}
	return p.overload.gate.LimitedCustomers(a.deps.Clock.Now())
}

// logLimits logs fractions that fall below 1, or have returned to 1 for limitHold. a.mu is held.
func (a *Admitter) logLimits(service string, p *servicePool, l *overload.Limits, now time.Time) {
	for _, priority := range p.overload.scope.priorities {
		fraction := 1.0
		if l != nil {
			if f, ok := l.Admit[priority]; ok {
				fraction = f
			}
		}
		a.logFraction(limitedPriority{service, priority}, fraction, now)
	}
}

// logFraction logs a fraction that falls below 1, or has returned to 1 for limitHold.
func (a *Admitter) logFraction(key limitedPriority, fraction float64, now time.Time) {
	since, limited := a.limitedSince[key]
	event := eventFractionLimited
	switch {
	case fraction < 1:
		a.limitedSince[key] = now
		if limited {
			return
		}
	case !limited || now.Sub(since) < limitHold:
		return
	default:
		delete(a.limitedSince, key)
		event = eventFractionRestored
	}
	a.deps.Logger.Log(event,
		telemetry.Value("service", key.service),
		telemetry.Value("priority", key.priority),
		telemetry.Value("fraction", fmt.Sprintf("%.2f", fraction)))
}
