package ratelimit

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/membership"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

const (
	// electionInterval is the interval of the steps of an election.
	electionInterval = 100 * time.Millisecond
	// electionTimeout limits a call to the store.
	electionTimeout = 700 * time.Millisecond
	// leaseName is the name of the lease's object in the store.
	leaseName = "granter"
	// electionKey is the rendezvous hashing key by which candidates are ranked.
	electionKey = "granter of rate limits"
)

// stepElection performs the next action of the lease.
func (s *Service) stepElection(ctx context.Context) {
	now := s.deps.Boot.SinceBoot()
	switch s.nextAction(now) {
	case actRead:
		s.readLease(ctx)
	case actAcquire:
		s.writeLease(ctx)
	case actRelease:
		s.releaseLease(ctx)
	}
	s.announceTerm()
}

// nextAction returns the next action of the lease. It is actWait if no customer has a limit.
func (s *Service) nextAction(now time.Duration) action {
	view := s.deps.Members.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.setEra(s.deps.Store.Era(), now)
	if !s.hasLimits() || !s.deps.Joined() || s.leaving {
		return actWait
	}
	rank := candidateRank(view)
	switch {
	case rank < 0 && s.lease.term != 0:
		return actRelease // this VM is leaving, or its document is too old
	case rank < 0:
		return actWait
	}
	granter := granterOf(view)
	termBefore := s.lease.term
	process := func(vm string) uint64 {
		m, _ := view.Member(vm)
		return m.Process
	}
	next := s.lease.next(rank, granter != "" && granter != view.Self, process, now)
	if termBefore != 0 && s.lease.term == 0 {
		s.endTerm()
	}
	return next
}

// candidateRank returns this VM's rank among the candidates, or -1 if it is not a candidate.
func candidateRank(v *membership.View) int {
	candidates := eligibleMembers(v, "")
	return slices.Index(rankByCores(electionKey, candidates, len(candidates)), v.Self)
}

// granterOf returns the live VM that announces the highest term, or "" if none does.
func granterOf(v *membership.View) string {
	name, term := "", uint64(0)
	for _, m := range v.Members {
		if m.State == membership.Alive && m.Term > term {
			name, term = m.Name, m.Term
		}
	}
	return name
}

// readLease reads the lease's object.
func (s *Service) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	s.mu.Lock()
	s.lease.lastCallAt = s.deps.Boot.SinceBoot()
	s.mu.Unlock()
	o, err := s.deps.Store.Get(ctx, platform.KindLimits, leaseName)
	found := !errors.Is(err, platform.ErrNotFound)
	if err != nil && found {
		s.mu.Lock()
		s.lease.handleCallFailed()
		s.mu.Unlock()
		s.logLeaseFailure(ctx, "read", err)
		return
	}
	var rec leaseRecord
	if found {
		// A record that can't be decoded is treated as another VM's lease.
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			rec.Granter = "(unreadable)"
		}
	}
	holders := unpackHolders(rec.Holders)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.handleRead(o.Version, rec, holders, found, s.deps.Boot.SinceBoot())
}

// writeLease acquires or renews the lease. The object lists every VM that may hold shares, and is
// written before any share is granted to the VM.
func (s *Service) writeLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	s.mu.Lock()
	version := s.lease.version
	earlier := s.lease.holders.without(s.lease.holders.withEndedProcess(s.deps.Members.View()))
	holders := s.possibleHolders(earlier)
	s.mu.Unlock()
	value, err := json.Marshal(leaseRecord{Granter: s.deps.Self, Incarnation: s.deps.Incarnation, Holders: packHolders(holders)})
	if err != nil {
		s.logLeaseFailure(ctx, "encode", err)
		return
	}
	sent := s.deps.Boot.SinceBoot()
	written, err := s.putLease(ctx, value, version)
	s.mu.Lock()
	s.lease.lastCallAt = sent
	if err != nil {
		s.lease.handleCallFailed()
		// The write may or may not have taken effect. In both cases the object lists these processes.
		s.lease.holders = s.lease.holders.intersection(holders)
		s.mu.Unlock()
		s.logLeaseFailure(ctx, "write", err)
		return
	}
	defer s.mu.Unlock()
	first := s.lease.term == 0
	s.lease.handleWritten(written, holders, sent)
	if first {
		s.startTerm(earlier, version == 0)
	}
}

// putLease writes the lease's object if it still has the given version; 0: if it does not exist.
func (s *Service) putLease(ctx context.Context, value []byte, version platform.Version) (platform.Version, error) {
	if version == 0 {
		return s.deps.Store.Create(ctx, platform.KindLimits, leaseName, value)
	}
	return s.deps.Store.Update(ctx, platform.KindLimits, leaseName, value, version)
}

// possibleHolders returns the VMs that may hold shares until the next renewal. It includes earlier
// holders for as long as they may hold shares from an earlier term. s.mu must be held.
func (s *Service) possibleHolders(earlier holderSet) holderSet {
	set := make(holderSet)
	for _, m := range s.deps.Members.View().Members {
		set[m.Name] = processID(m.Process)
	}
	if s.granter == nil {
		set.merge(earlier)
		return set
	}
	now := s.deps.Boot.SinceBoot()
	if s.granter.hasUnknownShares(now) {
		set.merge(s.granter.pending)
	}
	set.merge(s.granter.holders(now))
	return set
}

// unlistedHolder stands for holders that the lease's object does not list, as the store came back from an
// earlier copy of it. It never reports, so that their shares count as valid until they have expired.
const unlistedHolder = "(unlisted)"

// startTerm begins a term as granter. created means that the lease did not exist before. s.mu must be
// held.
func (s *Service) startTerm(earlier holderSet, created bool) {
	now := s.deps.Boot.SinceBoot()
	if s.lease.sharesMayBeUnknown(now) {
		earlier = earlier.with(unlistedHolder)
		created = false
	}
	s.granter = newGranter(s.lease.term, s.deps.Tolerance, earlier, created, now)
	s.granter.expectedHolders = func(b Budget) int {
		return min(holderCount(b, s.deps.Regions)*s.deps.Regions, len(s.lease.holders))
	}
	s.deps.Logger.Log(eventElected, telemetry.Value("term", s.lease.term), telemetry.Value("earlier_holders", len(earlier)))
}

// endTerm ends this VM's term as granter. s.mu must be held.
func (s *Service) endTerm() {
	s.granter = nil
	s.deps.Logger.Log(eventResigned)
}

// announceTerm tells the other VMs this VM's term if it has changed.
func (s *Service) announceTerm() {
	s.mu.Lock()
	term := s.lease.term
	changed := term != s.announcedTerm
	s.announcedTerm = term
	s.mu.Unlock()
	if changed {
		s.deps.Announce(term)
	}
}

// releaseLease releases the lease, so that another VM need not wait until it expires.
func (s *Service) releaseLease(ctx context.Context) {
	s.mu.Lock()
	owned := s.lease.term != 0 && s.lease.versionKnown
	version, holders := s.lease.version, s.lease.holders
	if s.lease.term != 0 {
		s.lease.resign()
		s.endTerm()
	}
	s.lease.versionKnown = false
	s.mu.Unlock()
	if !owned {
		return
	}
	value, err := json.Marshal(leaseRecord{Holders: packHolders(holders)})
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, electionTimeout)
		defer cancel()
		_, err = s.putLease(ctx, value, version)
	}
	if err != nil {
		s.logLeaseFailure(ctx, "release", err)
	}
}

// logLeaseFailure logs a failed step of the lease, unless ctx was canceled.
func (s *Service) logLeaseFailure(ctx context.Context, step string, err error) {
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.deps.Logger.Log(eventLeaseFailed, telemetry.Step(step), telemetry.Err(trace.Wrap(err)))
}
