package ratelimit

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/peer"
	"masticturn/internal/telemetry"
	"masticturn/internal/wait"
)

const (
	// reportInterval is the interval of regular reports to the granter.
	reportInterval = 500 * time.Millisecond
	// minReportSpacing is the minimum time between two reports.
	minReportSpacing = 30 * time.Millisecond
	// minRetrySpacing is the minimum time between a report that failed and the next one.
	minRetrySpacing = 100 * time.Millisecond
	// reportTimeout limits the call that sends a report.
	reportTimeout = 450 * time.Millisecond
	// maxInitialShares limits the initial request for shares: with more customers than that, a VM asks
	// for a customer's share only when its first request arrives.
	maxInitialShares = 1000
)

// runReports reports this VM's demand to the granter until ctx ends. The responses contain the shares.
func (s *Service) runReports(ctx context.Context) {
	requested := false
	for ctx.Err() == nil {
		timer := time.NewTimer(reportInterval)
		select {
		case <-timer.C:
		case <-s.reportDue:
		case <-ctx.Done():
		}
		timer.Stop()
		requested = requested || s.requestInitialShares()
		spacing := minReportSpacing
		if !s.report(ctx) {
			spacing = minRetrySpacing
		}
		s.sweep()
		wait.For(ctx, spacing)
	}
}

// requestInitialShares asks for the shares that this VM will hold, so that the first requests after a
// start do not wait for them. It returns false if the document or the other VMs are not known yet.
func (s *Service) requestInitialShares() bool {
	customers := s.deps.Customers()
	if customers == nil || !s.deps.Joined() {
		return false
	}
	all := customers.All()
	if len(all) > maxInitialShares {
		return true
	}
	for i := range all {
		if all[i].Limit.Limited() && slices.Contains(s.holdersOf(&all[i]), s.deps.Self) {
			s.mu.Lock()
			s.holder.requestShare(all[i].Name, s.deps.Boot.SinceBoot())
			s.mu.Unlock()
		}
	}
	return true
}

// report sends one report if there is something to report. It returns false if the report failed.
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
	due := len(r.Entries) > 0 || s.reportedTerm != m.Term
	s.mu.Unlock()
	if !due {
		return true
	}
	resp, err := s.sendReport(ctx, granter, r)
	if err != nil {
		s.deps.Logger.Log(eventReportFailed, telemetry.Peer(granter), telemetry.Err(err))
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedTerm = resp.Term
	if s.holder.apply(resp, sent, s.deps.Boot.SinceBoot()) {
		s.requestReport()
	}
	close(s.sharesReceived)
	s.sharesReceived = make(chan struct{})
	return true
}

// sendReport sends a report to the granter, which may be this VM.
func (s *Service) sendReport(ctx context.Context, granter string, r *report) (*reportResponse, error) {
	if granter == s.deps.Self {
		return s.grant(granter, r)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var resp reportResponse
	if err := s.deps.Network.Call(ctx, granter, peer.KindLimitReport, r, &resp); err != nil {
		return nil, err
	}
	return &resp, nil
}

// sweep removes allocations that are no longer needed, if this VM is the granter.
func (s *Service) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.granter != nil {
		s.granter.sweep(s.deps.Boot.SinceBoot())
	}
}

// errNotGranter is the response to reports that this VM can't answer: it is not the granter, the lease's
// object does not list the sender's process yet, or the report is outdated.
var errNotGranter = trace.CompareFailed("this VM is not the granter of rate limits")

// handleReport handles a holder's report.
func (s *Service) handleReport(_ context.Context, from string, payload []byte) (any, error) {
	var r report
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	return s.grant(from, &r)
}

// grant grants shares in response to a VM's report. It grants nothing to a process that the lease's
// object does not list, because the next granter would not know of its shares.
func (s *Service) grant(from string, r *report) (*reportResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Boot.SinceBoot()
	if s.granter == nil || !s.lease.valid(now) {
		return nil, errNotGranter
	}
	if id, listed := s.lease.holders[from]; !listed || id != processID(r.Incarnation) {
		s.granter.processReplaced(from, r.Incarnation, now)
		s.lease.renewEarly = true // the renewal adds the process to the object
		return nil, errNotGranter
	}
	s.granter.removePending(s.granter.pending.withEndedProcess(s.deps.Members.View()))
	resp, ok := s.granter.report(from, r, s.limitOf, now)
	if !ok {
		return nil, errNotGranter
	}
	return resp, nil
}
