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
	// shareWait is how long a request waits for this VM's first share of its customer's limit.
	shareWait = 250 * time.Millisecond
	// takeTimeout bounds the call of a holder, which may wait for a share.
	takeTimeout = shareWait + tokenWait + 100*time.Millisecond
	// skipFor is how long a holder that failed is skipped.
	skipFor = time.Second
	// maxHolderTries bounds the holders that a request tries.
	maxHolderTries = 2
	// tokenWait is how long requests wait for a token. Only as many do as get one in that time.
	tokenWait = 50 * time.Millisecond
	// unknownRetryAfter is the Retry-After while no holder knows its share. Without a granter it is
	// electionRetryAfter to twice that, which an election takes.
	unknownRetryAfter  = 200 * time.Millisecond
	electionRetryAfter = 500 * time.Millisecond
	// denialMemory bounds how long a refusal by a holder is repeated here without asking it.
	denialMemory = 50 * time.Millisecond
)

// Refusal is a request that the limiter refuses.
type Refusal struct {
	Over       bool // the limit is reached; else its state is not known here
	RetryAfter time.Duration
}

// Limiter enforces rate limits.
type Limiter interface {
	// Take takes one request from a customer's limit; nil: it may run.
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
	case verdictTaken:
		return nil
	case verdictOver:
		return &Refusal{Over: true, RetryAfter: max(wait, time.Millisecond)}
	}
	return &Refusal{RetryAfter: s.unknownRetry()}
}

// unknownRetry returns when to come back for a request whose limit is not known here.
func (s *Service) unknownRetry() time.Duration {
	view := s.deps.Members.View()
	m, _ := view.Member(granterOf(view))
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Term != 0 && m.Term == s.reported {
		return unknownRetryAfter
	}
	return electionRetryAfter + time.Duration(rand.Float64()*float64(electionRetryAfter))
}

// take asks the holders of the region, of which this VM may be one.
func (s *Service) take(ctx context.Context, c *customer.Customer) (verdict, time.Duration) {
	holders := s.holdersOf(c)
	if len(holders) == 0 || slices.Contains(holders, s.deps.Self) {
		return s.takeHere(ctx, c)
	}
	if wait, ok := s.deniedLately(c.Name); ok {
		return verdictOver, wait
	}
	tries := 0
	first := int(maphash.String(s.seed, c.Name) % uint64(len(holders)))
	for i := range holders {
		vm := holders[(first+i)%len(holders)]
		if tries == maxHolderTries || s.skipped(vm) {
			continue
		}
		tries++
		if result, wait := s.takeFrom(ctx, vm, c.Name); result != verdictUnknown {
			return result, wait
		}
	}
	return verdictUnknown, 0
}

// takeHere takes a token of this VM's share. The first requests of a customer wait for the share, and
// a few requests wait shortly for a token.
func (s *Service) takeHere(ctx context.Context, c *customer.Customer) (verdict, time.Duration) {
	s.mu.Lock()
	now := s.deps.Boot.SinceBoot()
	s.holder.count(c.Name, now)
	result, wait := s.holder.take(c.Name, now)
	granted := s.granted
	s.mu.Unlock()
	if result == verdictUnknown && granterOf(s.deps.Members.View()) != "" {
		result, wait = s.awaitShare(ctx, c.Name, granted)
	}
	if result == verdictOver {
		return s.awaitToken(ctx, c.Name, wait)
	}
	return result, wait
}

// awaitShare waits for this VM's first share of a customer's limit.
func (s *Service) awaitShare(ctx context.Context, name string, granted <-chan struct{}) (verdict, time.Duration) {
	s.requestReport()
	timer := time.NewTimer(shareWait)
	defer timer.Stop()
	for {
		select {
		case <-granted:
		case <-timer.C:
			return verdictUnknown, 0
		case <-ctx.Done():
			return verdictUnknown, 0
		}
		s.mu.Lock()
		result, wait := s.holder.take(name, s.deps.Boot.SinceBoot())
		granted = s.granted
		s.mu.Unlock()
		if result != verdictUnknown {
			return result, wait
		}
	}
}

// awaitToken waits for a token that is expected shortly, or refuses the request.
func (s *Service) awaitToken(ctx context.Context, name string, wait time.Duration) (verdict, time.Duration) {
	s.mu.Lock()
	queued := s.holder.enqueue(name, wait)
	s.mu.Unlock()
	if !queued {
		return s.refuse(name, wait)
	}
	defer s.dequeue(name)
	deadline := s.deps.Boot.SinceBoot() + tokenWait
	for s.deps.Boot.SinceBoot()+wait <= deadline {
		if !pause.For(ctx, wait) {
			return verdictUnknown, 0
		}
		s.mu.Lock()
		result, next := s.holder.take(name, s.deps.Boot.SinceBoot())
		s.mu.Unlock()
		if result != verdictOver {
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

func (s *Service) refuse(name string, wait time.Duration) (verdict, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return verdictOver, s.holder.refuse(name, wait, s.deps.Boot.SinceBoot())
}

// takeFrom asks a holder for a token.
func (s *Service) takeFrom(ctx context.Context, vm, name string) (verdict, time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var a takeAnswer
	err := s.deps.Network.Call(callCtx, vm, peer.KindLimitTake, &takeRequest{Customer: name}, &a)
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil { // the caller still waits
			s.skip[vm] = now + skipFor
		}
		return verdictUnknown, 0
	}
	wait := time.Duration(a.WaitMS) * time.Millisecond
	if a.Result == verdictOver {
		s.denied[name] = denial{until: now + min(wait, denialMemory), wait: wait}
	}
	return a.Result, wait
}

// deniedLately reports whether a holder has just refused the customer. The wait is jittered, as its
// callers would come back together.
func (s *Service) deniedLately(name string) (time.Duration, bool) {
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.denied[name]
	if !ok || now >= d.until {
		delete(s.denied, name)
		return 0, false
	}
	return d.wait + time.Duration(rand.Float64()*float64(d.wait)), true
}

func (s *Service) skipped(vm string) bool {
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.skip[vm]
	if ok && now >= until {
		delete(s.skip, vm)
		return false
	}
	return ok
}

// handleTake answers a VM that asks for a token.
func (s *Service) handleTake(ctx context.Context, _ string, payload []byte) (any, error) {
	var r takeRequest
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	c := s.deps.Customers().ByName(r.Customer)
	if c == nil {
		return &takeAnswer{}, nil
	}
	result, wait := s.takeHere(ctx, c)
	return &takeAnswer{Result: result, WaitMS: uint32(wait.Milliseconds())}, nil
}
