package membership

import (
	"slices"
	"strings"

	"masticturn/internal/rendezvous"
)

// relaysPerRegion is the number of relays of a region. Relays of one rank form a full mesh over
// the regions; the ranks are independent paths.
const relaysPerRegion = 2

// offsetFactor is the ratio of the ring distances of neighbors, so that changes spread in few hops.
const offsetFactor = 3

// topology is the heartbeat partners of this daemon.
type topology struct {
	ring      []*entry // members of the region, by zone and name
	neighbors []string // in the region, sorted
	remote    []string // relays of other regions, if this daemon is a relay
	targets   []string // all of them
	relay     bool     // this daemon is a relay
}

// currentTopology returns the topology of the present table.
func (m *Machine) currentTopology() *topology {
	if !m.topologyStale {
		return &m.topology
	}
	m.topologyStale = false
	byRegion := m.byRegion()
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
	t.targets = slices.Concat(t.neighbors, t.remote)
	for _, name := range t.neighbors {
		if !slices.Contains(m.topology.neighbors, name) {
			m.table[name].lastAlive = m.last // its timer starts now
		}
	}
	m.topology = t
	return &m.topology
}

// Partners returns the members that exchange heartbeats with this one.
func (m *Machine) Partners() []string { return slices.Clone(m.currentTopology().targets) }

// byRegion groups the members by region, sorted by zone and name.
func (m *Machine) byRegion() map[string][]*entry {
	out := make(map[string][]*entry)
	for _, e := range m.table {
		if !e.Gone {
			out[e.Region] = append(out[e.Region], e)
		}
	}
	for _, members := range out {
		slices.SortFunc(members, compareByPlace)
	}
	return out
}

func compareByPlace(a, b *entry) int {
	if c := strings.Compare(a.Zone, b.Zone); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// neighborsOf returns a member's heartbeat partners in its region: all up to the mesh size, else
// those at the ring offsets. Neighbors are mutual.
func neighborsOf(name string, ring []*entry, meshSize int) []string {
	at := slices.IndexFunc(ring, func(e *entry) bool { return e.Name == name })
	if at < 0 {
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
	for offset := 1; offset <= n/2; offset *= offsetFactor {
		out = append(out, ring[(at+offset)%n].Name, ring[(at-offset+n)%n].Name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// relaysOf returns a region's relays by rank, by rendezvous hashing over the live members, or over
// all if there are none. The second one is preferably of another zone. A single member has all
// ranks.
func relaysOf(region string, ring []*entry) (relays [relaysPerRegion]string) {
	alive := slices.DeleteFunc(slices.Clone(ring), func(e *entry) bool { return e.state() != Alive })
	if len(alive) == 0 {
		alive = ring
	}
	if len(alive) == 0 {
		return relays
	}
	first := highest(region, alive, func(*entry) bool { return true })
	second := highest(region, alive, func(e *entry) bool { return e.Zone != first.Zone })
	if second == nil {
		second = highest(region, alive, func(e *entry) bool { return e != first })
	}
	if second == nil {
		second = first
	}
	return [relaysPerRegion]string{first.Name, second.Name}
}

func highest(key string, members []*entry, allowed func(*entry) bool) *entry {
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

// remoteRelays returns the relays of a rank in all other regions.
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
