package edge

// Paths that every target must serve.
const (
	PathTargetHealth = "/health" // GET: TargetHealth
	PathTargetLoad   = "/load"   // GET: TargetLoad
)

// Headers of requests to targets and of their responses. The request ID is sent in
// both: a response with a different ID than its request belongs to another request.
const (
	HeaderTargetRequestID  = "X-Request-Id"
	HeaderTargetDeadlineMS = "Masticturn-Deadline-Ms" // request: milliseconds until the deadline
	HeaderTargetNotRun     = "Masticturn-Not-Run"     // response: "1" if the request was shed and not executed
	HeaderTargetLoad       = "Masticturn-Load"        // response: "inflight/slots"
	HeaderTargetDraining   = "Masticturn-Draining"    // response: "1" if the target is draining
)

// TargetStatus is the state that a target reports about itself.
type TargetStatus string

// Target states.
const (
	TargetOK       TargetStatus = "ok"
	TargetCold     TargetStatus = "cold" // starting, with empty caches
	TargetDraining TargetStatus = "draining"
)

// TargetHealth is the JSON body of the response to PathTargetHealth.
type TargetHealth struct {
	Status TargetStatus `json:"status"`
}

// TargetLoad is the JSON body of the response to PathTargetLoad.
type TargetLoad struct {
	InFlight int `json:"in_flight"` // requests that are being executed
	Slots    int `json:"slots"`     // maximum number of concurrent requests
	Queued   int `json:"queued"`    // requests queued in the target
}
