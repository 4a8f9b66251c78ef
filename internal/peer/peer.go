// Package peer carries typed messages between daemons: TCP framing with
// msgpack, correlation of answers, liveness pings, reconnection.
package peer

import "context"

// Kind is the kind of a message. Each kind has one request type and, for
// calls, one answer type, stated at its constant.
type Kind uint8

// The kinds of messages. A new kind goes to the end of its service's range.
const (
	KindPing Kind = 1 // liveness, empty call and answer

	KindHeartbeat Kind = 10 // membership: heartbeat and relayed digests
	KindJoin      Kind = 11 // membership: a new daemon asks for the view

	KindConfigPush  Kind = 20 // confsync: a document or its notice
	KindConfigFetch Kind = 21 // confsync: asks for a document

	KindTargetReport Kind = 30 // measure: a region's view of targets
	KindTargetSignal Kind = 31 // measure: shed or drain seen on an answer

	KindPermit    Kind = 40 // admission: asks a broker for slots
	KindRelease   Kind = 41 // admission: gives slots back
	KindGrant     Kind = 42 // admission: a region grants credits to another
	KindDemand    Kind = 43 // admission: demand of a region
	KindDecision  Kind = 44 // admission: a broker's answer to KindPermit
	KindInventory Kind = 45 // admission: slots held, for a broker
	KindPass      Kind = 46 // admission: a broker allows slots to be passed on

	KindKeyOwner Kind = 50 // idempotency: asks the owner of a key

	KindMirrorPoll Kind = 60 // discovery: asks for changes of a kind of the store's objects

	// 70 and 71 are retired.
	KindUsageReport Kind = 72 // placement: usage of a subtree of VMs
	KindUsageTotal  Kind = 73 // placement: usage of all VMs of the region

	KindLimitTake   Kind = 90 // ratelimit: asks a holder for one request of a customer
	KindLimitReport Kind = 91 // ratelimit: asks the granter for shares of limits

	KindQuarantineReports Kind = 80 // quarantine: requests under which targets have crashed
	KindQuarantineSync    Kind = 81 // quarantine: compares what two VMs suspect
	KindQuarantineLease   Kind = 82 // quarantine: asks for the one run of a suspect request
	KindQuarantineRelease Kind = 83 // quarantine: gives that back
)

// Handler answers one message. The payload is msgpack and is valid during the
// call only; decode it with Decode. For one-way messages the answer is
// dropped. One-way messages of one peer are handled one after the other, in
// the order in which they were sent; calls are handled side by side.
type Handler func(ctx context.Context, from string, payload []byte) (answer any, err error)

// Network sends messages to daemons by VM name. Errors carry the peer's name.
type Network interface {
	// Handle sets the handler of a kind. It must be called before Start.
	Handle(kind Kind, h Handler)
	// Send queues a one-way message. It never blocks: when the peer's queue is
	// full or there is no route to it the message is dropped with an error.
	Send(to string, kind Kind, msg any) error
	// Call sends a message and decodes the answer into answer. After an error
	// it is unknown whether the peer handled the message.
	Call(ctx context.Context, to string, kind Kind, msg, answer any) error
	// SetAddress sets a VM's address; empty: it is forgotten. A VM without a known
	// name is reached by its address as the name.
	SetAddress(vm, address string)
}
