// Package edge keeps the wire names (paths, header names, field names) of the
// edges towards callers, targets, the platform and operators, one file for
// each edge. No decision is taken here.
package edge

// Paths of the caller edge.
const (
	// PathLookup answers which VMs a caller shall use: GET with ?service=.
	PathLookup = "/.well-known/masticturn/lookup"

	QueryAddress = "address" // of a look-up: ask on behalf of this IP address
)

// Headers between callers and the system.
const (
	HeaderRequestID      = "X-Request-Id"           // both ways; made by the VM when absent
	HeaderIdempotencyKey = "Idempotency-Key"        // from the caller
	HeaderTimeoutMS      = "Masticturn-Timeout-Ms"  // from the caller: how long it will wait
	HeaderNoRetry        = "Masticturn-No-Retry"    // from the caller: "1" makes the request unrepeatable
	HeaderOutcome        = "Masticturn-Outcome"     // to the caller: answered, not-run, unknown
	HeaderStep           = "Masticturn-Step"        // to the caller, on errors
	HeaderPeer           = "Masticturn-Peer"        // to the caller, on errors
	HeaderReplayed       = "Masticturn-Replayed"    // to the caller: "1" on a recorded answer
	HeaderServedRegion   = "Masticturn-Served-From" // to the caller: region of the target that answered
)

// KeySeparator stands between a look-up's ticket and the caller's own part of
// an idempotency key. A key that begins with a ticket is held in memory by the
// VM that the ticket names; any other key costs a write to the platform. The
// ticket is a part of the key, so that a repeated key never comes with another.
const KeySeparator = ":"

// InternalHeaderPrefix marks headers that only the system may set; they are
// removed from what callers and targets send unless named above.
const InternalHeaderPrefix = "Masticturn-"

// ErrorBody is the JSON body of every error answer to a caller.
type ErrorBody struct {
	Outcome      string `json:"outcome"`
	Step         string `json:"step"`
	Peer         string `json:"peer,omitempty"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

// LookupAnswer is the JSON body of a look-up.
type LookupAnswer struct {
	VMs           []LookupVM `json:"vms"`             // best first
	MaxAgeSeconds float64    `json:"max_age_seconds"` // how long the answer may be cached
	Generation    uint64     `json:"generation"`      // generation of the document it was made from
}

// LookupVM is one VM of a look-up's answer.
type LookupVM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`          // host:port of the caller listener
	Ticket  string `json:"ticket,omitempty"` // how an idempotency key may begin, see KeySeparator
}
