package idempotency

import (
	"context"
	"time"

	"masticturn/internal/outcome"
	"masticturn/internal/peer"
	"masticturn/internal/wait"
)

// The asking of another instance.
const (
	callTimeout = time.Second
	callTries   = 3
)

// call asks the owner. A claim may be sent again, as the same token gets the
// same verdict.
func (k *Keys) call(ctx context.Context, vm string, req *ownerRequest) (ownerAnswer, error) {
	var answer ownerAnswer
	var err error
	for range callTries {
		answer, err = k.callOnce(ctx, vm, req)
		if err == nil || !wait.For(ctx, claimPause) {
			break
		}
	}
	return answer, err
}

func (k *Keys) callOnce(ctx context.Context, vm string, req *ownerRequest) (ownerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer ownerAnswer
	err := k.deps.Network.Call(ctx, vm, peer.KindKeyOwner, req, &answer)
	return answer, err
}

// claimRemote claims a key that another instance owns.
func (k *Keys) claimRemote(ctx context.Context, r *Request, t Ticket) (Claim, error) {
	req := &ownerRequest{
		Op: opClaim, Incarnation: t.Incarnation, Key: keyName(r), Token: newToken(),
		Fingerprint: r.Fingerprint, Issued: t.Issued,
	}
	run := &remoteRun{k: k, owner: t.Instance, key: req.Key, token: req.Token}
	for {
		answer, err := k.call(ctx, t.VM, req)
		if err != nil {
			run.Finish(outcome.NotRun, nil) // the claim may have arrived
			return nil, refusal(0, t.VM, err)
		}
		switch answer.Verdict {
		case VerdictRun:
			return run, nil
		case VerdictReplay:
			return replayed{answer.Answer}, nil
		case VerdictBusy:
			if !wait.For(ctx, claimPause) {
				return nil, refusal(VerdictBusy, t.VM, context.Cause(ctx))
			}
		default:
			return nil, refusal(answer.Verdict, t.VM, nil)
		}
	}
}

// remoteRun is a run under a key of another instance.
type remoteRun struct {
	k          *Keys
	owner      Instance
	key, token string
}

// Replay implements Claim.
func (*remoteRun) Replay() *Answer { return nil }

// Finish implements Claim. When the owner can't be told, the key stays taken.
func (r *remoteRun) Finish(o outcome.Outcome, a *Answer) {
	r.k.inBackground(func(ctx context.Context) {
		_, _ = r.k.call(ctx, r.owner.VM, &ownerRequest{
			Op: opFinish, Incarnation: r.owner.Incarnation, Key: r.key, Token: r.token, Outcome: o, Answer: carried(a),
		})
	})
}

// serveOwner answers other instances.
func (k *Keys) serveOwner(_ context.Context, _ string, payload []byte) (any, error) {
	var req ownerRequest
	if err := peer.Decode(payload, &req); err != nil {
		return nil, err
	}
	if req.Incarnation != k.deps.Self.Incarnation {
		return &ownerAnswer{Verdict: VerdictGone}, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch req.Op {
	case opTicket:
		return &ownerAnswer{Ticket: k.issue().String()}, nil
	case opFinish:
		k.ledger.finish(k.now(), req.Key, req.Token, req.Outcome, req.Answer, k.bounds())
		return &ownerAnswer{}, nil
	case opAsk:
		return k.ask(&req), nil
	}
	v, e := k.ledger.claim(k.now(), req.Key, req.Token, req.Fingerprint, req.Issued, k.bounds())
	if e == nil {
		return reply(v, nil), nil
	}
	return reply(v, e.answer), nil
}

// ask tells what became of a run of this instance that is claimed in the
// platform. VerdictRun says that it surely was not run and never will be.
func (k *Keys) ask(req *ownerRequest) *ownerAnswer {
	if _, ok := k.pending[req.Token]; ok {
		return &ownerAnswer{Verdict: VerdictBusy}
	}
	if k.abandoned.has(req.Token) {
		return &ownerAnswer{Verdict: VerdictRun}
	}
	e := k.ledger.records[req.Key]
	if e == nil || e.token != req.Token {
		return &ownerAnswer{Verdict: VerdictLost}
	}
	return reply(e.verdict("", req.Fingerprint), e.answer)
}
