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

// maxStoredResponseBytes is the maximum size of a response stored in the claim object, in
// bytes, so that it survives this process. JSON encoding makes bodies a third larger.
const maxStoredResponseBytes = 64 << 10

// objectName returns the name of a key's claim object. It is a hash because keys may be
// of any length and contain any characters.
func objectName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// claimStored claims a key in the platform store.
func (k *Keys) claimStored(ctx context.Context, r *Request) (Claim, error) {
	key := qualifiedKey(r)
	if claim, err := k.claimFromMemory(ctx, key, r.Fingerprint); claim != nil || err != nil {
		return claim, err
	}
	c := newClaimant(claimObject{
		Token: newToken(), VM: k.deps.Self.VM, Incarnation: k.deps.Self.Incarnation,
		Fingerprint: r.Fingerprint, State: ClaimRunning,
	})
	k.setPending(c.own.Token)
	for c.step != ClaimDone && ctx.Err() == nil {
		c.next(k.performStep(ctx, key, c))
	}
	if c.step != ClaimDone {
		v := Verdict(0)
		if c.afterPause == ClaimQuery {
			v = VerdictBusy
		}
		c.finish(v, nil)
	}
	return k.completeClaim(ctx, key, c)
}

// claimFromMemory claims a key that this instance has run, without a call to the platform
// store. It returns nil if the key is not in memory.
func (k *Keys) claimFromMemory(ctx context.Context, key string, fp Fingerprint) (Claim, error) {
	for {
		k.mu.Lock()
		k.ledger.expire(k.now())
		e := k.ledger.records[key]
		if e == nil {
			k.mu.Unlock()
			return nil, nil
		}
		v, response, done := e.verdict("", fp), e.response, e.done
		k.mu.Unlock()
		switch v {
		case VerdictReplay:
			return replayedClaim{response}, nil
		case VerdictResponseDropped:
			return nil, nil // the claim object may contain the response
		case VerdictBusy:
			if !waitDone(ctx, done) {
				return nil, claimError(VerdictBusy, "", context.Cause(ctx))
			}
		default:
			return nil, claimError(v, "", nil)
		}
	}
}

// completeClaim returns the result of a completed claim.
func (k *Keys) completeClaim(ctx context.Context, key string, c *claimant) (Claim, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, c.own.Token)
	if c.verdict == VerdictRun {
		k.ledger.add(k.now(), key, c.own.Token, c.own.Fingerprint, 0, k.limits())
		return &storedRun{k: k, key: key, own: c.own, version: c.version}, nil
	}
	if c.writeUncertain {
		k.abandoned.add(c.own.Token)
	}
	if c.verdict == VerdictReplay {
		return replayedClaim{c.response}, nil
	}
	return nil, claimError(c.verdict, c.holder.VM, context.Cause(ctx))
}

func (k *Keys) setPending(token string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending[token] = struct{}{}
}

// performStep executes the claimant's current step.
func (k *Keys) performStep(ctx context.Context, key string, c *claimant) stepResult {
	name := objectName(key)
	switch c.step {
	case ClaimCreate:
		version, err := k.deps.Store.Create(ctx, platform.KindClaim, name, encodeClaim(c.own))
		return stepResult{version: version, err: err}
	case ClaimTakeOver:
		version, err := k.deps.Store.Update(ctx, platform.KindClaim, name, encodeClaim(c.own), c.version)
		return stepResult{version: version, err: err}
	case ClaimRead:
		return k.readClaim(ctx, name)
	case ClaimQuery:
		return k.queryHolder(ctx, key, &c.holder)
	}
	wait.For(ctx, claimRetryDelay)
	return stepResult{}
}

func (k *Keys) readClaim(ctx context.Context, name string) stepResult {
	obj, err := k.deps.Store.Get(ctx, platform.KindClaim, name)
	if err != nil {
		return stepResult{err: err}
	}
	result := stepResult{version: obj.Version}
	if err := json.Unmarshal(obj.Value, &result.object); err != nil {
		result.err = trace.Wrap(err, "claim %s", name)
	}
	return result
}

func (k *Keys) queryHolder(ctx context.Context, key string, holder *claimObject) stepResult {
	req := &ownerRequest{Op: opQuery, Incarnation: holder.Incarnation, Key: key, Token: holder.Token, Fingerprint: holder.Fingerprint}
	if holder.VM == k.deps.Self.VM {
		if holder.Incarnation != k.deps.Self.Incarnation {
			return stepResult{verdict: VerdictOwnerGone}
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		response := k.queryRun(req)
		return stepResult{verdict: response.Verdict, response: response.Response}
	}
	response, err := k.call(ctx, holder.VM, req)
	return stepResult{verdict: response.Verdict, response: response.Response, err: err}
}

// encodeClaim returns a claim object as JSON. Its fields cannot fail to marshal.
func encodeClaim(c claimObject) []byte {
	raw, _ := json.Marshal(c)
	return raw
}

// storedRun is a run with a key claimed in the platform store.
type storedRun struct {
	k       *Keys
	key     string
	own     claimObject
	version platform.Version
}

// Replay implements Claim.
func (*storedRun) Replay() *Response { return nil }

// Finish implements Claim. It records the outcome in memory immediately and writes it to
// the claim object in the background. Until then, or if the write fails, other VMs get
// the outcome by querying this instance.
func (r *storedRun) Finish(o outcome.Outcome, a *Response) {
	updated := r.own
	switch o {
	case outcome.Answered:
		updated.State = ClaimAnswered
		if a != nil && a.Size() <= maxStoredResponseBytes {
			updated.Response = a
		}
	case outcome.NotRun:
		updated.State = ClaimReleased
		r.k.abandon(r.own.Token)
	default:
		updated.State = ClaimUnknown
	}
	r.k.finish(r.key, r.own.Token, o, a)
	r.k.inBackground(func(ctx context.Context) { r.write(ctx, updated) })
}

func (k *Keys) abandon(token string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.abandoned.add(token)
}

// write updates the claim object and retries on failure. A conflict means that an earlier
// write whose response was lost took effect, or that another run took over a released
// claim.
func (r *storedRun) write(ctx context.Context, updated claimObject) {
	for ctx.Err() == nil {
		_, err := r.k.deps.Store.Update(ctx, platform.KindClaim, objectName(r.key), encodeClaim(updated), r.version)
		if result := classify(err); result == callSucceeded || result == callConflict || result == callNotFound {
			return
		}
		wait.For(ctx, callTimeout)
	}
}

// tokenSet is a set of the most recently added tokens, of fixed size.
type tokenSet struct {
	members map[string]struct{}
	ring    []string
	next    int
}

func newTokenSet(size int) *tokenSet {
	return &tokenSet{members: make(map[string]struct{}), ring: make([]string, size)}
}

func (s *tokenSet) add(token string) {
	delete(s.members, s.ring[s.next])
	s.ring[s.next] = token
	s.members[token] = struct{}{}
	s.next = (s.next + 1) % len(s.ring)
}

func (s *tokenSet) has(token string) bool {
	_, ok := s.members[token]
	return ok
}
