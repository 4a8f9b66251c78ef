package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/peer"
)

const (
	roleMembership      = "membership"
	mechanismMembership = "ring of neighbors in the region, two relays per region, digests and notes on heartbeats"

	fleetStep         = 20 * time.Millisecond // in simulated time
	fleetTick         = 100 * time.Millisecond
	fleetWarmUp       = 5 * time.Second
	fleetMeasuredTime = 15 * time.Second
	frameOverhead     = 14 // bytes that the peer protocol adds to each payload
)

// membershipSlopes measures the role membership on a stable fleet in which all
// daemons adopt one document. It runs the daemons' state machines in simulated
// time on a simulated network, with messages encoded as on the wire.
func membershipSlopes() []Slope {
	sizes := []int{100, 200, 400, 700}
	costs := make(map[int]fleetCost)
	for _, n := range sizes {
		costs[n] = measureFleet(n)
	}
	base := Slope{Role: roleMembership, SizeOf: "daemons", Mechanism: mechanismMembership, DesignSize: DesignDaemons}
	return []Slope{
		measureSlope(withQuantity(base, "frames in and out, bytes per second and daemon, mean"), sizes, func(n int) float64 { return costs[n].meanBytes }),
		measureSlope(withQuantity(base, "frames in and out, bytes per second, busiest daemon"), sizes, func(n int) float64 { return costs[n].mostBytes }),
		measureSlope(withQuantity(base, "processor time with the codec, ns per second and daemon"), sizes, func(n int) float64 { return costs[n].nanos }),
	}
}

// fleetCost is the cost of membership for one daemon, per second of simulated time.
type fleetCost struct {
	meanBytes, mostBytes, nanos float64
}

// fleet runs the membership state machines of a fleet in simulated time.
type fleet struct {
	now           time.Time
	stateMachines []*membership.StateMachine
	index         map[string]int
	inFlight      []delivery
	bytes         []float64 // sent and received, by daemon; counted while measuring is set
	measuring     bool
}

// delivery is a message that arrives in the next step.
type delivery struct {
	from, to int
	hb       *membership.Heartbeat
}

func measureFleet(n int) fleetCost {
	f := newFleet(n)
	f.run(fleetWarmUp)
	f.measuring = true
	for i, m := range f.stateMachines {
		f.apply(i, m.SetGeneration(f.now, 2, 1))
	}
	start := time.Now()
	f.run(fleetMeasuredTime)
	elapsed := float64(time.Since(start).Nanoseconds())
	seconds := fleetMeasuredTime.Seconds()
	cost := fleetCost{nanos: elapsed / seconds / float64(n)}
	for _, b := range f.bytes {
		cost.meanBytes += b / seconds / float64(n)
		cost.mostBytes = max(cost.mostBytes, b/seconds)
	}
	return cost
}

// newFleet returns n daemons that know each other, spread over the design's regions.
func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0), index: make(map[string]int), bytes: make([]float64, n)}
	answer := &membership.JoinResponse{Name: "table"}
	for i := range n {
		zone := i % DesignZones
		answer.Records = append(answer.Records, membership.Record{
			Name: memberName(i), Zone: zoneName(zone), Region: regionName(zone % DesignRegions),
			PeerAddress: memberName(i) + ":7000", CallerAddress: memberName(i) + ":80",
			Incarnation: membership.NewIncarnation(f.now),
		})
	}
	for i, r := range answer.Records {
		f.index[r.Name] = i
		f.stateMachines = append(f.stateMachines, membership.NewStateMachine(r, membership.Options{}.WithDefaults(), rand.New(rand.NewPCG(uint64(i), 1)), f.now))
	}
	for i, m := range f.stateMachines {
		f.apply(i, m.HandleJoinResponse(f.now, answer))
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		deliveries := f.inFlight
		f.inFlight = nil
		for _, l := range deliveries {
			f.apply(l.to, f.stateMachines[l.to].Receive(f.now, memberName(l.from), l.hb))
		}
		if f.now.UnixNano()%int64(fleetTick) == 0 {
			for i, m := range f.stateMachines {
				f.apply(i, m.Tick(f.now))
			}
		}
	}
}

// apply sends the heartbeats among the actions of a state machine and ignores other actions.
func (f *fleet) apply(from int, actions []membership.Action) {
	for _, a := range actions {
		if send, ok := a.(membership.SendHeartbeat); ok {
			to := f.index[send.To]
			f.countBytes(from, to, send.Heartbeat)
			f.inFlight = append(f.inFlight, delivery{from, to, send.Heartbeat})
		}
	}
	f.stateMachines[from].View() // as the membership service does, so that its cost is included
}

// countBytes adds the size of a message to its sender and receiver. It encodes and
// decodes the message, so that the measured time includes the codec.
func (f *fleet) countBytes(from, to int, hb *membership.Heartbeat) {
	if !f.measuring {
		return
	}
	raw, err := peer.Encode(hb)
	if err == nil {
		err = peer.Decode(raw, &membership.Heartbeat{})
	}
	if err != nil {
		panic(fmt.Sprintf("encode a heartbeat: %v", err)) // a plain struct always encodes
	}
	size := float64(len(raw) + frameOverhead)
	f.bytes[from] += size
	f.bytes[to] += size
}
