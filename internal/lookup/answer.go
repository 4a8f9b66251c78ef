package lookup

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

// Weights of a VM in the order of an answer. A VM of the caller's own zone
// wins more often, but not always: else the death of one VM would move all
// callers of its zone to one other VM.
const (
	weightSameZone   = 4
	weightSameRegion = 1
)

// Buckets is the number of groups into which the callers of one place are
// spread. All callers of a bucket get the same order.
const Buckets = 64

// Roster holds the members that may be named to callers, by region. It is
// immutable; answers of one view share it.
type Roster struct {
	regions []string
	members map[string][]membership.Member
}

// NewRoster groups the members of a view that may be named: those alive and
// with a document in force; failing that, the suspect ones, since a wrong
// suspicion must not leave callers with nothing.
func NewRoster(view *membership.View) *Roster {
	r := &Roster{members: make(map[string][]membership.Member)}
	r.fill(view, func(m *membership.Member) bool { return m.State == membership.Alive && m.Generation > 0 })
	if len(r.regions) == 0 {
		r.fill(view, func(m *membership.Member) bool { return m.State == membership.Suspect })
	}
	return r
}

func (r *Roster) fill(view *membership.View, take func(*membership.Member) bool) {
	for i := range view.Members {
		m := &view.Members[i]
		if !take(m) {
			continue
		}
		if _, ok := r.members[m.Region]; !ok {
			r.regions = append(r.regions, m.Region)
		}
		r.members[m.Region] = append(r.members[m.Region], *m)
	}
}

// Candidates returns the VMs to name to the callers of a place and bucket,
// best first, at most limit: those of the place's region, spread by bucket,
// then those of the other regions, nearest first. The second one is of another
// availability zone and the last one of another region than the first, where
// there are such, so that callers whose zone or region is lost reach somebody
// before they look up again.
func (r *Roster) Candidates(snap *config.Snapshot, place Place, bucket, limit int) []membership.Member {
	key := place.Region + "/" + place.Zone + "/" + strconv.Itoa(bucket)
	regions := r.nearestFirst(snap, place.Region)
	var out []membership.Member
	for i, region := range regions {
		room := limit - len(out)
		if i == 0 && len(regions) > 1 {
			room = max(room-1, 1) // one place is for another region
		}
		if room <= 0 {
			break
		}
		out = append(out, ranked(r.members[region], place, key, room)...)
	}
	return out
}

func (r *Roster) nearestFirst(snap *config.Snapshot, from string) []string {
	regions := slices.Clone(r.regions)
	slices.SortFunc(regions, func(a, b string) int {
		return cmp.Or(cmp.Compare(distance(snap, from, a), distance(snap, from, b)), cmp.Compare(a, b))
	})
	return regions
}

type scoredMember struct {
	member *membership.Member
	score  float64
}

// ranked returns the first limit members for the key, best first. The second
// one is of another availability zone than the first where there is one, for
// callers whose zone is lost.
func ranked(members []membership.Member, place Place, key string, limit int) []membership.Member {
	scored := make([]scoredMember, len(members))
	for i := range members {
		m := &members[i]
		scored[i] = scoredMember{m, rendezvous.WeightedScore(key, m.Name, weight(place, m))}
	}
	slices.SortFunc(scored, func(a, b scoredMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	secondOfOtherZone(scored)
	out := make([]membership.Member, min(limit, len(scored)))
	for i := range out {
		out[i] = *scored[i].member
	}
	return out
}

// secondOfOtherZone moves the best member of another zone than the first one's
// to the second place.
func secondOfOtherZone(scored []scoredMember) {
	for i := 1; i < len(scored); i++ {
		if scored[i].member.Zone == scored[0].member.Zone {
			continue
		}
		other := scored[i]
		copy(scored[2:i+1], scored[1:i])
		scored[1] = other
		return
	}
}

func weight(place Place, m *membership.Member) float64 {
	if place.Zone != "" && place.Zone == m.Zone {
		return weightSameZone
	}
	return weightSameRegion
}

// distance is the one-way latency of the link between two regions; a region
// without a link is farthest.
func distance(snap *config.Snapshot, from, to string) config.Millis {
	if from == to || from == "" {
		return 0
	}
	if link := snap.Link(from, to); link != nil {
		return max(link.OneWayMS, 1)
	}
	return math.MaxInt64
}
