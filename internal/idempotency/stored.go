package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/gravitational/trace"

	"masticturn/internal/outcome"
	"masticturn/internal/platform"
	"masticturn/internal/wait"
)

// storedAnswerBytes is the largest answer that is kept in the claim itself, so
// that it outlives this process. JSON makes a body a third longer.
const storedAnswerBytes = 64 << 10

// objectName is the name of a key's claim: keys are of any length and form.
func objectName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// claimStored claims a key in the platform.
func (k *Keys) claimStored(ctx context.Context, r *Request) (Claim, error) {
	key := keyName(r)
	if claim, err := k.claimKnown(ctx, key, r.Fingerprint); claim != nil || err != nil {
		return claim, err
	}
	c := newClaimant(claimObject{
		Token: newToken(), VM: k.deps.Self.VM, Incarnation: k.deps.Self.Incarnation,
		Fingerprint: r.Fingerprint, State: ClaimRunning,
	})
	k.setPending(c.own.Token)
	for c.step != ClaimDone && ctx.Err() == nil {
		c.next(k.perform(ctx, key, c))
	}
	if c.step != ClaimDone {
		v := Verdict(0)
		if c.after == ClaimAsk {
			v = VerdictBusy
		}
		c.done(v, nil)
	}
	return k.settle(ctx, key, c)
}

// claimKnown claims a key whose run by this instance is remembered, with no
// call to the platform; nil when it is not.
func (k *Keys) claimKnown(ctx context.Context, key string, fp Fingerprint) (Claim, error) {
	for {
		k.mu.Lock()
		k.ledger.expire(k.now())
		e := k.ledger.records[key]
		if e == nil {
			k.mu.Unlock()
			return nil, nil
		}
		v, answer, done := e.verdict("", fp), e.answer, e.done
		k.mu.Unlock()
		switch v {
		case VerdictReplay:
			return replayed{answer}, nil
		case VerdictDropped:
			return nil, nil // the claim may hold it
		case VerdictBusy:
			if !ended(ctx, done) {
				return nil, refusal(VerdictBusy, "", context.Cause(ctx))
			}
		default:
			return nil, refusal(v, "", nil)
		}
	}
}

// settle turns the end of a claim into its result.
func (k *Keys) settle(ctx context.Context, key string, c *claimant) (Claim, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, c.own.Token)
	if c.verdict == VerdictRun {
		k.ledger.add(k.now(), key, c.own.Token, c.own.Fingerprint, 0, k.bounds())
		return &storedRun{k: k, key: key, own: c.own, version: c.version}, nil
	}
	if c.written {
		k.abandoned.add(c.own.Token)
	}
	if c.verdict == VerdictReplay {
		return replayed{c.answer}, nil
	}
	return nil, refusal(c.verdict, c.holder.VM, context.Cause(ctx))
}

func (k *Keys) setPending(token string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending[token] = struct{}{}
}

// perform does the step that the claimant asks for.
func (k *Keys) perform(ctx context.Context, key string, c *claimant) claimEvent {
	name := objectName(key)
	switch c.step {
	case ClaimCreate:
		version, err := k.deps.Store.Create(ctx, platform.KindClaim, name, encode(c.own))
		return claimEvent{version: version, err: err}
	case ClaimTakeOver:
		version, err := k.deps.Store.Update(ctx, platform.KindClaim, name, encode(c.own), c.version)
		return claimEvent{version: version, err: err}
	case ClaimRead:
		return k.read(ctx, name)
	case ClaimAsk:
		return k.askHolder(ctx, key, &c.holder)
	}
	wait.For(ctx, claimPause)
	return claimEvent{}
}

func (k *Keys) read(ctx context.Context, name string) claimEvent {
	obj, err := k.deps.Store.Get(ctx, platform.KindClaim, name)
	if err != nil {
		return claimEvent{err: err}
	}
	ev := claimEvent{version: obj.Version}
	if err := json.Unmarshal(obj.Value, &ev.object); err != nil {
		ev.err = trace.Wrap(err, "claim %s", name)
	}
	return ev
}

func (k *Keys) askHolder(ctx context.Context, key string, holder *claimObject) claimEvent {
	req := &ownerRequest{Op: opAsk, Incarnation: holder.Incarnation, Key: key, Token: holder.Token, Fingerprint: holder.Fingerprint}
	if holder.VM == k.deps.Self.VM {
		if holder.Incarnation != k.deps.Self.Incarnation {
			return claimEvent{verdict: VerdictGone}
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		answer := k.ask(req)
		return claimEvent{verdict: answer.Verdict, answer: answer.Answer}
	}
	answer, err := k.call(ctx, holder.VM, req)
	return claimEvent{verdict: answer.Verdict, answer: answer.Answer, err: err}
}

// encode never fails: the type holds nothing that JSON can't hold.
func encode(c claimObject) []byte {
	raw, _ := json.Marshal(c)
	return raw
}

// storedRun is a run under a key claimed in the platform.
type storedRun struct {
	k       *Keys
	key     string
	own     claimObject
	version platform.Version
}

// Replay implements Claim.
func (*storedRun) Replay() *Answer { return nil }

// Finish implements Claim. The end is kept in memory at once and written to
// the claim in the background; until then, or when that fails, others learn it
// by asking this instance.
func (r *storedRun) Finish(o outcome.Outcome, a *Answer) {
	end := r.own
	switch o {
	case outcome.Answered:
		end.State = ClaimAnswered
		if a != nil && a.Size() <= storedAnswerBytes {
			end.Answer = a
		}
	case outcome.NotRun:
		end.State = ClaimReleased
		r.k.abandon(r.own.Token)
	default:
		end.State = ClaimLost
	}
	r.k.finish(r.key, r.own.Token, o, a)
	r.k.inBackground(func(ctx context.Context) { r.write(ctx, end) })
}

func (k *Keys) abandon(token string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.abandoned.add(token)
}

// write tries to write the end. A conflict means that a write with a lost
// answer took effect, or that another run took over a released claim.
func (r *storedRun) write(ctx context.Context, end claimObject) {
	for ctx.Err() == nil {
		_, err := r.k.deps.Store.Update(ctx, platform.KindClaim, objectName(r.key), encode(end), r.version)
		if result := kindOf(err); result == writeDone || result == writeConflict || result == readNotFound {
			return
		}
		wait.For(ctx, callTimeout)
	}
}

// tokenSet remembers the last tokens put into it.
type tokenSet struct {
	in   map[string]struct{}
	ring []string
	next int
}

func newTokenSet(size int) *tokenSet {
	return &tokenSet{in: make(map[string]struct{}), ring: make([]string, size)}
}

func (s *tokenSet) add(token string) {
	delete(s.in, s.ring[s.next])
	s.ring[s.next] = token
	s.in[token] = struct{}{}
	s.next = (s.next + 1) % len(s.ring)
}

func (s *tokenSet) has(token string) bool {
	_, ok := s.in[token]
	return ok
}
