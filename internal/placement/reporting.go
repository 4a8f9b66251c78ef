package placement

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/telemetry"
)

// reportLoop sends load reports until the context is done.
func (a *Admitter) reportLoop(ctx context.Context) {
	timer := time.NewTimer(ReportInterval)
	defer timer.Stop()
	var collected <-chan time.Time // fires when reports have been collected for GatherDelay; nil: none are pending
	for {
		select {
		case <-timer.C:
			timer.Reset(a.reportInterval())
			a.publishReport()
		case <-collected:
			collected = nil
			a.publishReport()
		case <-a.reportReceived:
			if collected == nil {
				collected = time.After(a.gatherDelay())
			}
		case <-ctx.Done():
			return
		}
	}
}

// reportInterval returns the time until the next report.
func (a *Admitter) reportInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aggregator.SetShort(a.anyShort(a.deps.Clock.Now()))
	return a.aggregator.Interval()
}

// gatherDelay returns how long to collect reports before forwarding them.
func (a *Admitter) gatherDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aggregator.Gather()
}

// publishReport sends the next report, if one is due.
func (a *Admitter) publishReport() {
	a.mu.Lock()
	now := a.deps.Clock.Now()
	for _, p := range a.pools {
		a.recordSpeedChanges(p, p.expireUsage(now))
	}
	a.decideAlone(now)
	if a.aggregator.alone() {
		for _, p := range a.pools {
			clear(p.newObjects) // no other VM is told
		}
	}
	next := a.aggregator.Next(a.ownUsage, now)
	kind := peer.KindUsageReport
	if next.Total {
		kind = peer.KindUsageTotal
		a.applyTotal(next.Report, now)
	}
	for name, p := range a.pools {
		a.showSplit(name, p)
	}
	a.mu.Unlock()
	a.sendReport(next.To, kind, next.Report)
}

// sendReport sends a report. Errors are ignored, as the next report replaces a lost one.
func (a *Admitter) sendReport(to []string, kind peer.Kind, r *LoadReport) {
	for _, vm := range to {
		_ = a.deps.Network.Send(vm, kind, r)
	}
}

// ownUsage returns this VM's usage. a.mu is held.
func (a *Admitter) ownUsage() *LoadReport {
	r := &LoadReport{Services: make(map[string]*Usage)}
	now := a.deps.Clock.Now()
	for name, p := range a.pools {
		u := p.ReportUsage()
		u.Demand = p.Demand(now)
		if !u.Empty() {
			r.Services[name] = u
		}
	}
	return r
}

// applyTotal applies the region's total to the pools. Services without an entry have no
// usage. a.mu is held.
func (a *Admitter) applyTotal(r *LoadReport, now time.Time) {
	for name, p := range a.pools {
		u := r.Services[name]
		if u == nil {
			u = newUsage()
		}
		a.recordSpeedChanges(p, p.ApplyUsage(u, min(r.TTL, maxReportTTL), now))
	}
}

// recordSpeedChanges counts a service's targets by shared slowness. The root logs the changes for its
// region. a.mu is held.
func (a *Admitter) recordSpeedChanges(p *servicePool, changes []SpeedChange) {
	if len(changes) == 0 {
		return
	}
	a.metrics.setTargetSpeeds(p.name, p.TargetsBySlowness())
	if a.aggregator.position.Parent != "" {
		return
	}
	for _, c := range changes {
		a.deps.Logger.Log(eventTargetSpeed,
			telemetry.Peer(c.Target),
			telemetry.Value("service", p.name),
			telemetry.Value("slowness", c.Slowness),
			telemetry.Value("before", c.Before))
	}
}

// updateTreePosition recomputes this VM's position in the aggregation tree.
func (a *Admitter) updateTreePosition(v *membership.View) {
	var names []string
	for _, m := range v.Members {
		if m.State == membership.Alive && m.Region == a.deps.VM.Region {
			names = append(names, m.Name)
		}
	}
	p, inTree := TreePositionOf(a.deps.VM.Name, names) // a leaving VM has no position and sends nothing
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aggregator.SetPosition(p)
	a.inTree = inTree
	switch isRoot := inTree && p.Parent == ""; {
	case !isRoot:
		a.rootSince = time.Time{}
	case a.rootSince.IsZero():
		a.rootSince = a.deps.Clock.Now()
		for _, pool := range a.pools {
			pool.resetDecisions() // another root has decided since
		}
	}
}

// handleReport stores a child's report and signals reportLoop to forward it.
func (a *Admitter) handleReport(_ context.Context, from string, payload []byte) (any, error) {
	var r LoadReport
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	a.mu.Lock()
	forward := a.aggregator.Receive(from, &r, a.deps.Clock.Now())
	a.mu.Unlock()
	if !forward {
		return nil, nil
	}
	select {
	case a.reportReceived <- struct{}{}:
	default: // already signalled
	}
	return nil, nil
}

// handleTotal applies the region's total and forwards it to the children.
func (a *Admitter) handleTotal(_ context.Context, from string, payload []byte) (any, error) {
	var r LoadReport
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	a.mu.Lock()
	children, ok := a.aggregator.TotalRecipients(from)
	if ok {
		a.applyTotal(&r, a.deps.Clock.Now())
	}
	a.mu.Unlock()
	if !ok {
		return nil, trace.AccessDenied("VM %s is not the parent of this one", from)
	}
	a.sendReport(children, peer.KindUsageTotal, &r)
	return nil, nil
}
