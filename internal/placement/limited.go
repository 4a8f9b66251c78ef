package placement

import (
	"math/rand/v2"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/targetlimit"
)

// RateLimits tells what the rate limits of targets allow this VM. Each request to a target with a limit
// takes a token, which this VM must have.
type RateLimits interface {
	// Any reports whether any target has a limit.
	Any() bool
	State(t *config.TargetIndex) targetlimit.State
	// Want records that n requests would use the target; n = 0: one is still waiting.
	Want(t *config.TargetIndex, n int)
	// Take uses a token.
	Take(t *config.TargetIndex)
}

// RateLimiter is what an Admitter needs of the rate limits of targets.
type RateLimiter interface {
	RateLimits
	// Observe records what a response says of its target's limit. The request was sent at sentAt.
	Observe(t *config.TargetIndex, l targetlimit.Limit, sentAt time.Time)
	// OnResponse sets the function that is called when there may be new tokens for a target.
	OnResponse(f func(target string))
}

// noRateLimits is used if targets have no limits.
type noRateLimits struct{}

func (noRateLimits) Any() bool                                                 { return false }
func (noRateLimits) State(*config.TargetIndex) (s targetlimit.State)           { return s }
func (noRateLimits) Want(*config.TargetIndex, int)                             {}
func (noRateLimits) Take(*config.TargetIndex)                                  {}
func (noRateLimits) Observe(*config.TargetIndex, targetlimit.Limit, time.Time) {}
func (noRateLimits) OnResponse(func(string))                                   {}

var (
	_ RateLimiter = noRateLimits{}
	_ RateLimiter = (*targetlimit.Service)(nil)
)

// priorityHold is how long after a refusal for lack of tokens requests of a lower priority get none.
const priorityHold = 500 * time.Millisecond

// tokenUse is a pool's use of the tokens of targets with rate limits.
type tokenUse struct {
	limits    RateLimits
	preferred []*targetState    // limited targets that the present request would use
	refusedAt map[int]time.Time // last refusal for lack of tokens, by priority
}

// rateLimit reports whether a target has a rate limit, and whether it allows a request now. A limited
// target is noted as one that the request would use.
func (p *Pool) rateLimit(t *targetState, req *Request, now time.Time) (limited, allowed bool) {
	if !p.tokens.limits.Any() {
		return false, true
	}
	state := p.tokens.limits.State(t.TargetIndex)
	if !state.Limited {
		return false, true
	}
	p.tokens.preferred = append(p.tokens.preferred, t)
	return true, state.Tokens > 0 && !p.tokens.heldFor(req.Priority, now)
}

// heldFor reports whether tokens are held for requests that are served before those of a priority.
func (u *tokenUse) heldFor(priority int, now time.Time) bool {
	for refused, at := range u.refusedAt {
		if refused < priority && now.Sub(at) < priorityHold {
			return true
		}
	}
	return false
}

// want asks for tokens of the limited targets that a request would use: of all of them if it has
// got no target, else of the first one. A request counts once for each.
func (u *tokenUse) want(req *Request, placed bool) {
	if len(u.preferred) == 0 {
		return
	}
	n := 1
	if req.tokensWanted {
		n = 0
	}
	req.tokensWanted = true
	preferred := u.preferred
	if placed {
		preferred = preferred[:1]
	}
	for _, t := range preferred {
		u.limits.Want(t.TargetIndex, n)
	}
}

// tokenWait returns how long it takes at least until a token lets the request go to a target, and the
// requests/s that the limits of its targets allow together. It returns false if the request need not wait
// for a token, or one may arrive within a round trip.
func (p *Pool) tokenWait(req *Request, now time.Time) (wait time.Duration, rate float64, ok bool) {
	if !p.tokens.limits.Any() {
		return 0, 0, false
	}
	for _, t := range p.sortedTargets {
		if !p.canServe(t, req, now) {
			continue
		}
		state := p.tokens.limits.State(t.TargetIndex)
		if !state.Limited || state.Pending || state.Tokens > 0 && !p.tokens.heldFor(req.Priority, now) {
			return 0, 0, false
		}
		if !ok || state.Wait < wait {
			wait, ok = state.Wait, true
		}
		rate += state.PerSecond
	}
	return wait, rate, ok
}

// servingSlots returns the slots of all targets that their rate limits let requests use.
func (p *Pool) servingSlots() float64 {
	if !p.tokens.limits.Any() {
		return float64(p.totalSlots)
	}
	runTime := p.runTimes.expect(true, 0).Seconds()
	slots := 0.0
	for _, t := range p.sortedTargets {
		if state := p.tokens.limits.State(t.TargetIndex); state.Limited {
			slots += min(float64(t.Slots), state.PerSecond*runTime)
		} else {
			slots += float64(t.Slots)
		}
	}
	return slots
}

// refuseRateLimited refuses a request all of whose targets are at their rate limits, which allow a rate
// in requests/s together. Callers return spread over a second, or over the time in which the limits
// allow a request of each VM if that is longer.
func (p *Pool) refuseRateLimited(req *Request, wait time.Duration, rate float64, now time.Time) *Refusal {
	p.tokens.refusedAt[req.Priority] = now
	spread := time.Second
	if rate > 0 {
		spread = max(spread, time.Duration(float64(len(p.fleet.VMs))/rate*float64(time.Second)))
	}
	return p.newRefusal(req, reasonRateLimit, wait+rand.N(spread), now)
}
