package placement

import "time"

// While a service is short of capacity, small reports are sent more often than usual: most slots are in
// use, and VMs that learn late of the free ones send requests to full targets. Large reports are sent less
// often, as they then hold demand too.
const (
	minReportInterval = 40 * time.Millisecond
	maxUpInterval     = 2 * ReportInterval
	// shortBytesPerSecond bounds what a VM sends on average at these intervals.
	shortBytesPerSecond = 12_000
	// messagesPerInterval is the average number of messages that a VM sends per interval.
	messagesPerInterval = 2
)

// SetShort tells whether any service is short of capacity.
func (a *Aggregator) SetShort(short bool) { a.short = short }

// Interval returns the time until the next report.
func (a *Aggregator) Interval() time.Duration {
	if !a.short {
		return ReportInterval
	}
	interval := time.Duration(messagesPerInterval*a.lastSize) * time.Second / shortBytesPerSecond
	return min(max(interval, minReportInterval), maxUpInterval)
}

// Gather returns how long to collect the children's reports before the next report: GatherDelay, or less
// as the interval is shorter.
func (a *Aggregator) Gather() time.Duration {
	return min(GatherDelay, time.Duration(float64(GatherDelay)*float64(a.Interval())/float64(ReportInterval)))
}

// tooSoon reports whether a report to the parent would follow the last one too closely, as children with
// smaller reports send theirs more often.
func (a *Aggregator) tooSoon(now time.Time) bool {
	return a.short && now.Sub(a.lastSent) < a.Interval()/2
}

// The demand of customers is sent less often than the rest of a report, as it would take most of the
// budget for control traffic where customers are many.
const (
	// customerBytesPerSecond bounds the rate at which a VM sends it.
	customerBytesPerSecond = 2_500
	// maxCustomerInterval bounds the time until it is sent again.
	maxCustomerInterval = 600 * time.Millisecond
	// customersTTL is how long it is valid: two in a row may be lost.
	customersTTL = 3 * maxCustomerInterval
)

// thinCustomers removes the demand of customers from a report unless it is due.
func (a *Aggregator) thinCustomers(r *LoadReport, now time.Time) {
	size := 0
	for _, u := range r.Services {
		if u.Demand == nil || len(u.Demand.Customers) == 0 {
			continue
		}
		whole := u.Demand.Size()
		customers := u.Demand.Customers
		u.Demand.Customers = nil
		if !now.Before(a.nextCustomers) {
			size += whole - u.Demand.Size()
			u.Demand.Customers = customers
		}
	}
	if size > 0 {
		interval := time.Duration(size) * time.Second / customerBytesPerSecond
		a.nextCustomers = now.Add(min(interval, maxCustomerInterval))
	}
}

// newChildReport returns a child's report. If it has no demand of customers at all, that of the child's
// last report is kept until it expires.
func newChildReport(r *LoadReport, last childReport, now time.Time) childReport {
	for _, u := range r.Services {
		if u != nil && u.Demand != nil && len(u.Demand.Customers) > 0 {
			return childReport{report: r, receivedAt: now, customersAt: now}
		}
	}
	for service, u := range r.Services {
		if u != nil && u.Demand != nil {
			u.Demand.Customers = last.customers(service, now)
		}
	}
	return childReport{report: r, receivedAt: now, customersAt: last.customersAt}
}

// customers returns the demand of a service's customers by priority; nil if there is none or it has
// expired.
func (c *childReport) customers(service string, now time.Time) map[int]map[uint32]uint32 {
	if c.report == nil || now.Sub(c.customersAt) >= customersTTL {
		return nil
	}
	if u := c.report.Services[service]; u != nil && u.Demand != nil {
		return u.Demand.Customers
	}
	return nil
}
