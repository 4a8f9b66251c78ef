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
	// maxLease bounds leases that are never released.
	maxLease = 30 * time.Second
	// leaseTimeout bounds the call to the lease owner.
	leaseTimeout = 400 * time.Millisecond
	// denialInterval is the least time between two lease requests after a denial.
	denialInterval = 100 * time.Millisecond
)

// leases are those granted by this VM. It is not safe for concurrent use.
type leases struct {
	until map[digest.Digest]time.Time
}

func newLeases() *leases { return &leases{until: make(map[digest.Digest]time.Time)} }

// grant grants one run, or returns the delay until one may be granted; 0: unknown.
func (l *leases) grant(d digest.Digest, j Judgement, length time.Duration, now time.Time) (granted bool, again time.Duration) {
	if until := l.until[d]; now.Before(until) {
		return false, until.Sub(now)
	}
	if j.Verdict == Quarantined && j.TrialIn != 0 {
		return false, max(j.TrialIn, 0)
	}
	l.until[d] = now.Add(min(length, maxLease))
	return true, 0
}

func (l *leases) release(d digest.Digest) { delete(l.until, d) }

func (l *leases) sweep(now time.Time) {
	for d, until := range l.until {
		if !now.Before(until) {
			delete(l.until, d)
		}
	}
}

// leaseRequest is the message of peer.KindQuarantineLease, a call.
type leaseRequest struct {
	Digest   []byte
	LengthMS uint32
}

// leaseAnswer is its answer.
type leaseAnswer struct {
	Granted bool
	AgainMS uint32 // if denied: delay until a lease may be granted; 0: unknown
}

// leaseRelease is the message of peer.KindQuarantineRelease, one way.
type leaseRelease struct {
	Digest []byte
	Report Report // with the outcome of the run
}

// Pass admits a request, with a lease if it is suspect.
type Pass struct {
	service *Service
	digest  digest.Digest
	owner   string // of the lease; empty: no lease
}

// Exclusive reports whether the request holds a lease, so that it runs once only.
func (p *Pass) Exclusive() bool { return p != nil && p.owner != "" }

// Release releases the lease after the outcome of the run was recorded.
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
	_ = s.deps.Network.Send(p.owner, peer.KindQuarantineRelease, &leaseRelease{p.digest[:], report}) // a lost release expires
}

// Enter implements Screen.
func (s *Service) Enter(ctx context.Context, subject Subject) (*Pass, *Refusal) {
	d, j, denied := s.enter(subject)
	switch {
	case j.Verdict == Clear:
		return nil, nil
	case j.Verdict == Quarantined && j.TrialIn != 0 || denied > 0:
		return nil, s.refuse(d, j, denied)
	}
	owner := s.ownerOf(d)
	granted, again := s.requestLease(ctx, owner, d)
	if !granted {
		s.deny(d)
		return nil, s.refuse(d, j, again)
	}
	return &Pass{service: s, digest: d, owner: owner}, nil
}

// enter returns the verdict on an arriving request and how long lease requests are
// suppressed.
func (s *Service) enter(subject Subject) (d digest.Digest, j Judgement, denied time.Duration) {
	if !s.Active() {
		return d, j, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	d, j = s.judge(subject)
	if s.ledger.Touch(d, now) {
		s.publish(d, "")
	}
	if j.Verdict == Quarantined {
		s.persisted.touch(d, now)
	}
	return d, j, max(s.denied[d].Sub(now), 0)
}

func (s *Service) refuse(d digest.Digest, j Judgement, again time.Duration) *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if again <= 0 {
		again = suspectRetryAfter
	}
	return s.refusal(d, j, min(max(again, denialInterval), suspectRetryAfter))
}

// deny suppresses further lease requests for a while.
func (s *Service) deny(d digest.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.denied[d] = s.deps.Clock.Now().Add(denialInterval)
}

// ownerOf returns the VM that grants the leases of a request. VMs with the same view
// agree on it.
func (s *Service) ownerOf(d digest.Digest) string {
	owners := s.order(d.String())
	if len(owners) == 0 {
		return s.deps.Self
	}
	return owners[0]
}

// order ranks the VMs that are alive, this one included, for a key.
func (s *Service) order(key string) []string {
	names := []string{s.deps.Self}
	for _, m := range s.deps.Members.View().Members {
		if m.State == membership.Alive && m.Name != s.deps.Self {
			names = append(names, m.Name)
		}
	}
	return rendezvous.Top(key, names, len(names), func(name string) string { return name })
}

func (s *Service) requestLease(ctx context.Context, owner string, d digest.Digest) (granted bool, again time.Duration) {
	length := maxLease
	if deadline, ok := ctx.Deadline(); ok {
		length = deadline.Sub(s.deps.Clock.Now())
	}
	if owner == s.deps.Self {
		return s.grant(d, length)
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	var a leaseAnswer
	request := &leaseRequest{d[:], uint32(max(length.Milliseconds(), 0))}
	if err := s.deps.Network.Call(ctx, owner, peer.KindQuarantineLease, request, &a); err != nil {
		return false, 0
	}
	return a.Granted, time.Duration(a.AgainMS) * time.Millisecond
}

func (s *Service) grant(d digest.Digest, length time.Duration) (granted bool, again time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	return s.leases.grant(d, s.ledger.Judge(d, now), length, now)
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
	granted, again := s.grant(d, time.Duration(r.LengthMS)*time.Millisecond)
	return &leaseAnswer{granted, uint32(again.Milliseconds())}, nil
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
