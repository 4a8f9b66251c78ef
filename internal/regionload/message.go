package regionload

import (
	"math"

	"masticturn/internal/overload"
)

// Bounds of what is taken from a message.
const (
	// milliSlots is the unit of slots in messages.
	milliSlots = 1000
	// maxSlots is the largest number of slots that a region may report to have or need.
	maxSlots = 1e6
	// maxServices and maxPriorities bound the memory that a message can take. Those beyond are ignored.
	// Documents have priorities 0 to 100.
	maxServices   = 256
	maxPriorities = 101
)

// message is the load of the sender's region. Messages are encoded as arrays whose length must not
// change, so an extension needs a new kind.
type message struct {
	Region   string
	SentMS   uint64 // on the sender's boot clock
	Services map[string]wireLoad
}

// wireLoad is an overload.RegionLoad in milli-slots.
type wireLoad struct {
	Capacity uint32
	Busy     uint32
	Demand   map[int]uint32
}

func toWire(l overload.RegionLoad) wireLoad {
	w := wireLoad{Capacity: toMilliSlots(l.Capacity), Busy: toMilliSlots(l.Busy), Demand: make(map[int]uint32, len(l.Demand))}
	for priority, slots := range l.Demand {
		w.Demand[priority] = toMilliSlots(slots)
	}
	return w
}

// toMilliSlots converts a number of slots, limited to the range from 0 to maxSlots. NaN becomes 0.
func toMilliSlots(slots float64) uint32 {
	if math.IsNaN(slots) {
		return 0
	}
	return uint32(math.Round(min(max(slots, 0), maxSlots) * milliSlots))
}

func toSlots(milli uint32) float64 { return min(float64(milli)/milliSlots, maxSlots) }

// load returns the RegionLoad, with values limited to the ranges above.
func (w wireLoad) load() overload.RegionLoad {
	l := overload.RegionLoad{Capacity: toSlots(w.Capacity), Busy: toSlots(w.Busy), Demand: make(map[int]float64, len(w.Demand))}
	for priority, milli := range w.Demand {
		if priority >= 0 && priority < maxPriorities {
			l.Demand[priority] = toSlots(milli)
		}
	}
	return l
}
