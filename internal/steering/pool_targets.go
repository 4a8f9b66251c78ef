package steering

import (
	"math/bits"
	"math/rand/v2"
)

// Target is a target as a pool sees it.
type Target struct {
	Name   string
	Zone   string
	Region string
	Slots  int // of the document

	limit    int // slots that may be used now
	inFlight int // permits given out by this pool
	reported int // load that others put on it, as the target reports; 0 unknown
	group    *Group
	level    int
	pos      int // index in the bucket of its level; -1: not listed
}

// Limit returns how many slots may be used now.
func (t *Target) Limit() int { return t.limit }

// InFlight returns how many permits are out.
func (t *Target) InFlight() int { return t.inFlight }

// free reports whether the target can take one more request.
func (t *Target) free() bool { return t.inFlight < t.limit }

// levels is the resolution of the load in buckets.
const levels = 16

// Group holds the targets of one region, bucketed by zone and load, so that
// the least loaded one is found without a look at the others.
type Group struct {
	Region   string
	targets  []*Target
	byName   map[string]*Target
	zones    []zoneBuckets
	inFlight int
	limit    int
}

type zoneBuckets struct {
	zone    string
	used    uint32 // bit l is set when buckets[l] is not empty
	buckets [levels][]*Target
}

func newGroup(region string) *Group {
	return &Group{Region: region, byName: make(map[string]*Target)}
}

// add lists a target; its limit is 0 until setLimit.
func (g *Group) add(t *Target) {
	t.group = g
	t.pos = -1
	g.targets = append(g.targets, t)
	g.byName[t.Name] = t
	for i := range g.zones {
		if g.zones[i].zone == t.Zone {
			return
		}
	}
	g.zones = append(g.zones, zoneBuckets{zone: t.Zone})
}

func (g *Group) setLimit(t *Target, limit int) {
	g.limit += limit - t.limit
	t.limit = limit
	g.place(t)
}

func (g *Group) setInFlight(t *Target, n int) {
	g.inFlight += n - t.inFlight
	t.inFlight = n
	g.place(t)
}

// Utilisation returns permits per usable slot.
func (g *Group) Utilisation() float64 {
	if g.limit == 0 {
		return 1
	}
	return min(1, float64(g.inFlight)/float64(g.limit))
}

// Free returns how many slots are free.
func (g *Group) Free() int { return max(0, g.limit-g.inFlight) }

// place moves a target to the bucket of its load; a full one is in none.
func (g *Group) place(t *Target) {
	z := g.zone(t.Zone)
	if t.pos >= 0 {
		z.remove(t)
	}
	if t.free() {
		t.level = t.inFlight * levels / t.limit
		z.insert(t)
	}
}

func (g *Group) zone(name string) *zoneBuckets {
	for i := range g.zones {
		if g.zones[i].zone == name {
			return &g.zones[i]
		}
	}
	return nil
}

func (z *zoneBuckets) insert(t *Target) {
	t.pos = len(z.buckets[t.level])
	z.buckets[t.level] = append(z.buckets[t.level], t)
	z.used |= 1 << t.level
}

func (z *zoneBuckets) remove(t *Target) {
	b := z.buckets[t.level]
	last := b[len(b)-1]
	b[t.pos] = last
	last.pos = t.pos
	z.buckets[t.level] = b[:len(b)-1]
	if len(b) == 1 {
		z.used &^= 1 << t.level
	}
	t.pos = -1
}

// least returns a least loaded free target of the given zone, or, when it has
// none, of all zones: a free slot is as good as any other, but for the way to
// it. It is nil when none is free or all free ones are excluded.
func (g *Group) least(zone string, exclude []string, rng *rand.Rand) *Target {
	var best *Target
	for i := range g.zones {
		t := g.zones[i].least(exclude, rng)
		if t == nil {
			continue
		}
		if t.Zone == zone {
			return t
		}
		if best == nil || t.level < best.level {
			best = t
		}
	}
	return best
}

func (z *zoneBuckets) least(exclude []string, rng *rand.Rand) *Target {
	for left := z.used; left != 0; left &= left - 1 {
		b := z.buckets[bits.TrailingZeros32(left)]
		first := rng.IntN(len(b))
		for i := range b {
			if t := b[(first+i)%len(b)]; !contains(exclude, t.Name) {
				return t
			}
		}
	}
	return nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
