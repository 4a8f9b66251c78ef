package targetlimit

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/peer"
	"masticturn/internal/telemetry"
)

// ask asks the granter of a target's tokens in the background. s.mu is held.
func (s *Service) ask(name string, t *target, now time.Duration) {
	granter := s.granterOf(name, t.region, now)
	if s.stopped || granter == "" {
		t.holder.fail(now)
		return
	}
	want, unused := t.holder.ask(now)
	request := &ask{Target: name, Region: t.region, Want: want, Unused: unused, Known: t.report(now)}
	if granter == s.deps.Self {
		response := s.grant(s.deps.Self, t, request, now)
		s.receive(name, response, granter, now)
		return
	}
	s.wg.Go(func() { s.call(granter, request) })
}

// call sends an ask and handles the response.
func (s *Service) call(granter string, request *ask) {
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	var response grant
	err := s.deps.Network.Call(ctx, granter, peer.KindTargetTokens, request, &response)
	s.mu.Lock()
	now := s.deps.Boot.SinceBoot()
	if err == nil {
		s.receive(request.Target, &response, granter, now)
	} else if t := s.targets[request.Target]; t != nil {
		t.holder.fail(now)
		s.deps.Logger.Log(eventGranterFailed, telemetry.Peer(granter), telemetry.Value("target", request.Target), telemetry.Err(err))
	}
	s.mu.Unlock()
	s.notify(request.Target)
}

// receive handles a granter's response. s.mu is held.
func (s *Service) receive(name string, response *grant, granter string, now time.Duration) {
	t := s.targets[name]
	if t == nil {
		return
	}
	s.observe(name, t.region, response.Known.observation(now), granter)
	if !t.limit.Named {
		return
	}
	t.holder.receive(response.Tokens, time.Duration(response.WaitMS)*time.Millisecond, now)
	if response.Tokens > 0 {
		time.AfterFunc(tokenTTL, func() { s.returnUnused(name) })
	}
}

// returnUnused returns expired tokens to the granter, unless an ask has done so.
func (s *Service) returnUnused(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil || !t.limit.Named || s.stopped {
		return
	}
	now := s.deps.Boot.SinceBoot()
	t.holder.expire(now)
	if t.holder.unused > 0 && !t.holder.asking {
		s.ask(name, t, now)
	}
}

// handleAsk grants tokens to another VM.
func (s *Service) handleAsk(_ context.Context, from string, payload []byte) (any, error) {
	var request ask
	if err := peer.Decode(payload, &request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Boot.SinceBoot()
	if granter := s.granterOf(request.Target, request.Region, now); granter != s.deps.Self {
		return nil, trace.AccessDenied("VM %s grants tokens of target %s, not this one", granter, request.Target)
	}
	t, _ := s.observe(request.Target, request.Region, request.Known.observation(now), from)
	if t == nil {
		return &grant{Known: request.Known}, nil
	}
	t.usedAt = now
	return s.grant(from, t, &request, now), nil
}

// grant grants tokens as the target's granter. s.mu is held.
func (s *Service) grant(vm string, t *target, request *ask, now time.Duration) *grant {
	if !t.limit.Named {
		return &grant{Known: t.report(now)}
	}
	if t.bucket == nil {
		t.bucket = newBucket(now)
	}
	fraction := s.office.fraction(request.Target, t.region, now)
	tokens, wait := t.bucket.grant(vm, request.Want, request.Unused, t.limit.PerSecond, fraction, now)
	return &grant{Tokens: tokens, WaitMS: uint32(wait.Milliseconds()), Known: t.report(now)}
}
