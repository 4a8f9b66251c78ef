// Package config defines the configuration document: its schema, parsing,
// validation, diff and merge, and the immutable snapshot that daemons run with.
package config

import "time"

// Millis is a duration in milliseconds, as written in the document.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Document is the complete configuration of a deployment. It is stored and
// activated as a single value; the fleet has no other configuration.
type Document struct {
	Deployment   string        `json:"deployment"`              // name of the deployment
	Fleet        Fleet         `json:"fleet"`                   // fleet size limits, from which per-VM shares are computed
	Regions      []Region      `json:"regions"`                 // regions and their availability zones
	Links        []Link        `json:"links"`                   // links between regions
	Classes      []Class       `json:"classes"`                 // request classes
	Tenants      []Tenant      `json:"tenants,omitempty"`       // tenants and their fair-share weights
	Services     []Service     `json:"services"`                // services with their routes and targets
	Hosts        []Host        `json:"hosts,omitempty"`         // host-based routing, which replaces routing by the services' path prefixes
	ShiftCaps    []ShiftCap    `json:"shift_caps"`              // limits on traffic shifted between regions
	ClientBlocks []ClientBlock `json:"client_blocks,omitempty"` // locations of callers by address block
	Lookup       Lookup        `json:"lookup"`                  // look-up answers
	Drain        Drain         `json:"drain"`                   // draining of VMs and targets
	Limits       Limits        `json:"limits"`                  // limits on connections, requests and recorded answers
	Retry        Retry         `json:"retry"`                   // retries and hedging
	Steering     Steering      `json:"steering"`                // target selection policy
}

// Fleet limits the number of daemons. Limits that apply to the whole fleet or to
// a region are divided by these numbers, so that the per-VM shares stay within
// the limit without coordination between VMs.
type Fleet struct {
	MaxVMs          int `json:"max_vms"`            // maximum number of daemons in total
	MaxVMsPerRegion int `json:"max_vms_per_region"` // maximum number of daemons in one region
}

// Region is a region and its availability zones.
type Region struct {
	Name  string   `json:"name"`
	Zones []string `json:"zones"` // availability zone names, unique across all regions
}

// Link describes the network path from one region to another.
type Link struct {
	From              string `json:"from"`
	To                string `json:"to"`
	OneWayMS          Millis `json:"one_way_ms"`          // one-way latency
	RequestsPerSecond int    `json:"requests_per_second"` // limit across all services
	BytesPerSecond    int64  `json:"bytes_per_second"`    // limit across all services
}

// Class is a request class. Classes with lower Priority values are served first.
type Class struct {
	Name      string `json:"name"`
	Priority  int    `json:"priority"`    // 0 is served first
	Weight    int    `json:"weight"`      // share of capacity reserved under overload, to prevent starvation
	MaxWaitMS Millis `json:"max_wait_ms"` // maximum time in the queue; after that the caller is told that the request was not run
	TimeoutMS Millis `json:"timeout_ms"`  // default request timeout
}

// Tenant is a tenant of a service. Weight is its fair share within a class.
type Tenant struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// Service routes the requests under a path prefix to a set of targets.
type Service struct {
	Name                  string   `json:"name"`
	PathPrefix            string   `json:"path_prefix"` // such as "/planview/"
	Routes                []Route  `json:"routes"`      // the first match wins; the last route should match all requests
	Targets               []Target `json:"targets"`
	ServiceMS             Millis   `json:"service_ms"`                         // expected execution time of a request at a target, used until measurements exist
	Connections           int      `json:"connections,omitempty"`              // connection limit of targets that do not specify their own
	ColdMS                Millis   `json:"cold_ms,omitempty"`                  // duration of the slow start of a new target
	ColdRequestsPerSecond float64  `json:"cold_requests_per_second,omitempty"` // rate limit of a target during slow start; 0: unlimited
}

// Repeat specifies whether a request may be executed more than once.
type Repeat string

// Values of Repeat. RepeatByMethod, the default, allows only GET, HEAD, OPTIONS,
// PUT and DELETE to be repeated.
const (
	RepeatByMethod Repeat = ""
	RepeatAllowed  Repeat = "allowed"
	RepeatNever    Repeat = "never"
)

// Route assigns a class, a tenant and request options to the matching requests
// of a service.
type Route struct {
	Methods      []string `json:"methods,omitempty"`        // HTTP methods; empty: all
	PathPrefix   string   `json:"path_prefix"`              // relative to the service's prefix; "" matches all paths
	Class        string   `json:"class"`                    // name of a class
	Tenant       string   `json:"tenant,omitempty"`         // name of a tenant
	Repeat       Repeat   `json:"repeat,omitempty"`         // whether a request may be executed more than once
	RequireKey   bool     `json:"require_key,omitempty"`    // reject requests without an Idempotency-Key header
	TimeoutMS    Millis   `json:"timeout_ms,omitempty"`     // overrides the timeout of the class
	MaxTimeoutMS Millis   `json:"max_timeout_ms,omitempty"` // upper limit of timeouts requested by callers; 0: unlimited
	MaxBodyBytes int64    `json:"max_body_bytes,omitempty"` // overrides limits.max_body_bytes
}

// Target is a server instance that runs the requests of a service.
type Target struct {
	Name        string `json:"name"` // unique across all services
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`              // maximum number of concurrent requests
	Connections int    `json:"connections"`        // maximum number of connections from all VMs together
	Leaving     bool   `json:"leaving,omitempty"`  // the target is being drained
	Instance    string `json:"instance,omitempty"` // ID of the running instance, sent with each request; a different instance at the same address rejects the request
}

// ShiftCap limits how much of the traffic from callers in region From may be
// served by targets in region To. Requests are counted per service in fixed
// windows of WindowMS. The limit is a fraction of the requests that callers in
// From sent to that service in the previous window.
type ShiftCap struct {
	From            string  `json:"from"`
	To              string  `json:"to"`
	Service         string  `json:"service,omitempty"` // empty: applies to each service separately
	MaxFraction     float64 `json:"max_fraction"`      // 0 to 1
	MaxStepFraction float64 `json:"max_step_fraction"` // maximum change of the fraction per window
	WindowMS        Millis  `json:"window_ms"`
}

// ClientBlock maps an address block to the location of its callers.
type ClientBlock struct {
	CIDR   string `json:"cidr"`
	Region string `json:"region"`
	Zone   string `json:"zone,omitempty"` // nearest availability zone
}

// Lookup configures the answers to look-ups.
type Lookup struct {
	Answers  int    `json:"answers"`    // maximum number of VMs in an answer
	MaxAgeMS Millis `json:"max_age_ms"` // how long callers may cache an answer
}

// Drain configures planned shutdowns of VMs and draining of targets.
type Drain struct {
	GraceMS       Millis `json:"grace_ms"`        // maximum time a VM waits for requests in flight
	TargetQuietMS Millis `json:"target_quiet_ms"` // time after which a leaving target must receive no new requests
}

// Limits restricts requests, connections and the storage of recorded answers.
type Limits struct {
	MaxHeaderBytes        int    `json:"max_header_bytes"`
	MaxBodyBytes          int64  `json:"max_body_bytes"`
	HeaderTimeoutMS       Millis `json:"header_timeout_ms"`
	IdleTimeoutMS         Millis `json:"idle_timeout_ms"`         // maximum pause between bytes of a body
	KeepAliveMS           Millis `json:"keep_alive_ms,omitempty"` // maximum idle time between requests on a connection; 0: the daemon's default
	MaxConnectionsPerAddr int    `json:"max_connections_per_address"`
	ReplayBodyBytes       int64  `json:"replay_body_bytes"`      // maximum size of a request body that is buffered for retries
	RecordedAnswerBytes   int64  `json:"recorded_answer_bytes"`  // maximum size of an answer recorded under an idempotency key
	RecordedAnswersBytes  int64  `json:"recorded_answers_bytes"` // maximum total size of the answers recorded by a VM
	RecordedAnswersMS     Millis `json:"recorded_answers_ms"`    // how long a recorded answer is kept
}

// Retry configures retries, hedging and the retry budget of each VM.
type Retry struct {
	MaxAttempts    int     `json:"max_attempts"`           // maximum attempts per request, including the first
	BudgetFraction float64 `json:"budget_fraction"`        // retries and hedges as a fraction of first attempts
	BudgetBurst    float64 `json:"budget_burst,omitempty"` // maximum accumulated retries per service and target
	BackoffMS      Millis  `json:"backoff_ms"`             // initial backoff; doubles with each retry, with jitter
	HedgeAfterMS   Millis  `json:"hedge_after_ms"`         // delay before a hedged attempt; 0: no hedging
	Patient        bool    `json:"patient,omitempty"`      // wait for an unresponsive target until the deadline, because it may be slow rather than down
}

// Steering selects and configures the target selection policy.
type Steering struct {
	Policy         string  `json:"policy"`          // name of the target selection policy
	HeadroomWeight float64 `json:"headroom_weight"` // from 0 (favor tail latency) to 1 (favor headroom)
	HeadroomKeep   float64 `json:"headroom_keep"`   // fraction of a region's slots that is never granted to other regions
	StaleMS        Millis  `json:"stale_ms"`        // age beyond which a measurement is stale and target selection acts conservatively
	ProbeMS        Millis  `json:"probe_ms"`        // interval between probes of a target
	ColdMS         Millis  `json:"cold_ms"`         // slow-start duration of a cold target
}
