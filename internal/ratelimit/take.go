package ratelimit

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"time"

	"masticturn/internal/customer"
	"masticturn/internal/peer"
	pause "masticturn/internal/wait"
)

const (
	// maxShareWait is how long a request waits for this VM's first share of its customer's budget.
	maxShareWait = 250 * time.Millisecond
	// takeTimeout limits a call to a holder, which may wait for a share and a token.
	takeTimeout = maxShareWait + maxTokenWait + 100*time.Millisecond
	// failedHolderSkip is how long a holder is skipped after a failed call.
	failedHolderSkip = time.Second
	// maxHolderTries limits the number of holders that are tried for a request.
	maxHolderTries = 2
	// maxTokenWait is how long a request waits for a token. No more requests wait than are expected to
	// get a token in that time.
	maxTokenWait = 50 * time.Millisecond
	// unknownShareRetryAfter is the Retry-After while no holder knows its share. Without a granter that
	// this VM has reported to, it is between electionRetryAfter and twice that, the time that an
	// election takes.
	unknownShareRetryAfter = 200 * time.Millisecond
	electionRetryAfter     = 500 * time.Millisecond
	// refusalCacheTTL limits how long a holder's refusal is repeated without asking the holder again.
	refusalCacheTTL = 50 * time.Millisecond
)

// Refusal describes why a request was refused and when to retry it.
type Refusal struct {
	OverLimit  bool // the limit is reached; otherwise, its state is not known at this VM
	RetryAfter time.Duration
}

// Limiter enforces rate limits.
type Limiter interface {
	// Take counts one request toward a customer's limit. It returns nil if the request may run.
	Take(ctx context.Context, c *customer.Customer) *Refusal
}

// Take implements Limiter.
func (s *Service) Take(ctx context.Context, c *customer.Customer) *Refusal {
	if !c.Limit.Limited() {
		return nil
	}
	result, wait := s.take(ctx, c)
	s.meter.count(c.Name, result)
	switch result {
	case resultTaken:
		return nil
	case resultOverLimit:
		return &Refusal{OverLimit: true, RetryAfter: max(wait, time.Millisecond)}
	}
	return &Refusal{RetryAfter: s.retryAfterUnknown()}
}

// retryAfterUnknown returns the Retry-After of a request whose limit's state is not known at this VM.
func (s *Service) retryAfterUnknown() time.Duration {
	view := s.deps.Members.View()
	m, _ := view.Member(granterOf(view))
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Term != 0 && m.Term == s.reportedTerm {
		return unknownShareRetryAfter
	}
	return electionRetryAfter + time.Duration(rand.Float64()*float64(electionRetryAfter))
}

// take takes a token from this VM's share if it is a holder, or else asks the region's holders.
func (s *Service) take(ctx context.Context, c *customer.Customer) (takeResult, time.Duration) {
	holders := s.holdersOf(c)
	if len(holders) == 0 || slices.Contains(holders, s.deps.Self) {
		return s.takeLocal(ctx, c)
	}
	if wait, ok := s.recentRefusal(c.Name); ok {
		return resultOverLimit, wait
	}
	tries := 0
	first := int(maphash.String(s.seed, c.Name) % uint64(len(holders)))
	for i := range holders {
		vm := holders[(first+i)%len(holders)]
		if tries == maxHolderTries || s.isSkipped(vm) {
			continue
		}
		tries++
		if result, wait := s.takeRemote(ctx, vm, c.Name); result != resultUnknown {
			return result, wait
		}
	}
	return resultUnknown, 0
}

// takeLocal takes a token from this VM's share. The first requests of a customer wait for the share,
// and a few requests wait for a token for a short time.
func (s *Service) takeLocal(ctx context.Context, c *customer.Customer) (takeResult, time.Duration) {
	s.mu.Lock()
	now := s.deps.Boot.SinceBoot()
	s.holder.recordRequest(c.Name, now)
	result, wait := s.holder.take(c.Name, now)
	received := s.sharesReceived
	s.mu.Unlock()
	if result == resultUnknown && granterOf(s.deps.Members.View()) != "" {
		result, wait = s.awaitShare(ctx, c.Name, received)
	}
	if result == resultOverLimit {
		return s.awaitToken(ctx, c.Name, wait)
	}
	return result, wait
}

// awaitShare requests a report and waits up to maxShareWait for this VM's first share of a customer's
// budget.
func (s *Service) awaitShare(ctx context.Context, name string, received <-chan struct{}) (takeResult, time.Duration) {
	s.requestReport()
	timer := time.NewTimer(maxShareWait)
	defer timer.Stop()
	for {
		select {
		case <-received:
		case <-timer.C:
			return resultUnknown, 0
		case <-ctx.Done():
			return resultUnknown, 0
		}
		s.mu.Lock()
		result, wait := s.holder.take(name, s.deps.Boot.SinceBoot())
		received = s.sharesReceived
		s.mu.Unlock()
		if result != resultUnknown {
			return result, wait
		}
	}
}

// awaitToken waits for a token that is expected within maxTokenWait, or refuses the request.
func (s *Service) awaitToken(ctx context.Context, name string, wait time.Duration) (takeResult, time.Duration) {
	s.mu.Lock()
	queued := s.holder.enqueue(name, wait)
	s.mu.Unlock()
	if !queued {
		return s.refuse(name, wait)
	}
	defer s.dequeue(name)
	deadline := s.deps.Boot.SinceBoot() + maxTokenWait
	for s.deps.Boot.SinceBoot()+wait <= deadline {
		if !pause.For(ctx, wait) {
			return resultUnknown, 0
		}
		s.mu.Lock()
		result, next := s.holder.take(name, s.deps.Boot.SinceBoot())
		s.mu.Unlock()
		if result != resultOverLimit {
			return result, next
		}
		wait = next
	}
	return s.refuse(name, wait)
}

func (s *Service) dequeue(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.dequeue(name)
}

// refuse returns the refusal of a request whose customer has reached its limit.
func (s *Service) refuse(name string, wait time.Duration) (takeResult, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return resultOverLimit, s.holder.retryAfter(name, wait, s.deps.Boot.SinceBoot())
}

// takeRemote asks another VM that is a holder for a token.
func (s *Service) takeRemote(ctx context.Context, vm, name string) (takeResult, time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var resp takeResponse
	err := s.deps.Network.Call(callCtx, vm, peer.KindLimitTake, &takeRequest{Customer: name}, &resp)
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil { // the caller has not given up
			s.skipUntil[vm] = now + failedHolderSkip
		}
		return resultUnknown, 0
	}
	wait := time.Duration(resp.WaitMS) * time.Millisecond
	if resp.Result == resultOverLimit {
		s.refusals[name] = cachedRefusal{validUntil: now + min(wait, refusalCacheTTL), wait: wait}
	}
	return resp.Result, wait
}

// recentRefusal reports whether a holder has just refused a request of the customer. The wait includes
// jitter, so that the customer's callers do not retry at the same time.
func (s *Service) recentRefusal(name string) (time.Duration, bool) {
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal, ok := s.refusals[name]
	if !ok || now >= refusal.validUntil {
		delete(s.refusals, name)
		return 0, false
	}
	return refusal.wait + time.Duration(rand.Float64()*float64(refusal.wait)), true
}

// isSkipped reports whether a holder is skipped after a failed call.
func (s *Service) isSkipped(vm string) bool {
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.skipUntil[vm]
	if ok && now >= until {
		delete(s.skipUntil, vm)
		return false
	}
	return ok
}

// handleTake handles another VM's request for a token.
func (s *Service) handleTake(ctx context.Context, _ string, payload []byte) (any, error) {
	var r takeRequest
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	c := s.deps.Customers().ByName(r.Customer)
	if c == nil {
		return &takeResponse{}, nil
	}
	result, wait := s.takeLocal(ctx, c)
	return &takeResponse{Result: result, WaitMS: uint32(wait.Milliseconds())}, nil
}
