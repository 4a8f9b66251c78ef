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
	// electionInterval is the interval of the lease's steps.
	electionInterval = 100 * time.Millisecond
	// electionTimeout bounds a call to the store.
	electionTimeout = 700 * time.Millisecond
	// leaseName names the lease's object.
	leaseName = "granter"
	// electionKey ranks the candidates.
	electionKey = "granter of rate limits"
)

// elect makes one step of the lease.
func (s *Service) elect(ctx context.Context) {
	now := s.deps.Boot.SinceBoot()
	switch s.nextAction(now) {
	case actRead:
		s.readLease(ctx)
	case actClaim:
		s.writeLease(ctx)
	case actRelease:
		s.release(ctx)
	}
	s.announce()
}

// nextAction returns the next action of the lease. Without limits there is none.
func (s *Service) nextAction(now time.Duration) action {
	view := s.deps.Members.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limited() || !s.deps.Joined() || s.leaving {
		return actWait
	}
	rank := candidateRank(view)
	switch {
	case rank < 0 && s.lease.term != 0:
		return actRelease // this VM leaves, or its document is too old
	case rank < 0:
		return actWait
	}
	granter := granterOf(view)
	before := s.lease.term
	process := func(vm string) uint64 {
		m, _ := view.Member(vm)
		return m.Process
	}
	act := s.lease.next(rank, granter != "" && granter != view.Self, process, now)
	if before != 0 && s.lease.term == 0 {
		s.deposed()
	}
	return act
}

// candidateRank returns this VM's rank among the candidates; -1 if it is none.
func candidateRank(v *membership.View) int {
	candidates := aliveIn(v, "")
	return slices.Index(rankByCores(electionKey, candidates, len(candidates)), v.Self)
}

// granterOf returns the VM with the highest term; empty if there is none.
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
	s.lease.sentAt = s.deps.Boot.SinceBoot()
	s.mu.Unlock()
	o, err := s.deps.Store.Get(ctx, platform.KindLimits, leaseName)
	found := !errors.Is(err, platform.ErrNotFound)
	if err != nil && found {
		s.mu.Lock()
		s.lease.lost()
		s.mu.Unlock()
		s.leaseFailed(ctx, "read", err)
		return
	}
	var c claim
	if found {
		// A claim that can't be read counts as another VM's.
		if err := json.Unmarshal(o.Value, &c); err != nil {
			c.Granter = "(unreadable)"
		}
	}
	holders := unpackHolders(c.Holders)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.observed(o.Version, c, holders, found, s.deps.Boot.SinceBoot())
}

// writeLease claims or renews the lease. The object names all VMs that may hold shares before any is
// granted to them.
func (s *Service) writeLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	s.mu.Lock()
	version := s.lease.version
	earlier := s.lease.holders.without(s.lease.holders.ended(s.deps.Members.View()))
	holders := s.possibleHolders(earlier)
	s.mu.Unlock()
	value, err := json.Marshal(claim{Granter: s.deps.Self, Incarnation: s.deps.Incarnation, Holders: packHolders(holders)})
	if err != nil {
		s.leaseFailed(ctx, "encode", err)
		return
	}
	sent := s.deps.Boot.SinceBoot()
	written, err := s.write(ctx, value, version)
	s.mu.Lock()
	s.lease.sentAt = sent
	if err != nil {
		s.lease.lost()
		// Whether the write took effect or not, the object names these.
		s.lease.holders = s.lease.holders.common(holders)
		s.mu.Unlock()
		s.leaseFailed(ctx, "write", err)
		return
	}
	defer s.mu.Unlock()
	first := s.lease.term == 0
	s.lease.claimed(written, holders, sent)
	if first {
		s.elected(earlier, version == 0)
	}
}

func (s *Service) write(ctx context.Context, value []byte, version platform.Version) (platform.Version, error) {
	if version == 0 {
		return s.deps.Store.Create(ctx, platform.KindLimits, leaseName, value)
	}
	return s.deps.Store.Update(ctx, platform.KindLimits, leaseName, value, version)
}

// possibleHolders returns the VMs that may get shares until the next renewal; s.mu is held. Earlier
// ones stay while they may hold shares of an earlier term.
func (s *Service) possibleHolders(earlier holderSet) holderSet {
	set := make(holderSet)
	for _, m := range s.deps.Members.View().Members {
		set[m.Name] = processID(m.Process)
	}
	if s.granter == nil {
		set.keep(earlier)
		return set
	}
	now := s.deps.Boot.SinceBoot()
	if s.granter.incomplete(now) {
		set.keep(s.granter.pending)
	}
	set.keep(s.granter.holders(now))
	return set
}

// elected begins a term; s.mu is held. Created is set if there was no lease before.
func (s *Service) elected(earlier holderSet, created bool) {
	now := s.deps.Boot.SinceBoot()
	s.granter = newGranter(s.lease.term, s.deps.Tolerance, earlier, created, now)
	s.granter.fleet = func(b Budget) int {
		return min(holderCount(b, s.deps.Regions)*s.deps.Regions, len(s.lease.holders))
	}
	s.deps.Logger.Log(eventElected, telemetry.Value("term", s.lease.term), telemetry.Value("earlier_holders", len(earlier)))
}

// deposed ends the term; s.mu is held.
func (s *Service) deposed() {
	s.granter = nil
	s.deps.Logger.Log(eventDeposed)
}

// announce publishes this VM's term to the other VMs, after a change.
func (s *Service) announce() {
	s.mu.Lock()
	term := s.lease.term
	changed := term != s.told
	s.told = term
	s.mu.Unlock()
	if changed {
		s.deps.Announce(term)
	}
}

// release gives the lease back, so that another VM need not wait for its end.
func (s *Service) release(ctx context.Context) {
	s.mu.Lock()
	owned := s.lease.term != 0 && s.lease.read
	version, holders := s.lease.version, s.lease.holders
	if s.lease.term != 0 {
		s.lease.resign()
		s.deposed()
	}
	s.lease.read = false
	s.mu.Unlock()
	if !owned {
		return
	}
	value, err := json.Marshal(claim{Holders: packHolders(holders)})
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, electionTimeout)
		defer cancel()
		_, err = s.write(ctx, value, version)
	}
	if err != nil {
		s.leaseFailed(ctx, "release", err)
	}
}

func (s *Service) leaseFailed(ctx context.Context, step string, err error) {
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.deps.Logger.Log(eventLeaseFailed, telemetry.Step(step), telemetry.Err(trace.Wrap(err)))
}
