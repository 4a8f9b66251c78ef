package emulation

import "masticturn/internal/placement"

// sendReports sends a VM's load reports periodically.
func (s *simulation) sendReports(v *vm) {
	if s.workload.NoReports || s.now.Sub(startTime) > s.workload.Length {
		return
	}
	s.sendReport(v)
	s.after(placement.ReportInterval, func() { s.sendReports(v) })
}

// sendReport sends a VM's next load report to its parent or, at the root, the total to its
// children.
func (s *simulation) sendReport(v *vm) {
	own := func() *placement.LoadReport {
		report := &placement.LoadReport{Services: make(map[string]*placement.Usage)}
		u := v.pool.ReportUsage()
		if s.workload.RegionLoads {
			u.Demand = v.pool.Demand(s.now)
		}
		if !u.Empty() {
			report.Services[s.workload.Name] = u
		}
		return report
	}
	next := v.aggregator.Next(own, s.now)
	if next.Total {
		s.applyTotal(v, next.Report)
	}
	for _, name := range next.To {
		to := s.vmsByName[name]
		s.after(s.workload.WithinRegion, func() {
			if next.Total {
				s.deliverTotal(v, to, next.Report)
			} else {
				s.deliverReport(v, to, next.Report)
			}
		})
	}
}

// deliverReport delivers a report to the parent, which forwards it after GatherDelay together
// with those of its other children.
func (s *simulation) deliverReport(from, to *vm, report *placement.LoadReport) {
	if !to.aggregator.Receive(from.name, report, s.now) || to.collecting {
		return
	}
	to.collecting = true
	s.after(placement.GatherDelay, func() {
		to.collecting = false
		s.sendReport(to)
	})
}

// deliverTotal delivers the region's total to a child, which applies and forwards it.
func (s *simulation) deliverTotal(from, to *vm, report *placement.LoadReport) {
	children, ok := to.aggregator.TotalRecipients(from.name)
	if !ok {
		return
	}
	s.applyTotal(to, report)
	for _, name := range children {
		child := s.vmsByName[name]
		s.after(s.workload.WithinRegion, func() { s.deliverTotal(to, child, report) })
	}
}

func (s *simulation) applyTotal(v *vm, report *placement.LoadReport) {
	u := report.Services[s.workload.Name]
	if u == nil {
		u = &placement.Usage{}
	}
	v.pool.ApplyUsage(u, report.TTL, s.now)
}
