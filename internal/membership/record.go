package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record describes one member. Only the member itself changes it, except for Suspect and Gone, which
// other daemons may set.
type Record struct {
	Name          string
	Zone          string
	Region        string
	PeerAddress   string
	CallerAddress string
	Cores         float64 // CPU capacity of the VM, in cores; 0: unknown
	Incarnation   uint64
	Process       uint64 // first incarnation of the process
	Seq           uint64 // increased by the member with each change and to refute a suspicion
	Leaving       bool
	Suspect       bool // heartbeats are missing; refuted by a higher Seq
	Gone          bool // final for this incarnation
	Generation    uint64
	Hash          uint64
	RefusesKeys   bool   // refuses requests with keys, because its document may be outdated
	Term          uint64 // term as granter of rate limits; 0: not the granter
	Carries       bool   // carries connections of other VMs to targets
	Partitioned   bool   // can't reach targets itself, while other VMs can
	GrantsTokens  bool   // grants tokens under targets' rate limits
}

// supersedes reports whether r is newer than old, by Incarnation, Gone, Seq and Suspect in this
// order. Apart from Generation and Hash the order is total, so that tables converge regardless of
// the order in which records arrive.
func (r *Record) supersedes(old *Record) bool {
	switch {
	case r.Incarnation != old.Incarnation:
		return r.Incarnation > old.Incarnation
	case r.Gone != old.Gone:
		return r.Gone
	case r.Seq != old.Seq:
		return r.Seq > old.Seq
	}
	return r.Suspect && !old.Suspect
}

// state returns the member state that the record expresses.
func (r *Record) state() State {
	switch {
	case r.Gone:
		return Gone
	case r.Leaving:
		return Leaving
	case r.Suspect:
		return Suspect
	}
	return Alive
}

// digest returns the record's contribution to the table hash. Gone records are excluded because
// daemons forget them at different times.
func (r *Record) digest() uint64 {
	if r.Gone {
		return 0
	}
	h := xxhash.Sum64String(r.Name)
	h = (h ^ r.Incarnation) * digestPrime
	h = (h ^ r.Seq) * digestPrime
	if r.Suspect {
		h++
	}
	return h * digestPrime
}

// digestPrime is an odd constant that mixes all bits.
const digestPrime = 0x9e3779b97f4a7c15

// shortID identifies a member in generation updates and region summaries. Collisions are rare;
// region summaries correct their effects.
func (r *Record) shortID() uint32 {
	return uint32((xxhash.Sum64String(r.Name) ^ r.Incarnation) * digestPrime >> 32)
}

// regionID identifies a region in its summary.
func regionID(region string) uint32 { return uint32(xxhash.Sum64String(region)) }

// incarnationStep is the minimum distance of successive incarnations of a VM name. The lower bits
// are random.
const incarnationStep = 1 << 16

// NewIncarnation returns the incarnation of a process that starts now: wall clock milliseconds
// followed by random bits. If the clock was set back, joining raises the incarnation above that of
// the previous process.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())*incarnationStep + rand.Uint64N(incarnationStep)
}

// supersedingIncarnation returns an incarnation higher than inc.
func supersedingIncarnation(inc uint64) uint64 { return inc + incarnationStep }
