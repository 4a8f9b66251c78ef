package emulation

import "masticturn/internal/placement"

// reportRegularly publishes a VM's load reports at the interval.
func (r *run) reportRegularly(v *vm) {
	if r.load.Alone || r.now.Sub(start) > r.load.Length {
		return
	}
	r.publish(v)
	r.after(placement.ReportInterval, func() { r.reportRegularly(v) })
}

// publish sends a VM's next report.
func (r *run) publish(v *vm) {
	own := func() *placement.LoadReport {
		w := &placement.LoadReport{Services: make(map[string]*placement.Usage)}
		if u := v.pool.ReportUsage(); !u.Empty() {
			w.Services[r.load.Name] = u
		}
		return w
	}
	next := v.aggregator.Next(own, r.now)
	if next.Total {
		r.applyTotal(v, next.Report)
	}
	for _, name := range next.To {
		to := r.vmNamed[name]
		r.after(r.load.WithinRegion, func() {
			if next.Total {
				r.forwardTotal(v, to, next.Report)
			} else {
				r.report(v, to, next.Report)
			}
		})
	}
}

// report delivers a report to the parent.
func (r *run) report(from, to *vm, report *placement.LoadReport) {
	if !to.aggregator.Receive(from.name, report, r.now) || to.relaying {
		return
	}
	to.relaying = true
	r.after(placement.GatherDelay, func() {
		to.relaying = false
		r.publish(to)
	})
}

// forwardTotal delivers the total to a child.
func (r *run) forwardTotal(from, to *vm, report *placement.LoadReport) {
	children, ok := to.aggregator.TotalRecipients(from.name)
	if !ok {
		return
	}
	r.applyTotal(to, report)
	for _, name := range children {
		child := r.vmNamed[name]
		r.after(r.load.WithinRegion, func() { r.forwardTotal(to, child, report) })
	}
}

func (r *run) applyTotal(v *vm, report *placement.LoadReport) {
	u := report.Services[r.load.Name]
	if u == nil {
		u = &placement.Usage{}
	}
	v.pool.ApplyUsage(u, report.TTL, r.now)
}
