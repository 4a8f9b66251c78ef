package idempotency

import (
	"time"

	"masticturn/internal/outcome"
)

// op is the operation of an ownerRequest.
type op uint8

const (
	opTicket op = iota + 1 // issue a ticket
	opClaim                // claim a key that begins with the receiver's ticket
	opFinish               // report the outcome of a run claimed by opClaim
	opQuery                // return the state of the receiver's run that holds a claim object
)

// ownerRequest is the request of peer.KindKeyOwner.
type ownerRequest struct {
	Op          op              `msgpack:"o"`
	Incarnation uint64          `msgpack:"i"` // of the intended receiver
	Key         string          `msgpack:"k,omitempty"`
	Token       string          `msgpack:"t,omitempty"`
	Fingerprint Fingerprint     `msgpack:"f,omitempty"`
	Issued      time.Duration   `msgpack:"s,omitempty"`
	Outcome     outcome.Outcome `msgpack:"u,omitempty"`
	Response    *Response       `msgpack:"a,omitempty"`
}

// ownerResponse is the response to ownerRequest.
type ownerResponse struct {
	Verdict  Verdict   `msgpack:"v"`
	Response *Response `msgpack:"a,omitempty"`
	Ticket   string    `msgpack:"t,omitempty"`
}

// maxPeerResponseBytes is the maximum size of a response sent between instances, in bytes. It is
// below the frame limit of the peer network.
const maxPeerResponseBytes = 512 << 10

// peerResponse returns the response if it is small enough to be sent to another instance,
// else nil.
func peerResponse(a *Response) *Response {
	if a == nil || a.Size() > maxPeerResponseBytes {
		return nil
	}
	return a
}

// newOwnerResponse returns the message for a verdict. A response that is too large to send is
// reported as dropped.
func newOwnerResponse(v Verdict, a *Response) *ownerResponse {
	if v != VerdictReplay {
		return &ownerResponse{Verdict: v}
	}
	if peerResponse(a) == nil {
		return &ownerResponse{Verdict: VerdictResponseDropped}
	}
	return &ownerResponse{Verdict: v, Response: a}
}
