package edge

// Paths every target serves.
const (
	PathTargetHealth = "/health" // GET: TargetHealth
	PathTargetLoad   = "/load"   // GET: TargetLoad
)

// Headers between the system and targets. The request id goes both ways: a
// target that echoes another id than it was sent has crossed its answers.
const (
	HeaderTargetRequestID  = "X-Request-Id"
	HeaderTargetDeadlineMS = "Masticturn-Deadline-Ms" // to the target: milliseconds left
	HeaderTargetNotRun     = "Masticturn-Not-Run"     // from the target, "1": shed, surely not run
	HeaderTargetLoad       = "Masticturn-Load"        // from the target: "inflight/slots"
	HeaderTargetDraining   = "Masticturn-Draining"    // from the target, "1": it is leaving
)

// TargetStatus is a target's own word about its state.
type TargetStatus string

// The states a target reports.
const (
	TargetOK       TargetStatus = "ok"
	TargetCold     TargetStatus = "cold" // starting, caches empty
	TargetDraining TargetStatus = "draining"
)

// TargetHealth is the JSON body of PathTargetHealth.
type TargetHealth struct {
	Status TargetStatus `json:"status"`
}

// TargetLoad is the JSON body of PathTargetLoad.
type TargetLoad struct {
	InFlight int `json:"in_flight"` // requests being run
	Slots    int `json:"slots"`     // requests it can run at once
	Queued   int `json:"queued"`    // requests that wait inside the target
}
