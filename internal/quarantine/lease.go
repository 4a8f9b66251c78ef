package quarantine

import (
	"context"
	"time"

	"masticturn/internal/digest"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/rendezvous"
)

const (
	// maxLease is the maximum duration of a lease.
	maxLease = 30 * time.Second
	// leaseTimeout is the timeout of the call to the VM that grants the lease.
	leaseTimeout = 400 * time.Millisecond
	// denialInterval is the minimum delay between a denial and the next lease request.
	denialInterval = 100 * time.Millisecond
)

// leaseTable holds the leases granted by this VM. It is not safe for concurrent use.
type leaseTable struct {
	expiry map[digest.Digest]time.Time
}

func newLeaseTable() *leaseTable { return &leaseTable{expiry: make(map[digest.Digest]time.Time)} }

// grant grants a lease for one run. If it is denied, retryAfter is the delay until one
// may be granted; 0: unknown.
func (l *leaseTable) grant(d digest.Digest, j Judgement, duration time.Duration, now time.Time) (granted bool, retryAfter time.Duration) {
	if until := l.expiry[d]; now.Before(until) {
		return false, until.Sub(now)
	}
	if j.Verdict == Quarantined && j.TrialIn != 0 {
		return false, max(j.TrialIn, 0)
	}
	l.expiry[d] = now.Add(min(duration, maxLease))
	return true, 0
}

func (l *leaseTable) release(d digest.Digest) { delete(l.expiry, d) }

func (l *leaseTable) sweep(now time.Time) {
	for d, until := range l.expiry {
		if !now.Before(until) {
			delete(l.expiry, d)
		}
	}
}

// leaseRequest is the request of peer.KindQuarantineLease.
type leaseRequest struct {
	Digest     []byte
	DurationMS uint32
}

// leaseResponse is the response to leaseRequest.
type leaseResponse struct {
	Granted      bool
	RetryAfterMS uint32 // delay until a lease may be granted, if denied; 0: unknown
}

// leaseRelease is the one-way message of peer.KindQuarantineRelease.
type leaseRelease struct {
	Digest []byte
	Report Report // includes the outcome of the run
}

// Pass is the admission of a request that needs a lease. A nil Pass has no lease.
type Pass struct {
	service *Service
	digest  digest.Digest
	owner   string // VM that granted the lease; empty: no lease
}

// Exclusive reports whether the request holds a lease, so that it must run only once.
func (p *Pass) Exclusive() bool { return p != nil && p.owner != "" }

// Release releases the lease. The outcome of the run must be recorded before.
func (p *Pass) Release() {
	if !p.Exclusive() {
		return
	}
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.owner == s.deps.Self {
		s.leases.release(p.digest)
		return
	}
	report, _ := s.ledger.Report(p.digest, s.deps.Clock.Now())
	_ = s.deps.Network.Send(p.owner, peer.KindQuarantineRelease, &leaseRelease{p.digest[:], report}) // if it is lost, the lease expires
}

// Enter implements Screen.
func (s *Service) Enter(ctx context.Context, subject Subject) (*Pass, *Refusal) {
	d, j, suppressed := s.checkArrival(subject)
	switch {
	case j.Verdict == Clear:
		return nil, nil
	case j.Verdict == Quarantined && j.TrialIn != 0 || suppressed > 0:
		return nil, s.leaseRefusal(d, j, suppressed)
	}
	owner := s.leaseOwner(d)
	granted, retryAfter := s.requestLease(ctx, owner, d)
	if !granted {
		s.recordDenial(d)
		return nil, s.leaseRefusal(d, j, retryAfter)
	}
	return &Pass{service: s, digest: d, owner: owner}, nil
}

// checkArrival returns the verdict on an arriving request and how long lease requests are
// still suppressed after a denial.
func (s *Service) checkArrival(subject Subject) (d digest.Digest, j Judgement, suppressed time.Duration) {
	if !s.Active() {
		return d, j, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	d, j = s.assess(subject)
	if s.ledger.Touch(d, now) {
		s.publish(d, "")
	}
	if j.Verdict == Quarantined {
		s.persistence.touch(d, now)
	}
	return d, j, max(s.deniedUntil[d].Sub(now), 0)
}

func (s *Service) leaseRefusal(d digest.Digest, j Judgement, retryAfter time.Duration) *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if retryAfter <= 0 {
		retryAfter = suspectRetryAfter
	}
	return s.refusal(d, j, min(max(retryAfter, denialInterval), suspectRetryAfter))
}

// recordDenial suppresses lease requests for denialInterval.
func (s *Service) recordDenial(d digest.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deniedUntil[d] = s.deps.Clock.Now().Add(denialInterval)
}

// leaseOwner returns the VM that grants the leases of a request. It is the same on all VMs
// with the same membership view.
func (s *Service) leaseOwner(d digest.Digest) string {
	owners := s.rankVMs(d.String())
	if len(owners) == 0 {
		return s.deps.Self
	}
	return owners[0]
}

// rankVMs ranks the alive VMs, including this one, by rendezvous hashing of a key.
func (s *Service) rankVMs(key string) []string {
	names := []string{s.deps.Self}
	for _, m := range s.deps.Members.View().Members {
		if m.State == membership.Alive && m.Name != s.deps.Self {
			names = append(names, m.Name)
		}
	}
	return rendezvous.Top(key, names, len(names), func(name string) string { return name })
}

func (s *Service) requestLease(ctx context.Context, owner string, d digest.Digest) (granted bool, retryAfter time.Duration) {
	duration := maxLease
	if deadline, ok := ctx.Deadline(); ok {
		duration = deadline.Sub(s.deps.Clock.Now())
	}
	if owner == s.deps.Self {
		return s.grant(d, duration)
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	var a leaseResponse
	request := &leaseRequest{d[:], uint32(max(duration.Milliseconds(), 0))}
	if err := s.deps.Network.Call(ctx, owner, peer.KindQuarantineLease, request, &a); err != nil {
		return false, 0
	}
	return a.Granted, time.Duration(a.RetryAfterMS) * time.Millisecond
}

func (s *Service) grant(d digest.Digest, duration time.Duration) (granted bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	return s.leases.grant(d, s.ledger.Judge(d, now), duration, now)
}

func (s *Service) handleLease(_ context.Context, _ string, payload []byte) (any, error) {
	var r leaseRequest
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	d, err := digest.FromBytes(r.Digest)
	if err != nil {
		return nil, err
	}
	granted, retryAfter := s.grant(d, time.Duration(r.DurationMS)*time.Millisecond)
	return &leaseResponse{granted, uint32(retryAfter.Milliseconds())}, nil
}

func (s *Service) handleRelease(_ context.Context, from string, payload []byte) (any, error) {
	var r leaseRelease
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	d, err := digest.FromBytes(r.Digest)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(from, &r.Report)
	s.leases.release(d)
	return nil, nil
}
