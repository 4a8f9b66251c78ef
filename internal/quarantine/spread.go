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

// Changed records are flooded: each VM forwards to its heartbeat partners what was new
// to it. Anti-entropy with one partner at a time repairs lost messages and partitions.
const (
	// singleBytesPerSecond and singleBytesBurst limit reports of single crashes, of
	// which the loss of an availability zone causes thousands. Others are not limited.
	singleBytesPerSecond = 4 << 10
	singleBytesBurst     = 64 << 10
	// singleMaxAge is the age from which single crashes are not reported, to keep the
	// backlog short.
	singleMaxAge = 2 * time.Second
	// reportBytes and crashBytes are the approximate sizes of a report and of a crash.
	reportBytes = 40
	crashBytes  = 12
	// compareEvery is the number of ticks between two rounds of anti-entropy.
	compareEvery = 2
	// compareTimeout bounds the call to a partner.
	compareTimeout = time.Second
	// bootstrapPause is the pause between polls of peers for the first records, and
	// bootstrapTimeout bounds each.
	bootstrapPause    = 50 * time.Millisecond
	bootstrapTimeout  = 300 * time.Millisecond
	bootstrapAttempts = 20
)

// publish queues a record for all partners but the one that sent it; s.mu is held.
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

// flush sends the queued records that the limit allows.
func (s *Service) flush() {
	partners := s.deps.Partners()
	s.mu.Lock()
	news := s.takePending(len(partners))
	s.mu.Unlock()
	for _, partner := range partners {
		var reports []Report
		for i := range news {
			if news[i].from != partner {
				reports = append(reports, news[i].report)
			}
		}
		if len(reports) > 0 {
			_ = s.deps.Network.Send(partner, peer.KindQuarantineReports, reports) // anti-entropy repairs a lost one
		}
	}
}

// pendingReport is a queued report with the VM it came from, if any.
type pendingReport struct {
	report Report
	from   string
}

// single reports whether the report is of a single crash at most.
func (n *pendingReport) single() bool {
	return len(n.report.Crashes) < suspectSequence && n.report.HeldMS == 0
}

// priority orders reports; lower ones go first.
func (n *pendingReport) priority() int {
	if n.single() {
		return 1
	}
	return 0
}

// takePending dequeues the reports to send now; s.mu is held.
func (s *Service) takePending(partners int) []pendingReport {
	now := s.deps.Clock.Now()
	all := s.pendingReports(now)
	slices.SortFunc(all, func(a, b pendingReport) int {
		return cmp.Or(cmp.Compare(a.priority(), b.priority()), cmp.Compare(a.report.SeenMS, b.report.SeenMS))
	})
	for i := range all {
		r := &all[i].report
		if all[i].single() && !s.budget.AllowN(now, partners*(reportBytes+crashBytes*len(r.Crashes))) {
			return all[:i]
		}
		delete(s.pending, digest.Digest(r.Digest))
	}
	return all
}

// pendingReports returns the queued reports, dropping outdated ones; s.mu is held.
func (s *Service) pendingReports(now time.Time) []pendingReport {
	var out []pendingReport
	for d, from := range s.pending {
		report, ok := s.ledger.Report(d, now)
		n := pendingReport{report, from}
		if !ok || n.single() && report.SeenMS > uint32(singleMaxAge.Milliseconds()) {
			delete(s.pending, d)
			continue
		}
		out = append(out, n)
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
	s.change(d, from, "reported by "+from, func(now time.Time) bool {
		switch s.ledger.Merge(*report, now) {
		case Updated:
			return true
		case Refuted:
			s.publish(d, "")
		}
		return false
	})
}

// syncRequest is the message of peer.KindQuarantineSync, a call.
type syncRequest struct {
	Sum uint64 // checksum of the suspicious records
}

// syncAnswer is its answer.
type syncAnswer struct {
	Sum     uint64
	Loaded  bool     // the store's content is known to the VM
	Reports []Report // all suspicious records, if the sums differ
}

// sum returns a checksum of the suspicious records; s.mu is held.
func (s *Service) sum() uint64 {
	h := xxhash.New()
	now := s.deps.Clock.Now()
	for _, d := range s.ledger.Suspicious() {
		j := s.ledger.Judge(d, now)
		_, _ = h.Write(d[:])
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(j.Verdict)<<16|uint32(j.Crashes)<<8|uint32(j.Trials)))
	}
	return h.Sum64()
}

// suspected returns reports of all suspicious records; s.mu is held.
func (s *Service) suspected() []Report {
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
	a := &syncAnswer{Sum: s.sum(), Loaded: s.persisted.loaded}
	if a.Sum != r.Sum {
		a.Reports = s.suspected()
	}
	return a, nil
}

// syncWith exchanges suspicious records with a partner. It reports whether the partner
// answered.
func (s *Service) syncWith(ctx context.Context, partner string) bool {
	s.mu.Lock()
	sum := s.sum()
	s.mu.Unlock()
	var a syncAnswer
	if err := s.deps.Network.Call(ctx, partner, peer.KindQuarantineSync, &syncRequest{sum}, &a); err != nil {
		return false
	}
	s.mergeAll(partner, a.Reports)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.persisted.loaded = s.persisted.loaded || a.Loaded
	if s.sum() == a.Sum {
		return true
	}
	if reports := s.suspected(); len(reports) > 0 {
		_ = s.deps.Network.Send(partner, peer.KindQuarantineReports, reports) // repeated in the next round
	}
	return true
}

// compare runs anti-entropy with the next partner.
func (s *Service) compare(ctx context.Context) {
	partners := s.deps.Partners()
	s.mu.Lock()
	s.turn++
	turn, idle := s.turn, len(s.ledger.Suspicious()) == 0
	s.mu.Unlock()
	if idle || len(partners) == 0 || turn%compareEvery != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	s.syncWith(ctx, partners[turn/compareEvery%len(partners)])
}

// follow queues anti-entropy with partners that are alive again, as after a partition.
func (s *Service) follow(v *membership.View) {
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
			s.returned = append(s.returned, partner)
		}
	}
	s.alive = alive
	if len(s.returned) > 0 {
		signal(s.returns)
	}
}

// syncReturned runs anti-entropy with partners that are alive again.
func (s *Service) syncReturned(ctx context.Context) {
	s.mu.Lock()
	back := s.returned
	s.returned = nil
	if len(s.ledger.Suspicious()) == 0 {
		back = nil
	}
	s.mu.Unlock()
	for _, partner := range back {
		asked, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		s.syncWith(asked, partner)
		cancel()
	}
}

// bootstrap loads the records from partners or, if all VMs have restarted, from the
// store.
func (s *Service) bootstrap(ctx context.Context) {
	for ctx.Err() == nil && !s.deps.Joined() {
		pause(ctx, bootstrapPause)
	}
	for try := 0; try < bootstrapAttempts && ctx.Err() == nil && !s.bootstrapFromPartners(ctx); try++ {
		s.load(ctx)
		pause(ctx, bootstrapPause)
	}
}

// bootstrapFromPartners asks partners until one has loaded the store. It reports whether
// the store's content is known now.
func (s *Service) bootstrapFromPartners(ctx context.Context) bool {
	for _, partner := range s.deps.Partners() {
		asked, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		s.syncWith(asked, partner)
		cancel()
		s.mu.Lock()
		loaded := s.persisted.loaded
		s.mu.Unlock()
		if loaded {
			return true
		}
	}
	return false
}

// pause waits, or returns early when the context is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
