// Package emulation is a discrete-event simulation of request placement in a whole fleet. It
// runs the pools of all VMs against simulated targets with slots, queues and caches, callers
// with diurnal load, and network delays between regions. Policies can be compared within
// seconds and without a network.
package emulation

import (
	"time"

	"masticturn/internal/placement"
)

// Workload describes a service, the fleet that serves it and its callers' requests.
type Workload struct {
	Name    string
	Regions []Region
	// OneWay is the one-way network delay between regions, WithinRegion that within a region.
	OneWay       time.Duration
	WithinRegion time.Duration

	Slots      int // per target
	QueueLimit int // per target; further requests are shed
	CacheSize  int // number of objects that a target caches
	Objects    int // number of objects that each region's callers request; 0: requests without an object

	ColdRunTime      time.Duration // mean run time of an object that is not cached
	RunTimeVariation float64       // standard deviation of the run time divided by its mean
	CachedFactor     float64       // run time of a cached object divided by that of an uncached one

	Objective time.Duration // answers within it have full worth
	Deadline  time.Duration // how long callers wait for an answer
	LateWorth float64       // worth of an answer after Objective

	Rate          float64       // mean requests/s, all regions together
	Amplitude     float64       // of the sine wave of each region's rate, divided by the mean rate
	Period        time.Duration // of the wave; the regions' phases are evenly spaced
	Events        []Event
	CrashRequests []CrashRequest // they have no worth
	Length        time.Duration

	Neighbors      Neighbors // other work on the targets' machines
	HideWorkFactor bool      // targets do not report the work factor that results from Neighbors
	SlowHalf       SlowHalf

	// Callers is the share of the callers by region; nil: each region has as many.
	Callers map[string]float64
	// RegionLoads makes the roots of regions exchange their loads, by which they split their requests.
	RegionLoads bool
	// LoadLoss is the share of these messages that are lost, outside of the time from CutFrom to CutUntil, in
	// which all are.
	LoadLoss          float64
	CutFrom, CutUntil time.Duration

	NoReports        bool // VMs send no load reports
	ModelConnections bool // opening a connection takes a round trip; false: takes no time
}

// Neighbors describes other work on the machines of targets, which slows a part of the targets down. Which
// ones it slows changes all the time.
type Neighbors struct {
	Share    float64       // of the targets that are slowed down at any time
	Factor   float64       // of the run times there
	Interval time.Duration // after which each target may be slowed down or not anew
}

// SlowHalf makes every second target persistently slower than the others. They do not report it.
type SlowHalf struct {
	Factor float64       // of the run times there; 0: all targets are alike
	SwapAt time.Duration // time at which the other half is the slow one instead; 0: never
}

// callers returns a region's share of the callers.
func (w *Workload) callers(region string) float64 {
	if w.Callers == nil {
		return 1 / float64(len(w.Regions))
	}
	return w.Callers[region]
}

// Region is a region and the size of its part of the fleet.
type Region struct {
	Name    string
	VMs     int
	Targets int
}

// Event changes the request rate or the fleet.
type Event struct {
	At     time.Duration
	Kind   EventKind
	Factor float64       // BurstStarts: factor applied to Rate
	Region string        // of the affected targets
	Count  int           // number of affected targets
	Length time.Duration // TargetsBackOff: Retry-After of the refusals
}

// CrashRequest is a request that crashes every target that runs it. It is sent repeatedly.
type CrashRequest struct {
	At     time.Duration // first arrival
	Every  time.Duration // interval of arrivals, each at a random VM
	Length time.Duration // of the period in which it arrives
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	BurstStarts    EventKind = iota // multiplies Rate by Factor
	BurstEnds                       // resets the rate
	TargetsLeave                    // removes targets from the document; they finish their requests
	FleetRestarts                   // aborts all requests; VMs and targets lose their state
	TargetsDrain                    // targets announce in their answers that they are leaving
	TargetsBackOff                  // targets refuse all requests with Retry-After
	TargetsResume                   // targets accept requests again
)

// Result summarizes one run of a workload.
type Result struct {
	Workload string           `json:"load"`
	Policy   placement.Policy `json:"policy"`
	Requests int              `json:"asked"`
	InTime   int              `json:"in_time"`  // answered within the objective
	Late     int              `json:"late"`     // answered after the objective
	Refused  int              `json:"refused"`  // refused by the VM or shed, with no retry left
	Failed   int              `json:"failed"`   // deadline passed, fleet restarted, or aborted by a crash
	Arrivals int              `json:"arrivals"` // of requests at targets, including retries
	Shed     int              `json:"shed"`     // arrivals refused because the queue was full
	ColdRuns int              `json:"fresh"`    // runs of objects that were not cached

	Worth       float64       `json:"worth"`        // mean worth of a request
	WorstWindow float64       `json:"worst_window"` // lowest mean worth of a two-second window
	WorstRegion float64       `json:"worst_region"` // lowest mean worth of the callers of one region
	Median      time.Duration `json:"median_ns"`
	P99         time.Duration `json:"p99_ns"`
	// BusiestTarget is the largest number of arrivals at a target, divided by the mean of its
	// region.
	BusiestTarget float64 `json:"busiest"`
	// MaxShift is the largest share of a region's requests that moved to other regions between
	// consecutive windows.
	MaxShift      float64 `json:"most_shifted"`
	Crashes       int     `json:"lost"`           // crashes of targets
	AfterLeaving  int     `json:"after_leaving"`  // arrivals sent after the target announced that it is leaving
	DuringBackoff int     `json:"during_backoff"` // arrivals sent during the target's backoff
	// FinalShift is MaxShift for the window that begins when callers stop, reduced by the
	// sampling error of its few requests.
	FinalShift float64 `json:"end_shift"`
}

// ColdShare returns the share of runs whose object was not cached.
func (r *Result) ColdShare() float64 { return ratio(r.ColdRuns, r.Arrivals-r.Shed) }

// ShedShare returns the share of arrivals that were shed.
func (r *Result) ShedShare() float64 { return ratio(r.Shed, r.Arrivals) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
