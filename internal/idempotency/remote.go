package idempotency

import (
	"context"
	"time"

	"masticturn/internal/outcome"
	"masticturn/internal/peer"
	"masticturn/internal/wait"
)

// Limits of calls to other instances.
const (
	callTimeout     = time.Second
	maxCallAttempts = 3
)

// call sends a request to an instance, with retries. Claims can be retried because they
// are idempotent per token.
func (k *Keys) call(ctx context.Context, vm string, req *ownerRequest) (ownerResponse, error) {
	var response ownerResponse
	var err error
	for range maxCallAttempts {
		response, err = k.callOnce(ctx, vm, req)
		if err == nil || !wait.For(ctx, claimRetryDelay) {
			break
		}
	}
	return response, err
}

func (k *Keys) callOnce(ctx context.Context, vm string, req *ownerRequest) (ownerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response ownerResponse
	err := k.deps.Network.Call(ctx, vm, peer.KindKeyOwner, req, &response)
	return response, err
}

// claimRemote claims a key that another instance owns.
func (k *Keys) claimRemote(ctx context.Context, r *Request, t Ticket) (Claim, error) {
	req := &ownerRequest{
		Op: opClaim, Incarnation: t.Incarnation, Key: qualifiedKey(r), Token: newToken(),
		Fingerprint: r.Fingerprint, Issued: t.Issued,
	}
	run := &remoteRun{k: k, owner: t.Instance, key: req.Key, token: req.Token}
	for {
		response, err := k.call(ctx, t.VM, req)
		if err != nil {
			run.Finish(outcome.NotRun, nil) // releases the claim if it was received
			return nil, claimError(0, t.VM, err)
		}
		switch response.Verdict {
		case VerdictRun:
			return run, nil
		case VerdictReplay:
			return replayedClaim{response.Response}, nil
		case VerdictBusy:
			if !wait.For(ctx, claimRetryDelay) {
				return nil, claimError(VerdictBusy, t.VM, context.Cause(ctx))
			}
		default:
			return nil, claimError(response.Verdict, t.VM, nil)
		}
	}
}

// remoteRun is a run with a key that another instance owns.
type remoteRun struct {
	k          *Keys
	owner      Instance
	key, token string
}

// Replay implements Claim.
func (*remoteRun) Replay() *Response { return nil }

// Finish implements Claim. If the owner is unreachable, the key remains claimed.
func (r *remoteRun) Finish(o outcome.Outcome, a *Response) {
	r.k.inBackground(func(ctx context.Context) {
		_, _ = r.k.call(ctx, r.owner.VM, &ownerRequest{
			Op: opFinish, Incarnation: r.owner.Incarnation, Key: r.key, Token: r.token, Outcome: o, Response: peerResponse(a),
		})
	})
}

// handleOwnerRequest handles requests from other instances.
func (k *Keys) handleOwnerRequest(_ context.Context, _ string, payload []byte) (any, error) {
	var req ownerRequest
	if err := peer.Decode(payload, &req); err != nil {
		return nil, err
	}
	if req.Incarnation != k.deps.Self.Incarnation {
		return &ownerResponse{Verdict: VerdictOwnerGone}, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch req.Op {
	case opTicket:
		return &ownerResponse{Ticket: k.issueTicket().String()}, nil
	case opFinish:
		k.ledger.finish(k.now(), req.Key, req.Token, req.Outcome, req.Response, k.limits())
		return &ownerResponse{}, nil
	case opQuery:
		return k.queryRun(&req), nil
	}
	v, e := k.ledger.claim(k.now(), req.Key, req.Token, req.Fingerprint, req.Issued, k.limits())
	if e == nil {
		return newOwnerResponse(v, nil), nil
	}
	return newOwnerResponse(v, e.response), nil
}

// queryRun returns the state of a run of this instance whose claim is in the platform store;
// k.mu is held. VerdictRun means that the run did not and will not happen.
func (k *Keys) queryRun(req *ownerRequest) *ownerResponse {
	if _, ok := k.pending[req.Token]; ok {
		return &ownerResponse{Verdict: VerdictBusy}
	}
	if k.abandoned.has(req.Token) {
		return &ownerResponse{Verdict: VerdictRun}
	}
	e := k.ledger.records[req.Key]
	if e == nil || e.token != req.Token {
		return &ownerResponse{Verdict: VerdictUnknown}
	}
	return newOwnerResponse(e.verdict("", req.Fingerprint), e.response)
}
