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
	// maxLease is the maximum duration of a lease. It bounds leases whose release never
	// arrives.
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
func (l *leaseTable) grant(d digest.Digest, a Assessment, duration time.Duration, now time.Time) (granted bool, retryAfter time.Duration) {
	if until := l.expiry[d]; now.Before(until) {
		return false, until.Sub(now)
	}
	if a.Verdict == Quarantined && a.TrialIn != 0 {
		return false, max(a.TrialIn, 0)
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

// Lease permits one run of a suspect request. It is nil for requests that need none.
type Lease struct {
	service *Service
	digest  digest.Digest
	owner   string // VM that granted the lease
}

// Held reports whether the request holds a lease, so that it must run only once.
func (l *Lease) Held() bool { return l != nil && l.owner != "" }

// Release releases the lease. The outcome of the run must be recorded before.
func (l *Lease) Release() {
	if !l.Held() {
		return
	}
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.owner == s.deps.Self {
		s.leases.release(l.digest)
		return
	}
	report, _ := s.ledger.Report(l.digest, s.deps.Clock.Now())
	_ = s.deps.Network.Send(l.owner, peer.KindQuarantineRelease, &leaseRelease{l.digest[:], report}) // if it is lost, the lease expires
}

// Admit implements Screener.
func (s *Service) Admit(ctx context.Context, request RequestDigests) (*Lease, *Refusal) {
	d, a, suppressed := s.checkArrival(request)
	switch {
	case a.Verdict == Clear:
		return nil, nil
	case a.Verdict == Quarantined && a.TrialIn != 0 || suppressed > 0:
		return nil, s.leaseRefusal(d, a, suppressed)
	}
	owner := s.leaseOwner(d)
	granted, retryAfter := s.requestLease(ctx, owner, d)
	if !granted {
		s.recordDenial(d)
		return nil, s.leaseRefusal(d, a, retryAfter)
	}
	return &Lease{service: s, digest: d, owner: owner}, nil
}

// checkArrival returns the verdict on an arriving request and how long lease requests are
// still suppressed after a denial.
func (s *Service) checkArrival(request RequestDigests) (d digest.Digest, a Assessment, suppressed time.Duration) {
	if !s.Active() {
		return d, a, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	d, a = s.assess(request)
	if s.ledger.Touch(d, now) {
		s.publish(d, "")
	}
	if a.Verdict == Quarantined {
		s.persistence.touch(d, now)
	}
	return d, a, max(s.deniedUntil[d].Sub(now), 0)
}

func (s *Service) leaseRefusal(d digest.Digest, a Assessment, retryAfter time.Duration) *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if retryAfter <= 0 {
		retryAfter = suspectRetryAfter
	}
	return s.refusal(d, a, min(max(retryAfter, denialInterval), suspectRetryAfter))
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
	return s.leases.grant(d, s.ledger.Assess(d, now), duration, now)
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
