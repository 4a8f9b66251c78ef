// Package emulation plays loads on the placement of a whole fleet in simulated time:
// VMs with pools of their own, targets with slots, queues and caches, callers with
// diurnal load, and the network delays between regions. It compares policies within
// seconds, without a network.
package emulation

import (
	"time"

	"masticturn/internal/placement"
)

// Load is one service of a fleet with its callers' demand.
type Load struct {
	Name    string
	Regions []Region
	// OneWay is the delay between two regions, WithinRegion that inside a region.
	OneWay       time.Duration
	WithinRegion time.Duration

	Slots      int // per target
	QueueLimit int // queued requests at a target, beyond which it sheds
	Remembers  int // objects that a target caches
	Objects    int // that each region's callers request

	Work      time.Duration // mean run time of an object that is not cached
	Spread    float64       // standard deviation of the run time, as a share of its mean
	KnownPart float64       // share of the run time if the object is cached

	Objective time.Duration // within which an answer has its full worth
	Deadline  time.Duration // callers wait so long
	LateWorth float64       // worth of a late answer

	Rate     float64       // requests/s of all regions
	Swing    float64       // amplitude of each region's rate, as a share of its mean
	Period   time.Duration // of that wave; regions are a third of it apart
	Events   []Event
	Crashing []Crashing // requests that crash targets; they have no worth
	Length   time.Duration

	Alone   bool // VMs send no load reports
	Connect bool // connections are opened on demand
}

// Region is the size of one region.
type Region struct {
	Name    string
	VMs     int
	Targets int
}

// Event is a change of the load or the fleet.
type Event struct {
	At     time.Duration
	Kind   EventKind
	Factor float64       // of BurstStarts: multiple of the usual load
	Region string        // of the targets
	Count  int           // number of targets
	Length time.Duration // of TargetsBackOff: their Retry-After
}

// Crashing is a request that crashes every target that runs it.
type Crashing struct {
	At     time.Duration // first arrival
	Every  time.Duration // interval of arrivals, each at any VM
	Length time.Duration // from first to last
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	BurstStarts    EventKind = iota // the load is multiplied by Factor
	BurstEnds                       // the load is as usual again
	TargetsLeave                    // Count targets of Region finish their requests and take no more
	FleetRestarts                   // all VMs and targets lose their state
	TargetsDrain                    // Count targets of Region announce in answers that they leave
	TargetsBackOff                  // ... refuse all requests with Retry-After
	TargetsResume                   // ... accept requests again
)

// Result is what callers got.
type Result struct {
	Load     string           `json:"load"`
	Policy   placement.Policy `json:"policy"`
	Asked    int              `json:"asked"`
	InTime   int              `json:"in_time"`  // answered within the objective
	Late     int              `json:"late"`     // answered later
	Refused  int              `json:"refused"`  // the last try was not run
	Failed   int              `json:"failed"`   // the deadline passed
	Arrivals int              `json:"arrivals"` // at targets
	Shed     int              `json:"shed"`     // arrivals refused for lack of room
	Fresh    int              `json:"fresh"`    // runs of objects that were not cached

	Worth       float64       `json:"worth"`        // earned share
	WorstWindow float64       `json:"worst_window"` // the same for the worst two seconds
	WorstRegion float64       `json:"worst_region"` // the same for callers of the worst-served region
	Median      time.Duration `json:"median_ns"`
	P99         time.Duration `json:"p99_ns"`
	// Busiest is the largest number of requests at a target, relative to the mean of its
	// region.
	Busiest float64 `json:"busiest"`
	// MostShifted is the largest share of a region's requests that changed the region in
	// which they run between consecutive windows.
	MostShifted   float64 `json:"most_shifted"`
	Lost          int     `json:"lost"`           // crashes of targets
	AfterLeaving  int     `json:"after_leaving"`  // arrivals after a target's announcement to leave
	DuringBackoff int     `json:"during_backoff"` // arrivals during a target's backoff
	// EndShift is MostShifted for the window that begins when callers stop, less what
	// so few requests can show.
	EndShift float64 `json:"end_shift"`
}

// FreshPart is the share of runs whose object was not cached.
func (r *Result) FreshPart() float64 { return ratio(r.Fresh, r.Arrivals-r.Shed) }

// ShedPart is the share of arrivals that were shed.
func (r *Result) ShedPart() float64 { return ratio(r.Shed, r.Arrivals) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
