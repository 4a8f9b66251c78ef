// Package overload decides which requests a service admits while it is short of room: by
// priority, and by customer within a priority. It does no I/O; callers pass in the time.
package overload

// Demand is what callers ask of one service, in milli-slots: arrivals per second x mean run time
// x 1000. Demands of several VMs are added.
type Demand struct {
	Priorities map[int]uint32            `msgpack:"p,omitempty"`
	Customers  map[int]map[uint32]uint32 `msgpack:"c,omitempty"` // by priority and short id of the customer
	Waiting    uint32                    `msgpack:"w,omitempty"` // requests queued at VMs
}

// Limits is the decision for one service in one region. It is valid until its TTL has passed.
type Limits struct {
	Admit     map[int]float64            `msgpack:"a,omitempty"` // fraction of a priority's requests to admit; absent: 1
	Customers map[int]map[uint32]float64 `msgpack:"c,omitempty"` // fraction for customers above their fair share; absent: 1
}

// RegionLoad is one region's room and demand for a service, in slots.
type RegionLoad struct {
	Capacity float64         `msgpack:"c"` // slots of usable targets, corrected for their speed
	Demand   map[int]float64 `msgpack:"d"` // by priority
	Busy     float64         `msgpack:"b"` // slots in use
}

// TotalDemand returns the demand of all priorities, in slots.
func (l *RegionLoad) TotalDemand() float64 { return sum(l.Demand) }

// RegionPlan is what a region may do with a service's requests.
type RegionPlan struct {
	Admit map[int]float64    // fraction of the requests of a priority to admit, 0 to 1
	Split map[string]float64 // fraction of the admitted work to run in each region
}
