package overload

import (
	"math"
	"time"
)

const (
	// milliSlots is the number of milli-slots in a slot, the unit in which demands are sent.
	milliSlots = 1000
	// maxDemand bounds a demand, in milli-slots.
	maxDemand = maxSlots * milliSlots
	// demandWindow is the time constant over which arrivals are averaged. It is short, as a burst of
	// a high priority must be known to the root within a few reports.
	demandWindow = 400 * time.Millisecond
	// minDemand is the smallest demand that is reported, in milli-slots.
	minDemand = 1
)

// Add adds another VM's demand. Sums are limited to a million slots.
func (d *Demand) Add(other *Demand) {
	if other == nil {
		return
	}
	for priority, slots := range other.Priorities {
		d.addPriority(priority, slots)
	}
	for priority, customers := range other.Customers {
		for customer, slots := range customers {
			d.addCustomer(priority, customer, slots)
		}
	}
	d.Waiting = addClamped(d.Waiting, other.Waiting)
}

func (d *Demand) addPriority(priority int, slots uint32) {
	if d.Priorities == nil {
		d.Priorities = make(map[int]uint32)
	}
	d.Priorities[priority] = addClamped(d.Priorities[priority], slots)
}

func (d *Demand) addCustomer(priority int, customer uint32, slots uint32) {
	if d.Customers == nil {
		d.Customers = make(map[int]map[uint32]uint32)
	}
	if d.Customers[priority] == nil {
		d.Customers[priority] = make(map[uint32]uint32)
	}
	d.Customers[priority][customer] = addClamped(d.Customers[priority][customer], slots)
}

// addClamped adds two demands, each limited to maxDemand, up to maxDemand.
func addClamped(a, b uint32) uint32 {
	return min(min(a, maxDemand)+min(b, maxDemand), maxDemand)
}

// Empty reports whether nothing is asked and no request waits.
func (d *Demand) Empty() bool {
	return d == nil || len(d.Priorities) == 0 && len(d.Customers) == 0 && d.Waiting == 0
}

// Approximate encoded sizes, in bytes.
const (
	headerBytes   = 12
	priorityBytes = 8
	customerBytes = 10
	fractionBytes = 10 // of a priority
	shareBytes    = 14 // of a customer
)

// Size returns the approximate encoded size, in bytes.
func (d *Demand) Size() int {
	if d == nil {
		return 0
	}
	n := headerBytes + priorityBytes*len(d.Priorities)
	for _, customers := range d.Customers {
		n += priorityBytes + customerBytes*len(customers)
	}
	return n
}

// Size returns the approximate encoded size, in bytes.
func (l *Limits) Size() int {
	if l == nil {
		return 0
	}
	n := headerBytes + fractionBytes*len(l.Admit)
	for _, customers := range l.Customers {
		n += priorityBytes + shareBytes*len(customers)
	}
	return n
}

// rate is an average of the slots that arrivals ask for, with exponentially decaying weights. The
// averages of several VMs add up to that of all their arrivals.
type rate struct {
	slots float64
	at    time.Time
}

// observe records an arrival of a run time.
func (r *rate) observe(runTime time.Duration, now time.Time) {
	r.slots = min(r.slotsAt(now)+max(runTime.Seconds(), 0)/demandWindow.Seconds(), maxSlots)
	r.at = now
}

// slotsAt returns the average at a time, in slots.
func (r *rate) slotsAt(now time.Time) float64 {
	return r.slots * decay(now.Sub(r.at), demandWindow)
}

// milliSlotsAt returns the average at a time, in milli-slots.
func (r *rate) milliSlotsAt(now time.Time) uint32 {
	return uint32(math.Round(milliSlots * r.slotsAt(now)))
}

// decay returns what is left of a value after a time with a time constant. Times that run backward
// count as 0.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(constant))
}
