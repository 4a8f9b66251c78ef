package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is what is known of one member. The member itself writes all of it,
// except that others may set Suspect and Gone.
type Record struct {
	Name          string
	Zone          string
	Region        string
	PeerAddress   string
	CallerAddress string
	Incarnation   uint64
	Seq           uint64 // raised by the member with each change, and to refute a suspicion
	Leaving       bool
	Suspect       bool // it was not heard of; refuted by a higher Seq
	Gone          bool // final for this incarnation
	Generation    uint64
	Hash          uint64
}

// supersedes reports whether r is newer than old. The order is total up to
// Generation and Hash, so that daemons agree whatever way records came: by
// incarnation, then gone, then by Seq, then suspect.
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

// digest is the record's part of the hash of a table. Records that are gone
// count for nothing, since daemons forget them at different times.
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

// digestPrime is an odd constant with bits all over.
const digestPrime = 0x9e3779b97f4a7c15

// shortID stands for a member in notes. Two of one region have the same one
// with a chance of some millionths; the regions' summaries then set it right.
func (r *Record) shortID() uint32 {
	return uint32((xxhash.Sum64String(r.Name) ^ r.Incarnation) * digestPrime >> 32)
}

// regionID stands for a region in notes.
func regionID(region string) uint32 { return uint32(xxhash.Sum64String(region)) }

// incarnationStep separates the incarnations of one VM name. The lower bits
// are random, so that two processes with the same clock differ.
const incarnationStep = 1 << 16

// NewIncarnation returns the incarnation of a process that starts now: its
// wall clock in milliseconds and random bits. When the clock is behind that of
// an earlier process of the same VM, the other daemons still know the earlier
// one's incarnation, and the new process goes above it when it joins.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())*incarnationStep + rand.Uint64N(incarnationStep)
}

// above returns an incarnation that supersedes inc.
func above(inc uint64) uint64 { return inc + incarnationStep }
