// Package emulation plays loads on the placement of a whole fleet in simulated
// time: VMs with pools of their own, targets with slots, queues and remembered
// objects, callers that come in waves, and the ways between regions. It answers
// in a second which policy serves callers better, without a network.
package emulation

import (
	"time"

	"masticturn/internal/placement"
)

// Load is one service of a fleet with what its callers ask of it.
type Load struct {
	Name    string
	Regions []Region
	// OneWay is the time of one way between two regions, WithinRegion of one
	// inside a region.
	OneWay       time.Duration
	WithinRegion time.Duration

	Slots      int // of a target
	QueueLimit int // requests that a target lets wait; it sheds what comes beyond
	Remembers  int // objects that a target remembers
	Objects    int // that the callers of each region ask for

	Work      time.Duration // mean work of a run at a target that does not know the object
	Spread    float64       // standard deviation of the work, as a part of its mean
	KnownPart float64       // part of the work that is left when the target knows the object

	Objective time.Duration // within which an answer earns its whole worth
	Deadline  time.Duration // until which callers wait
	LateWorth float64       // what a late answer earns of its worth

	Rate   float64       // requests a second, from all regions together
	Swing  float64       // of each region's rate around its mean
	Period time.Duration // of that wave; regions are a third of it apart
	Events []Event
	// Crashing are requests that crash targets, which count for no worth.
	Crashing []Crashing
	Length   time.Duration

	Alone   bool // VMs tell each other nothing
	Connect bool // a request waits for its connection to be opened where none is idle
}

// Region is the VMs and targets of one region.
type Region struct {
	Name    string
	VMs     int
	Targets int
}

// Event is something that happens to the fleet at a moment.
type Event struct {
	At     time.Duration
	Kind   EventKind
	Factor float64       // of BurstStarts: of the usual load
	Region string        // of the targets
	Count  int           // of targets: how many
	Length time.Duration // of TargetsWantNothing: for which they want nothing, as they say
}

// Crashing is one request that crashes the targets that begin to run it.
type Crashing struct {
	At     time.Duration // it comes first
	Every  time.Duration // it comes again, at any VM
	Length time.Duration // for which it comes
}

// EventKind tells what happens.
type EventKind int

// The kinds of events.
const (
	BurstStarts         EventKind = iota // the load is multiplied by Factor
	BurstEnds                            // the load is as before
	TargetsLeave                         // Count targets of Region end their requests and take no more
	FleetRestarts                        // all VMs forget what they know, all targets their objects
	TargetsSayTheyLeave                  // Count targets of Region say so in their answers
	TargetsWantNothing                   // ... turn all away, with the time for which they want nothing
	TargetsWantRequests                  // ... take requests again
)

// Result is what callers got.
type Result struct {
	Load     string           `json:"load"`
	Policy   placement.Policy `json:"policy"`
	Asked    int              `json:"asked"`
	InTime   int              `json:"in_time"`  // answered within the objective
	Late     int              `json:"late"`     // answered later
	Refused  int              `json:"refused"`  // the last try was told that it had not run
	Failed   int              `json:"failed"`   // the deadline passed
	Arrivals int              `json:"arrivals"` // at targets
	Shed     int              `json:"shed"`     // arrivals that a target refused for want of room
	Fresh    int              `json:"fresh"`    // runs at a target that did not know the object

	Worth       float64       `json:"worth"`        // earned, as a part of what was asked
	WorstWindow float64       `json:"worst_window"` // the same for the worst two seconds
	WorstRegion float64       `json:"worst_region"` // the same for callers of the worst-served region
	Median      time.Duration `json:"median_ns"`
	P99         time.Duration `json:"p99_ns"`
	// Busiest is the most requests that a target got, against the mean of the
	// targets of its region.
	Busiest float64 `json:"busiest"`
	// MostShifted is the largest part of a region's requests that changed the
	// region in which they run from one span of two seconds to the next.
	MostShifted float64 `json:"most_shifted"`
	Lost        int     `json:"lost"`       // targets that requests have crashed
	AfterWord   int     `json:"after_word"` // arrivals at targets that had told the VM that they leave
	WhileAway   int     `json:"while_away"` // arrivals at targets that had told the VM that they want none
	// EndShift is the same for the last region's requests and the span that
	// begins when callers stop, less three standard deviations of a share counted
	// over as few requests as begin to run then.
	EndShift float64 `json:"end_shift"`
}

// FreshPart is the part of runs that met a target which did not know the object.
func (r *Result) FreshPart() float64 { return ratio(r.Fresh, r.Arrivals-r.Shed) }

// ShedPart is the part of arrivals that a target refused for want of room.
func (r *Result) ShedPart() float64 { return ratio(r.Shed, r.Arrivals) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
