package edge

import (
	"strconv"
	"strings"
)

// Dialect is the HTTP interface of a deployment's callers and targets: names of
// headers and forms of answers. Names are canonical; an empty one is not in use.
type Dialect struct {
	RequestID       string // of requests and answers
	CallerTimeoutMS string // from the caller: milliseconds it will wait
	ObjectKey       string // from the caller: the object a request is about
	IdempotencyKey  string // from the caller
	NoRetry         string // from the caller: "1" makes the request unrepeatable
	CustomerKey     string // from the caller: a key of a customer; removed
	// Credentials are the headers by which a caller is known.
	Credentials []string

	TargetRequestID  string // of requests and answers
	TargetDeadlineMS string // to the target: milliseconds left
	TargetExpect     string // to the target: the instance the request is meant for
	TargetCustomer   string // to the target: name of the customer
	TargetNotRun     string // from the target, any value: surely not run
	TargetLoad       string // from the target, read by ParseLoad
	TargetDraining   string // from the target, "1": it is leaving

	// ParseLoad reads the value of TargetLoad; ok is false when it is absent
	// or malformed.
	ParseLoad func(value string) (load Load, ok bool)
	// Internal reports whether only the system may set or read a header, so that it
	// is removed from what callers and targets send.
	Internal func(name string) bool

	InventRequestID    bool // a request without an id gets one
	ExplainAnswers     bool // answers carry the system's own headers
	FractionalSeconds  bool // Retry-After may have a fraction
	UndelimitedAnswers bool // an answer may end with its connection
}

// Load is a target's load report.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Credentials lists the headers of HTTP by which a caller is known (RFC 9110,
// section 11.6.2; RFC 6265, section 5.4).
func Credentials() []string { return []string{"Authorization", "Cookie"} }

// Native is the dialect of the system's own interface.
func Native() *Dialect {
	return &Dialect{
		RequestID:        HeaderRequestID,
		CallerTimeoutMS:  HeaderTimeoutMS,
		IdempotencyKey:   HeaderIdempotencyKey,
		NoRetry:          HeaderNoRetry,
		Credentials:      Credentials(),
		TargetRequestID:  HeaderTargetRequestID,
		TargetDeadlineMS: HeaderTargetDeadlineMS,
		TargetNotRun:     HeaderTargetNotRun,
		TargetLoad:       HeaderTargetLoad,
		TargetDraining:   HeaderTargetDraining,
		ParseLoad:        parseNativeLoad,
		Internal:         func(name string) bool { return strings.HasPrefix(name, InternalHeaderPrefix) },
		InventRequestID:  true,
		ExplainAnswers:   true,
	}
}

// parseNativeLoad reads "inflight/slots".
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
