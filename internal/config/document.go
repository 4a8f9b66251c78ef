// Package config holds the operators' one document: its schema, validation,
// difference, and the immutable snapshot that daemons have in force.
package config

import "time"

// Millis is a duration in milliseconds, as written in the document.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Document is the whole of what operators say. It is stored and put in force
// as one value; nothing else configures the fleet.
type Document struct {
	Deployment   string        `json:"deployment"`              // name of the deployment
	Fleet        Fleet         `json:"fleet"`                   // bounds on the fleet, from which per-VM shares follow
	Regions      []Region      `json:"regions"`                 // regions with their availability zones
	Links        []Link        `json:"links"`                   // links between regions
	Classes      []Class       `json:"classes"`                 // classes of requests
	Tenants      []Tenant      `json:"tenants,omitempty"`       // tenants with their shares
	Services     []Service     `json:"services"`                // services with routes and targets
	Hosts        []Host        `json:"hosts,omitempty"`         // routing by host name, in place of the services' path prefixes
	ShiftCaps    []ShiftCap    `json:"shift_caps"`              // how far traffic may shift
	ClientBlocks []ClientBlock `json:"client_blocks,omitempty"` // where callers are
	Lookup       Lookup        `json:"lookup"`                  // answers of look-ups
	Drain        Drain         `json:"drain"`                   // planned stops
	Limits       Limits        `json:"limits"`                  // what a caller may do
	Retry        Retry         `json:"retry"`                   // retry budget
	Steering     Steering      `json:"steering"`                // policy of target choice
}

// Fleet bounds the number of daemons. Every share that must add up over VMs
// without agreement is divided by these bounds.
type Fleet struct {
	MaxVMs          int `json:"max_vms"`            // daemons in all, at most
	MaxVMsPerRegion int `json:"max_vms_per_region"` // daemons of one region, at most
}

// Region is a region with its availability zones.
type Region struct {
	Name  string   `json:"name"`
	Zones []string `json:"zones"` // availability zones; names are unique over all regions
}

// Link is a one-way link between two regions with its limits.
type Link struct {
	From              string `json:"from"`
	To                string `json:"to"`
	OneWayMS          Millis `json:"one_way_ms"`          // latency one way
	RequestsPerSecond int    `json:"requests_per_second"` // limit over all services
	BytesPerSecond    int64  `json:"bytes_per_second"`    // limit over all services
}

// Class is a class of requests. Lower Priority numbers go first.
type Class struct {
	Name      string `json:"name"`
	Priority  int    `json:"priority"`    // 0 is served first
	Weight    int    `json:"weight"`      // share kept under overload, so that no class starves
	MaxWaitMS Millis `json:"max_wait_ms"` // longest time in a queue before it is told 'not run'
	TimeoutMS Millis `json:"timeout_ms"`  // default deadline of a request
}

// Tenant is a tenant of a service with its fair share within a class.
type Tenant struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// Service is a service: the requests under its path prefix go to its targets.
type Service struct {
	Name                  string   `json:"name"`
	PathPrefix            string   `json:"path_prefix"` // such as "/planview/"
	Routes                []Route  `json:"routes"`      // first match wins; the last one should match all
	Targets               []Target `json:"targets"`
	ServiceMS             Millis   `json:"service_ms"`                         // expected time a request runs at a target, before it is measured
	Connections           int      `json:"connections,omitempty"`              // each target takes that states no figure of its own
	ColdMS                Millis   `json:"cold_ms,omitempty"`                  // how long a new target stays cold
	ColdRequestsPerSecond float64  `json:"cold_requests_per_second,omitempty"` // rate a cold target bears; 0: no bound
}

// Repeat says whether a request may be run more than once.
type Repeat string

// The values of Repeat. RepeatByMethod, the default, lets GET, HEAD, OPTIONS,
// PUT and DELETE be repeated, and nothing else.
const (
	RepeatByMethod Repeat = ""
	RepeatAllowed  Repeat = "allowed"
	RepeatNever    Repeat = "never"
)

// Route tells class, tenant and repeatability of some requests of a service.
type Route struct {
	Methods      []string `json:"methods,omitempty"`        // empty: all
	PathPrefix   string   `json:"path_prefix"`              // below the service's prefix; "" matches all
	Class        string   `json:"class"`                    // name of a class
	Tenant       string   `json:"tenant,omitempty"`         // name of a tenant
	Repeat       Repeat   `json:"repeat,omitempty"`         // may it be run twice
	RequireKey   bool     `json:"require_key,omitempty"`    // refuse without Idempotency-Key
	TimeoutMS    Millis   `json:"timeout_ms,omitempty"`     // overrides the class
	MaxTimeoutMS Millis   `json:"max_timeout_ms,omitempty"` // bounds what the caller asks for; 0: no bound
	MaxBodyBytes int64    `json:"max_body_bytes,omitempty"` // overrides limits.max_body_bytes
}

// Target is one back end of a service.
type Target struct {
	Name        string `json:"name"` // unique over all services
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`              // requests it runs at once
	Connections int    `json:"connections"`        // connections it takes, over all VMs
	Leaving     bool   `json:"leaving,omitempty"`  // operators drain it
	Instance    string `json:"instance,omitempty"` // one start of the target; sent along, so that another one at its address refuses
}

// ShiftCap bounds how much of the traffic of callers in one region may be
// served by targets in another one. Counted are requests, per service, within
// each fixed window of WindowMS, as a fraction of the requests of the callers
// of region From for that service in the window before.
type ShiftCap struct {
	From            string  `json:"from"`
	To              string  `json:"to"`
	Service         string  `json:"service,omitempty"` // empty: each service on its own
	MaxFraction     float64 `json:"max_fraction"`      // 0 to 1
	MaxStepFraction float64 `json:"max_step_fraction"` // how much the fraction may change per window
	WindowMS        Millis  `json:"window_ms"`
}

// ClientBlock places the callers of an address block.
type ClientBlock struct {
	CIDR   string `json:"cidr"`
	Region string `json:"region"`
	Zone   string `json:"zone,omitempty"` // availability zone nearest to them
}

// Lookup bounds the answers of look-ups.
type Lookup struct {
	Answers  int    `json:"answers"`    // VMs in an answer, at most
	MaxAgeMS Millis `json:"max_age_ms"` // how long callers may cache an answer
}

// Drain bounds planned stops.
type Drain struct {
	GraceMS       Millis `json:"grace_ms"`        // longest a VM waits for requests in flight
	TargetQuietMS Millis `json:"target_quiet_ms"` // within this time a leaving target gets no new work
}

// Limits bounds what one caller may do.
type Limits struct {
	MaxHeaderBytes        int    `json:"max_header_bytes"`
	MaxBodyBytes          int64  `json:"max_body_bytes"`
	HeaderTimeoutMS       Millis `json:"header_timeout_ms"`
	IdleTimeoutMS         Millis `json:"idle_timeout_ms"`         // between bytes of a body
	KeepAliveMS           Millis `json:"keep_alive_ms,omitempty"` // between requests on a connection; 0: the daemon's default
	MaxConnectionsPerAddr int    `json:"max_connections_per_address"`
	ReplayBodyBytes       int64  `json:"replay_body_bytes"`      // bodies up to this are kept to be retried
	RecordedAnswerBytes   int64  `json:"recorded_answer_bytes"`  // largest answer kept under a key
	RecordedAnswersBytes  int64  `json:"recorded_answers_bytes"` // all answers kept by a VM
	RecordedAnswersMS     Millis `json:"recorded_answers_ms"`    // how long an answer is kept
}

// Retry is the retry budget of each VM.
type Retry struct {
	MaxAttempts    int     `json:"max_attempts"`           // attempts of one request, the first included
	BudgetFraction float64 `json:"budget_fraction"`        // retries and hedges per first attempt
	BudgetBurst    float64 `json:"budget_burst,omitempty"` // retries saved up at most, for each service and target
	BackoffMS      Millis  `json:"backoff_ms"`             // first backoff; doubled, with jitter
	HedgeAfterMS   Millis  `json:"hedge_after_ms"`         // 0: no hedges
	Patient        bool    `json:"patient,omitempty"`      // a silent target is waited for up to the deadline: silence does not tell slow from dead
}

// Steering chooses and tunes the policy.
type Steering struct {
	Policy         string  `json:"policy"`          // name of the policy of target choice
	HeadroomWeight float64 `json:"headroom_weight"` // 0 (tail latency first) to 1 (headroom first)
	HeadroomKeep   float64 `json:"headroom_keep"`   // fraction of a region's slots never granted to others
	StaleMS        Millis  `json:"stale_ms"`        // a measurement older than this means caution
	ProbeMS        Millis  `json:"probe_ms"`        // between probes of a target
	ColdMS         Millis  `json:"cold_ms"`         // slow start of a cold target
}
