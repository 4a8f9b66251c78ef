package ratelimit

import (
	"context"
	"slices"
	"time"

	"masticturn/internal/peer"
	"masticturn/internal/telemetry"
)

// runReports reports this VM's demand to the granter, which answers with shares.
func (s *Service) runReports(ctx context.Context) {
	expected := false
	for ctx.Err() == nil {
		timer := time.NewTimer(reportInterval)
		select {
		case <-timer.C:
		case <-s.urgent:
		case <-ctx.Done():
		}
		timer.Stop()
		expected = expected || s.expectShares()
		spacing := reportSpacing
		if !s.report(ctx) {
			spacing = failedSpacing
		}
		s.sweep()
		pause(ctx, spacing)
	}
}

// expectShares asks for the shares that this VM will hold, once the document and the other VMs are
// known, so that the first requests after a start do not wait for them. It reports whether it did.
func (s *Service) expectShares() bool {
	customers := s.deps.Customers()
	if customers == nil || !s.deps.Joined() {
		return false
	}
	all := customers.All()
	if len(all) > maxExpected {
		return true
	}
	for i := range all {
		if all[i].Limit.Limited() && slices.Contains(s.holdersOf(&all[i]), s.deps.Self) {
			s.mu.Lock()
			s.holder.expect(all[i].Name, s.deps.Boot.SinceBoot())
			s.mu.Unlock()
		}
	}
	return true
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// report makes one report, if there is something to report. It is false if the granter did not answer.
func (s *Service) report(ctx context.Context) bool {
	view := s.deps.Members.View()
	granter := granterOf(view)
	if granter == "" {
		return true
	}
	m, _ := view.Member(granter)
	s.mu.Lock()
	sent := s.deps.Boot.SinceBoot()
	r := s.holder.report(sent)
	due := len(r.Entries) > 0 || s.reported != m.Term
	s.mu.Unlock()
	if !due {
		return true
	}
	a, err := s.sendReport(ctx, granter, r)
	if err != nil {
		s.deps.Logger.Log(eventReportFailed, telemetry.Peer(granter), telemetry.Err(err))
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported = a.Term
	if s.holder.apply(a, sent, s.deps.Boot.SinceBoot()) {
		s.requestReport()
	}
	close(s.granted)
	s.granted = make(chan struct{})
	return true
}

func (s *Service) sendReport(ctx context.Context, granter string, r *report) (*grants, error) {
	if granter == s.deps.Self {
		return s.grant(granter, r)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var a grants
	if err := s.deps.Network.Call(ctx, granter, peer.KindLimitReport, r, &a); err != nil {
		return nil, err
	}
	return &a, nil
}

// sweep drops what is no longer needed.
func (s *Service) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.granter != nil {
		s.granter.sweep(s.deps.Boot.SinceBoot())
	}
}
