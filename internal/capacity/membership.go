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

	fleetStep     = 20 * time.Millisecond // of the simulated time
	fleetTick     = 100 * time.Millisecond
	fleetSettles  = 5 * time.Second
	fleetMeasured = 15 * time.Second
	frameOverhead = 14 // bytes that the peer network adds to a payload
)

// membershipSlopes measures the role membership on a steady fleet in which one
// document is adopted by all. The machines are the daemons' own; time and
// network are simulated, and the messages are encoded as on the wire.
func membershipSlopes() []Slope {
	sizes := []int{100, 200, 400, 700}
	costs := make(map[int]fleetCost)
	for _, n := range sizes {
		costs[n] = measureFleet(n)
	}
	base := Slope{Role: roleMembership, Over: "daemons", Mechanism: mechanismMembership, DesignAt: DesignDaemons}
	return []Slope{
		slopeOf(of(base, "frames in and out, bytes per second and daemon, mean"), sizes, func(n int) float64 { return costs[n].meanBytes }),
		slopeOf(of(base, "frames in and out, bytes per second, busiest daemon"), sizes, func(n int) float64 { return costs[n].mostBytes }),
		slopeOf(of(base, "processor time with the codec, ns per second and daemon"), sizes, func(n int) float64 { return costs[n].nanos }),
	}
}

// fleetCost is what membership costs a daemon of a fleet, per second.
type fleetCost struct {
	meanBytes, mostBytes, nanos float64
}

// fleet runs the machines of a fleet in simulated time.
type fleet struct {
	now   time.Time
	nodes []*membership.StateMachine
	index map[string]int
	mail  []letter
	bytes []float64 // in and out, by daemon; counted while counting
	count bool
}

// letter is a message that arrives at the next step.
type letter struct {
	from, to int
	hb       *membership.Heartbeat
}

func measureFleet(n int) fleetCost {
	f := newFleet(n)
	f.run(fleetSettles)
	f.count = true
	for i, m := range f.nodes {
		f.do(i, m.SetGeneration(f.now, 2, 1))
	}
	start := time.Now()
	f.run(fleetMeasured)
	elapsed := float64(time.Since(start).Nanoseconds())
	seconds := fleetMeasured.Seconds()
	cost := fleetCost{nanos: elapsed / seconds / float64(n)}
	for _, b := range f.bytes {
		cost.meanBytes += b / seconds / float64(n)
		cost.mostBytes = max(cost.mostBytes, b/seconds)
	}
	return cost
}

// newFleet makes n daemons over the design's regions that know each other.
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
		f.nodes = append(f.nodes, membership.NewStateMachine(r, membership.Options{}.WithDefaults(), rand.New(rand.NewPCG(uint64(i), 1)), f.now))
	}
	for i, m := range f.nodes {
		f.do(i, m.HandleJoinResponse(f.now, answer))
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		mail := f.mail
		f.mail = nil
		for _, l := range mail {
			f.do(l.to, f.nodes[l.to].Receive(f.now, memberName(l.from), l.hb))
		}
		if f.now.UnixNano()%int64(fleetTick) == 0 {
			for i, m := range f.nodes {
				f.do(i, m.Tick(f.now))
			}
		}
	}
}

// do carries out the messages among a machine's actions.
func (f *fleet) do(from int, actions []membership.Action) {
	for _, a := range actions {
		if send, ok := a.(membership.SendHeartbeat); ok {
			to := f.index[send.To]
			f.charge(from, to, send.Heartbeat)
			f.mail = append(f.mail, letter{from, to, send.Heartbeat})
		}
	}
	f.nodes[from].View() // as the service does
}

// charge counts a message at both ends, encoded and decoded as on the wire.
func (f *fleet) charge(from, to int, hb *membership.Heartbeat) {
	if !f.count {
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
