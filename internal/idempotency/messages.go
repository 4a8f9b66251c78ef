package idempotency

import (
	"time"

	"masticturn/internal/outcome"
)

// op is what is asked of the instance that owns a key.
type op uint8

const (
	opTicket op = iota + 1 // a fresh ticket
	opClaim                // claim a key that begins with the owner's ticket
	opFinish               // tell the end of a run claimed by opClaim
	opAsk                  // what became of the owner's own run of a claim in the platform
)

// ownerRequest is the request of peer.KindKeyOwner.
type ownerRequest struct {
	Op          op              `msgpack:"o"`
	Incarnation uint64          `msgpack:"i"` // of the owner that is meant
	Key         string          `msgpack:"k,omitempty"`
	Token       string          `msgpack:"t,omitempty"`
	Fingerprint Fingerprint     `msgpack:"f,omitempty"`
	Issued      time.Duration   `msgpack:"s,omitempty"`
	Outcome     outcome.Outcome `msgpack:"u,omitempty"`
	Answer      *Answer         `msgpack:"a,omitempty"`
}

// ownerAnswer is its answer.
type ownerAnswer struct {
	Verdict Verdict `msgpack:"v"`
	Answer  *Answer `msgpack:"a,omitempty"`
	Ticket  string  `msgpack:"t,omitempty"`
}

// carriedBytes is the largest answer that goes from instance to instance. A
// frame of the peer network takes more.
const carriedBytes = 512 << 10

// carried returns the answer if it can go to another instance, else nil.
func carried(a *Answer) *Answer {
	if a == nil || a.Size() > carriedBytes {
		return nil
	}
	return a
}

// reply makes the answer to another instance.
func reply(v Verdict, a *Answer) *ownerAnswer {
	if v != VerdictReplay {
		return &ownerAnswer{Verdict: v}
	}
	if carried(a) == nil {
		return &ownerAnswer{Verdict: VerdictDropped}
	}
	return &ownerAnswer{Verdict: v, Answer: a}
}
