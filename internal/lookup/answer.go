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

// Weights of VMs in the ranking of an answer. VMs of the caller's zone are
// preferred, but not always first: otherwise the loss of one VM would move all
// callers of its zone to a single other VM.
const (
	weightSameZone   = 4
	weightSameRegion = 1
)

// Buckets is the number of buckets over which the callers of one place are
// spread. All callers of a bucket get the same ranking.
const Buckets = 64

// Roster holds the members that answers may name, by region. It is immutable
// and shared by all answers of one view.
type Roster struct {
	regions []string
	members map[string][]membership.Member
}

// NewRoster groups the members of a view that answers may name: those that are
// alive and have a document in force. If there are none, it takes the suspect
// members, because a wrong suspicion must not leave callers without any VM.
func NewRoster(view *membership.View) *Roster {
	r := &Roster{members: make(map[string][]membership.Member)}
	r.addMembers(view, func(m *membership.Member) bool { return m.State == membership.Alive && m.Generation > 0 })
	if len(r.regions) == 0 {
		r.addMembers(view, func(m *membership.Member) bool { return m.State == membership.Suspect })
	}
	return r
}

func (r *Roster) addMembers(view *membership.View, include func(*membership.Member) bool) {
	for i := range view.Members {
		m := &view.Members[i]
		if !include(m) {
			continue
		}
		if _, ok := r.members[m.Region]; !ok {
			r.regions = append(r.regions, m.Region)
		}
		r.members[m.Region] = append(r.members[m.Region], *m)
	}
}

// Candidates returns at most limit VMs for the callers of a place and bucket,
// best first: VMs of the place's region, ranked by bucket, then those of the
// other regions, nearest region first. If possible, the second VM is in another
// availability zone than the first, and the last one in another region, so that
// callers can reach a VM without a new look-up after the loss of a zone or
// region.
func (r *Roster) Candidates(snap *config.Snapshot, place Place, bucket, limit int) []membership.Member {
	key := place.Region + "/" + place.Zone + "/" + strconv.Itoa(bucket)
	regions := r.nearestFirst(snap, place.Region)
	var out []membership.Member
	for i, region := range regions {
		count := limit - len(out)
		if i == 0 && len(regions) > 1 {
			count = max(count-1, 1) // keep one for another region
		}
		if count <= 0 {
			break
		}
		out = append(out, rankMembers(r.members[region], place, key, count)...)
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

// rankMembers returns the limit best members for the key, best first. If
// possible, the second one is in another availability zone than the first, for
// callers that lose the first one's zone.
func rankMembers(members []membership.Member, place Place, key string, limit int) []membership.Member {
	scored := make([]scoredMember, len(members))
	for i := range members {
		m := &members[i]
		scored[i] = scoredMember{m, rendezvous.WeightedScore(key, m.Name, memberWeight(place, m))}
	}
	slices.SortFunc(scored, func(a, b scoredMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	promoteOtherZone(scored)
	out := make([]membership.Member, min(limit, len(scored)))
	for i := range out {
		out[i] = *scored[i].member
	}
	return out
}

// promoteOtherZone moves the best member that is not in the first one's zone to
// the second position.
func promoteOtherZone(scored []scoredMember) {
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

func memberWeight(place Place, m *membership.Member) float64 {
	if place.Zone != "" && place.Zone == m.Zone {
		return weightSameZone
	}
	return weightSameRegion
}

// distance returns the one-way latency of the link between two regions. Regions
// without a link sort last.
func distance(snap *config.Snapshot, from, to string) config.Millis {
	if from == to || from == "" {
		return 0
	}
	if link := snap.Link(from, to); link != nil {
		return max(link.OneWayMS, 1)
	}
	return math.MaxInt64
}
