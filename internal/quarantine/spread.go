package quarantine

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticturn/internal/digest"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
)

// Changed records are replicated by flooding: each VM forwards the changes that are new
// to it to its heartbeat partners. Anti-entropy with one partner at a time recovers from
// lost messages and partitions.
const (
	// singleCrashBytesPerSecond and singleCrashBytesBurst limit the bandwidth of
	// reports of single crashes, since the loss of an availability zone causes thousands.
	// Other reports are not limited.
	singleCrashBytesPerSecond = 4 << 10
	singleCrashBytesBurst     = 64 << 10
	// singleCrashMaxAge is the age above which single crashes are not reported, which
	// bounds the queue.
	singleCrashMaxAge = 2 * time.Second
	// reportBytes and crashBytes are the approximate sizes of a report and of a crash.
	reportBytes = 40
	crashBytes  = 12
	// antiEntropyTicks is the number of ticks between two rounds of anti-entropy.
	antiEntropyTicks = 2
	// antiEntropyTimeout is the timeout of the call to a partner.
	antiEntropyTimeout = time.Second
	// bootstrapInterval is the delay between attempts to load the records at the start, and
	// bootstrapTimeout the timeout of a call to one partner.
	bootstrapInterval = 50 * time.Millisecond
	bootstrapTimeout  = 300 * time.Millisecond
	bootstrapAttempts = 20
)

// publish queues a record for all partners except the one that sent it; s.mu is held.
func (s *Service) publish(d digest.Digest, from string) {
	if before, ok := s.pending[d]; ok && before != from {
		from = ""
	}
	s.pending[d] = from
	signal(s.updates)
}

// publishLoop sends queued records.
func (s *Service) publishLoop(ctx context.Context) {
	for {
		select {
		case <-s.updates:
			s.flush()
		case <-ctx.Done():
			return
		}
	}
}

// flush sends the queued records, as far as the bandwidth limit allows.
func (s *Service) flush() {
	partners := s.deps.Partners()
	s.mu.Lock()
	queued := s.takePending(len(partners))
	s.mu.Unlock()
	for _, partner := range partners {
		var reports []Report
		for i := range queued {
			if queued[i].from != partner {
				reports = append(reports, queued[i].report)
			}
		}
		if len(reports) > 0 {
			_ = s.deps.Network.Send(partner, peer.KindQuarantineReports, reports) // anti-entropy recovers lost messages
		}
	}
}

// pendingReport is a queued report and the VM it came from, if any.
type pendingReport struct {
	report Report
	from   string
}

// isSingleCrash reports whether the report alone does not make the request suspect: it has fewer
// than suspectSequence crashes and no quarantine. Such reports are sent last.
func (p *pendingReport) isSingleCrash() bool {
	return len(p.report.Crashes) < suspectSequence && p.report.QuarantinedMS == 0
}

// priority is the order in which reports are sent, lowest first.
func (p *pendingReport) priority() int {
	if p.isSingleCrash() {
		return 1
	}
	return 0
}

// takePending removes and returns the reports to send now; s.mu is held.
func (s *Service) takePending(partners int) []pendingReport {
	now := s.deps.Clock.Now()
	all := s.pendingReports(now)
	slices.SortFunc(all, func(a, b pendingReport) int {
		return cmp.Or(cmp.Compare(a.priority(), b.priority()), cmp.Compare(a.report.SeenMS, b.report.SeenMS))
	})
	for i := range all {
		r := &all[i].report
		if all[i].isSingleCrash() && !s.singleCrashLimiter.AllowN(now, partners*(reportBytes+crashBytes*len(r.Crashes))) {
			return all[:i]
		}
		delete(s.pending, digest.Digest(r.Digest))
	}
	return all
}

// pendingReports returns the queued reports and drops outdated ones; s.mu is held.
func (s *Service) pendingReports(now time.Time) []pendingReport {
	var out []pendingReport
	for d, from := range s.pending {
		report, ok := s.ledger.Report(d, now)
		p := pendingReport{report, from}
		if !ok || p.isSingleCrash() && report.SeenMS > uint32(singleCrashMaxAge.Milliseconds()) {
			delete(s.pending, d)
			continue
		}
		out = append(out, p)
	}
	return out
}

func (s *Service) handleReports(_ context.Context, from string, payload []byte) (any, error) {
	var reports []Report
	if err := peer.Decode(payload, &reports); err != nil {
		return nil, err
	}
	s.mergeAll(from, reports)
	return nil, nil
}

func (s *Service) mergeAll(from string, reports []Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range reports {
		s.merge(from, &reports[i])
	}
}

// merge merges a report from another VM; s.mu is held.
func (s *Service) merge(from string, report *Report) {
	d, err := digest.FromBytes(report.Digest)
	if err != nil {
		return
	}
	s.applyChange(d, from, "reported by "+from, func(now time.Time) bool {
		switch s.ledger.Merge(*report, now) {
		case Updated:
			return true
		case Refuted:
			s.publish(d, "")
		}
		return false
	})
}

// syncRequest is the request of peer.KindQuarantineSync.
type syncRequest struct {
	Checksum uint64 // checksum of the suspicious records
}

// syncResponse is the response to syncRequest.
type syncResponse struct {
	Checksum uint64
	Loaded   bool     // the VM knows the content of the store
	Reports  []Report // all suspicious records, if the checksums differ
}

// checksum returns a checksum of the suspicious records; s.mu is held.
func (s *Service) checksum() uint64 {
	h := xxhash.New()
	now := s.deps.Clock.Now()
	for _, d := range s.ledger.Suspicious() {
		a := s.ledger.Assess(d, now)
		_, _ = h.Write(d[:])
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(a.Verdict)<<16|uint32(a.Crashes)<<8|uint32(a.FailedTrials)))
	}
	return h.Sum64()
}

// suspiciousReports returns reports of all suspicious records; s.mu is held.
func (s *Service) suspiciousReports() []Report {
	var out []Report
	for _, d := range s.ledger.Suspicious() {
		if r, ok := s.ledger.Report(d, s.deps.Clock.Now()); ok {
			out = append(out, r)
		}
	}
	return out
}

func (s *Service) handleSync(_ context.Context, _ string, payload []byte) (any, error) {
	var r syncRequest
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &syncResponse{Checksum: s.checksum(), Loaded: s.persistence.loaded}
	if a.Checksum != r.Checksum {
		a.Reports = s.suspiciousReports()
	}
	return a, nil
}

// syncWith exchanges suspicious records with a partner. It returns whether the partner
// responded.
func (s *Service) syncWith(ctx context.Context, partner string) bool {
	s.mu.Lock()
	checksum := s.checksum()
	s.mu.Unlock()
	var a syncResponse
	if err := s.deps.Network.Call(ctx, partner, peer.KindQuarantineSync, &syncRequest{checksum}, &a); err != nil {
		return false
	}
	s.mergeAll(partner, a.Reports)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.persistence.loaded = s.persistence.loaded || a.Loaded
	if s.checksum() == a.Checksum {
		return true
	}
	if reports := s.suspiciousReports(); len(reports) > 0 {
		_ = s.deps.Network.Send(partner, peer.KindQuarantineReports, reports) // if it is lost, the next round repeats it
	}
	return true
}

// runAntiEntropy runs anti-entropy with the next partner, every antiEntropyTicks calls.
func (s *Service) runAntiEntropy(ctx context.Context) {
	partners := s.deps.Partners()
	s.mu.Lock()
	s.round++
	round, idle := s.round, len(s.ledger.Suspicious()) == 0
	s.mu.Unlock()
	if idle || len(partners) == 0 || round%antiEntropyTicks != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, antiEntropyTimeout)
	defer cancel()
	s.syncWith(ctx, partners[round/antiEntropyTicks%len(partners)])
}

// handleViewChange queues anti-entropy with partners that have become alive again, as after
// a partition.
func (s *Service) handleViewChange(v *membership.View) {
	alive := make(map[string]bool, len(v.Members))
	for i := range v.Members {
		if v.Members[i].State == membership.Alive {
			alive[v.Members[i].Name] = true
		}
	}
	partners := s.deps.Partners()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, partner := range partners {
		if alive[partner] && s.alive != nil && !s.alive[partner] {
			s.rejoined = append(s.rejoined, partner)
		}
	}
	s.alive = alive
	if len(s.rejoined) > 0 {
		signal(s.rejoins)
	}
}

// syncRejoined runs anti-entropy with partners that have become alive again.
func (s *Service) syncRejoined(ctx context.Context) {
	s.mu.Lock()
	partners := s.rejoined
	s.rejoined = nil
	if len(s.ledger.Suspicious()) == 0 {
		partners = nil
	}
	s.mu.Unlock()
	for _, partner := range partners {
		callCtx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		s.syncWith(callCtx, partner)
		cancel()
	}
}

// bootstrap loads the records from partners or, if all VMs have restarted, from the store.
func (s *Service) bootstrap(ctx context.Context) {
	for ctx.Err() == nil && !s.deps.Joined() {
		sleep(ctx, bootstrapInterval)
	}
	for try := 0; try < bootstrapAttempts && ctx.Err() == nil && !s.bootstrapFromPartners(ctx); try++ {
		s.load(ctx)
		sleep(ctx, bootstrapInterval)
	}
}

// bootstrapFromPartners synchronizes with partners until one knows the content of the
// store. It returns whether one did.
func (s *Service) bootstrapFromPartners(ctx context.Context) bool {
	for _, partner := range s.deps.Partners() {
		callCtx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		s.syncWith(callCtx, partner)
		cancel()
		s.mu.Lock()
		loaded := s.persistence.loaded
		s.mu.Unlock()
		if loaded {
			return true
		}
	}
	return false
}

// sleep waits for a duration or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
