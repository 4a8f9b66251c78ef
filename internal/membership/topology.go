package membership

import (
	"slices"
	"strings"

	"masticturn/internal/rendezvous"
)

// relaysPerRegion is the number of relays of a region. The relays of the same rank form a full mesh
// across all regions. Each rank is an independent path between the regions.
const relaysPerRegion = 2

// ringOffsetFactor is the ratio between successive ring distances of a member's neighbors. Distances
// that grow exponentially let changes reach all members in few hops.
const ringOffsetFactor = 3

// topology holds the heartbeat partners of this daemon.
type topology struct {
	ring      []*entry // members of the region, sorted by zone and name
	neighbors []string // partners in the region, sorted
	remote    []string // relays of other regions, if this daemon is a relay; sorted
	partners  []string // neighbors and remote
	relay     bool     // this daemon is a relay
}

// currentTopology returns the topology for the current table.
func (m *StateMachine) currentTopology() *topology {
	if !m.topologyInvalid {
		return &m.topology
	}
	m.topologyInvalid, m.topologyStale = false, false
	byRegion := m.membersByRegion()
	ring := byRegion[m.self.Region]
	t := topology{ring: ring, neighbors: neighborsOf(m.self.Name, ring, m.opts.MeshSize)}
	for rank, name := range relaysOf(m.self.Region, ring) {
		if name != m.self.Name {
			continue
		}
		t.relay = true
		t.remote = append(t.remote, remoteRelays(byRegion, m.self.Region, rank)...)
	}
	slices.Sort(t.remote)
	t.remote = slices.Compact(t.remote)
	t.partners = slices.Concat(t.neighbors, t.remote)
	for _, name := range t.neighbors {
		if !slices.Contains(m.topology.neighbors, name) {
			m.table[name].lastAlive = m.lastEvent // a new neighbor's timer starts now
		}
	}
	m.topology = t
	return &m.topology
}

// Partners returns the members to which this daemon sends heartbeats at regular intervals.
func (m *StateMachine) Partners() []string { return slices.Clone(m.currentTopology().partners) }

// membersByRegion groups the members by region, sorted by zone and name.
func (m *StateMachine) membersByRegion() map[string][]*entry {
	out := make(map[string][]*entry)
	for _, e := range m.table {
		if !e.Gone {
			out[e.Region] = append(out[e.Region], e)
		}
	}
	for _, members := range out {
		slices.SortFunc(members, compareByZoneAndName)
	}
	return out
}

func compareByZoneAndName(a, b *entry) int {
	if c := strings.Compare(a.Zone, b.Zone); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// neighborsOf returns a member's heartbeat partners in its region: all members if there are at most
// meshSize, otherwise those at the ring offsets. The relation is symmetric.
func neighborsOf(name string, ring []*entry, meshSize int) []string {
	index := slices.IndexFunc(ring, func(e *entry) bool { return e.Name == name })
	if index < 0 {
		return nil
	}
	var out []string
	n := len(ring)
	if n <= meshSize {
		for _, e := range ring {
			if e.Name != name {
				out = append(out, e.Name)
			}
		}
		slices.Sort(out)
		return out
	}
	for offset := 1; offset <= n/2; offset *= ringOffsetFactor {
		out = append(out, ring[(index+offset)%n].Name, ring[(index-offset+n)%n].Name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// relaysOf returns a region's relays by rank. They are chosen by rendezvous hashing over the alive
// members, or over all members if none is alive. The second relay is preferably in another zone. A
// single member has both ranks.
func relaysOf(region string, ring []*entry) (relays [relaysPerRegion]string) {
	alive := slices.DeleteFunc(slices.Clone(ring), func(e *entry) bool { return e.state() != Alive })
	if len(alive) == 0 {
		alive = ring
	}
	if len(alive) == 0 {
		return relays
	}
	first := highestScore(region, alive, func(*entry) bool { return true })
	second := highestScore(region, alive, func(e *entry) bool { return e.Zone != first.Zone })
	if second == nil {
		second = highestScore(region, alive, func(e *entry) bool { return e != first })
	}
	if second == nil {
		second = first
	}
	return [relaysPerRegion]string{first.Name, second.Name}
}

func highestScore(key string, members []*entry, allowed func(*entry) bool) *entry {
	var best *entry
	var bestScore uint64
	for _, e := range members {
		if !allowed(e) {
			continue
		}
		if s := rendezvous.Score(key, e.Name); best == nil || s > bestScore {
			best, bestScore = e, s
		}
	}
	return best
}

// remoteRelays returns the relays of the given rank in all other regions.
func remoteRelays(byRegion map[string][]*entry, own string, rank int) []string {
	var out []string
	for region, ring := range byRegion {
		if region == own {
			continue
		}
		out = append(out, relaysOf(region, ring)[rank])
	}
	return out
}
