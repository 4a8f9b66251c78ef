package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record describes one member. Only the member itself writes it, except Suspect and Gone.
type Record struct {
	Name          string
	Zone          string
	Region        string
	PeerAddress   string
	CallerAddress string
	Cores         float64 // processor time; 0: not known
	Incarnation   uint64
	Process       uint64 // first incarnation of the process
	Seq           uint64 // increased by the member with each change and to refute a suspicion
	Leaving       bool
	Suspect       bool // silent; refuted by a higher Seq
	Gone          bool // final for this incarnation
	Generation    uint64
	Hash          uint64
	RefusesKeys   bool   // refuses requests with keys, as its document may be outdated
	Term          uint64 // as granter of rate limits; 0: it is not the granter
}

// supersedes reports whether r is newer than old, by incarnation, Gone, Seq and Suspect. The order
// is total up to Generation and Hash, so that tables converge in any order of arrival.
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

// state maps the record to the state of the view.
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

// digest is the record's part of the table hash. Gone records are excluded, as daemons forget them
// at different times.
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

// shortID identifies a member in notes. Region summaries correct the rare collisions.
func (r *Record) shortID() uint32 {
	return uint32((xxhash.Sum64String(r.Name) ^ r.Incarnation) * digestPrime >> 32)
}

// regionID identifies a region in notes.
func regionID(region string) uint32 { return uint32(xxhash.Sum64String(region)) }

// incarnationStep separates incarnations of a VM name. The lower bits are random.
const incarnationStep = 1 << 16

// NewIncarnation returns the incarnation of a process that starts now: wall clock milliseconds and
// random bits. If the clock went back, joining raises it above the earlier one.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())*incarnationStep + rand.Uint64N(incarnationStep)
}

// above returns an incarnation that supersedes inc.
func above(inc uint64) uint64 { return inc + incarnationStep }
