package edge

import "time"

// Status is a daemon's view of the fleet.
type Status struct {
	VM         string          `json:"vm"`
	Zone       string          `json:"zone"`
	Region     string          `json:"region"`
	Generation uint64          `json:"generation"` // in force at this daemon; 0 if none
	Ready      bool            `json:"ready"`
	NotReady   string          `json:"not_ready,omitempty"` // reason if Ready is false
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

// StatusMember is a member of the fleet, as known to the queried daemon.
type StatusMember struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"`
	Generation  uint64 `json:"generation"`
	Incarnation uint64 `json:"incarnation"`
}

// StatusRegion is the measured load of the targets in a region.
type StatusRegion struct {
	Region   string  `json:"region"`
	Slots    int     `json:"slots"`     // of targets that accept requests
	InFlight int     `json:"in_flight"` // as last reported
	Headroom float64 `json:"headroom"`  // free fraction of the slots
	Targets  int     `json:"targets"`
	Healthy  int     `json:"healthy"`
}

// StatusService is the measured load of the targets of a service.
type StatusService struct {
	Service  string `json:"service"`
	Targets  int    `json:"targets"`
	Healthy  int    `json:"healthy"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
}

// StatusStore is the health of the platform's store, as observed by this daemon.
type StatusStore struct {
	LastSuccess time.Time `json:"last_success"`
	LastFailure time.Time `json:"last_failure"`
	LastError   string    `json:"last_error,omitempty"`
}

// StatusAges reports the age of the measurements on which the status is based.
type StatusAges struct {
	OldestTargetMS int64  `json:"oldest_target_ms"` // age of the oldest measurement of a target, in milliseconds
	OldestTarget   string `json:"oldest_target,omitempty"`
	Unmeasured     int    `json:"unmeasured_targets"`
}

// DrainResponse is the response to a drain request.
type DrainResponse struct {
	VM       string `json:"vm"`
	Draining bool   `json:"draining"`
}
