// Package peer sends typed messages between daemons over TCP. It provides framing
// with msgpack payloads, matching of responses to calls, detection of silent
// connections, and reconnection.
package peer

import "context"

// Kind is the kind of a message. Each kind has one request type and, if it is used
// for calls, one response type.
type Kind uint8

// Message kinds. Add a new kind at the end of the range of its service.
const (
	KindPing Kind = 1 // liveness check of a connection; no payload

	KindHeartbeat Kind = 10 // membership: heartbeat with relayed digests
	KindJoin      Kind = 11 // membership: a new daemon requests the member list

	KindRoster Kind = 12 // roster: requests the list of VMs that may be running

	KindConfigPush  Kind = 20 // confsync: a document or an announcement of one
	KindConfigFetch Kind = 21 // confsync: requests a document

	KindTargetReport Kind = 30 // measure: target state as measured by a region
	KindTargetSignal Kind = 31 // measure: load shedding or draining seen in a response of a target

	KindPermit    Kind = 40 // admission: requests slots from a broker
	KindRelease   Kind = 41 // admission: returns slots
	KindGrant     Kind = 42 // admission: a region grants credits to another region
	KindDemand    Kind = 43 // admission: demand of a region
	KindDecision  Kind = 44 // admission: a broker's response to KindPermit
	KindInventory Kind = 45 // admission: reports held slots to a broker
	KindPass      Kind = 46 // admission: a broker allows slots to be transferred

	KindKeyOwner Kind = 50 // idempotency: queries the owner of a key

	KindMirrorPoll Kind = 60 // discovery: requests changes of one kind of objects in the store

	// 70 and 71 are retired and must not be reused.
	KindUsageReport Kind = 72 // placement: usage of a subtree of VMs
	KindUsageTotal  Kind = 73 // placement: usage of all VMs of the region
	KindRegionLoad  Kind = 74 // regionload: capacity and demand of a region

	KindTargetNotice Kind = 95 // tunnel: what a target has announced to the sender

	KindTargetTokens Kind = 96 // targetlimit: requests tokens under a target's rate limit from their granter

	KindLimitTake   Kind = 90 // ratelimit: requests permission for one request of a customer from a holder
	KindLimitReport Kind = 91 // ratelimit: requests shares of limits from the granter

	KindQuarantineReports Kind = 80 // quarantine: reports requests during which targets crashed
	KindQuarantineSync    Kind = 81 // quarantine: synchronizes suspect requests between two VMs
	KindQuarantineLease   Kind = 82 // quarantine: requests the exclusive right to run a suspect request
	KindQuarantineRelease Kind = 83 // quarantine: releases that right
)

// Handler handles a message. The payload is msgpack, to be decoded with Decode,
// and must not be used after the handler returns. The response to a one-way
// message is discarded. One-way messages of a peer are handled sequentially in the
// order in which they were sent; calls are handled concurrently.
type Handler func(ctx context.Context, from string, payload []byte) (resp any, err error)

// Network exchanges messages with other daemons, addressed by VM name. Errors
// include the name of the peer.
type Network interface {
	// Handle sets the handler of a kind. It must be called before the network is
	// started.
	Handle(kind Kind, h Handler)
	// Send queues a one-way message. It never blocks: if the queue is full or
	// the peer has no known address, it drops the message and returns an error.
	Send(to string, kind Kind, msg any) error
	// Call sends a message and decodes the response into resp. After an error it
	// is unknown whether the peer handled the message.
	Call(ctx context.Context, to string, kind Kind, msg, resp any) error
	// SetAddress sets the address of a VM, or removes it if address is empty. To
	// reach a VM whose name is not known, set the address under the address
	// itself and use that as the name.
	SetAddress(vm, address string)
}
