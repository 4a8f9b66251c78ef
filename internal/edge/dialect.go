package edge

import (
	"strconv"
	"strings"
)

// Dialect describes the HTTP interface that the callers and targets of a deployment
// use: header names and properties of responses. Header names are in canonical
// form; an empty name means that the header is not used.
type Dialect struct {
	RequestID       string // request and response
	CallerTimeoutMS string // request: milliseconds that the caller will wait
	ObjectKey       string // request: the object that it concerns
	IdempotencyKey  string // request
	NoRetry         string // request: "1" means that it must not run more than once
	CustomerKey     string // request: API key of a customer; not forwarded
	// Credentials are the headers that identify the caller.
	Credentials []string

	TargetRequestID        string // request and response
	TargetDeadlineMS       string // request: milliseconds until the deadline
	TargetExpectedInstance string // request: the target instance for which it is intended
	TargetCustomer         string // request: name of the customer
	TargetNotRun           string // response, any value: the request was not executed
	TargetLoad             string // response, parsed by ParseLoad
	TargetDraining         string // response: "1" if the target is draining
	TargetRateLimit        string // response, parsed by ParseRateLimit; absent: the target has no limit

	// ParseLoad parses the value of TargetLoad. ok is false if it is absent or
	// malformed.
	ParseLoad func(value string) (load Load, ok bool)
	// ParseRateLimit parses the values of TargetRateLimit: the requests/s that the target takes from
	// all VMs together. ok is false if none of them is valid. It is used only if TargetRateLimit is set.
	ParseRateLimit func(values []string) (perSecond float64, ok bool)
	// Internal reports whether a header is reserved for the system and must be
	// removed from requests of callers and responses of targets.
	Internal func(name string) bool

	GenerateRequestID bool // generate an ID for requests without one
	// AddOutcomeHeaders adds HeaderOutcome to responses, with HeaderServedRegion on those of
	// targets, and HeaderStep and, if known, HeaderPeer on errors. Replayed responses have
	// HeaderOutcome in any case.
	AddOutcomeHeaders       bool
	FractionalRetryAfter    bool // Retry-After may be fractional
	CloseDelimitedResponses bool // responses may be delimited by closing the connection
}

// Load is the load reported by a target.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// WorkPercent is how long work takes at the target now, in percent of the usual time; 0: not
	// reported.
	WorkPercent int
}

// Credentials returns the standard HTTP headers that identify a caller (RFC 9110,
// section 11.6.2; RFC 6265, section 5.4).
func Credentials() []string { return []string{"Authorization", "Cookie"} }

// Native returns the dialect of the system's own interface.
func Native() *Dialect {
	return &Dialect{
		RequestID:         HeaderRequestID,
		CallerTimeoutMS:   HeaderTimeoutMS,
		IdempotencyKey:    HeaderIdempotencyKey,
		NoRetry:           HeaderNoRetry,
		Credentials:       Credentials(),
		TargetRequestID:   HeaderTargetRequestID,
		TargetDeadlineMS:  HeaderTargetDeadlineMS,
		TargetNotRun:      HeaderTargetNotRun,
		TargetLoad:        HeaderTargetLoad,
		TargetDraining:    HeaderTargetDraining,
		ParseLoad:         parseNativeLoad,
		Internal:          func(name string) bool { return strings.HasPrefix(name, InternalHeaderPrefix) },
		GenerateRequestID: true,
		AddOutcomeHeaders: true,
	}
}

// parseNativeLoad parses "inflight/slots".
func parseNativeLoad(value string) (Load, bool) {
	a, b, ok := strings.Cut(value, "/")
	if !ok {
		return Load{}, false
	}
	running, errA := strconv.Atoi(a)
	slots, errB := strconv.Atoi(b)
	if errA != nil || errB != nil || running < 0 || slots < 0 {
		return Load{}, false
	}
	return Load{Running: running, Slots: slots}, true
}
