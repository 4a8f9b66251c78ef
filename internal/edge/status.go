package edge

import "time"

// Status is what one daemon knows of the fleet.
type Status struct {
	VM         string          `json:"vm"`
	Zone       string          `json:"zone"`
	Region     string          `json:"region"`
	Generation uint64          `json:"generation"` // in force here; 0: none
	Ready      bool            `json:"ready"`
	NotReady   string          `json:"not_ready,omitempty"` // why not
	Draining   bool            `json:"draining"`
	Members    []StatusMember  `json:"members"`
	Regions    []StatusRegion  `json:"regions"`
	Leaving    []string        `json:"leaving_targets"`
	Down       []string        `json:"down_targets"`
	Store      StatusStore     `json:"store"`
	Ages       StatusAges      `json:"ages"`
	InFlight   int             `json:"requests_in_flight"`
	At         time.Time       `json:"at"`
	Services   []StatusService `json:"services"`
}

// StatusMember is one daemon as the asked one believes it.
type StatusMember struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"`
	Generation  uint64 `json:"generation"`
	Incarnation uint64 `json:"incarnation"`
}

// StatusRegion is the load of a region's targets as measured.
type StatusRegion struct {
	Region   string  `json:"region"`
	Slots    int     `json:"slots"`     // of targets that take work
	InFlight int     `json:"in_flight"` // as last reported
	Headroom float64 `json:"headroom"`  // free fraction of the slots
	Targets  int     `json:"targets"`
	Healthy  int     `json:"healthy"`
}

// StatusService is the load of a service's targets as measured.
type StatusService struct {
	Service  string `json:"service"`
	Targets  int    `json:"targets"`
	Healthy  int    `json:"healthy"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
}

// StatusStore is the health of the platform's store as this daemon sees it.
type StatusStore struct {
	LastSuccess time.Time `json:"last_success"`
	LastFailure time.Time `json:"last_failure"`
	LastError   string    `json:"last_error,omitempty"`
}

// StatusAges tells how old what is believed is, in milliseconds.
type StatusAges struct {
	OldestTargetMS int64  `json:"oldest_target_ms"` // of the target measured longest ago
	OldestTarget   string `json:"oldest_target,omitempty"`
	Unmeasured     int    `json:"unmeasured_targets"`
}

// DrainAnswer is the answer to a request to drain.
type DrainAnswer struct {
	VM       string `json:"vm"`
	Draining bool   `json:"draining"`
}
