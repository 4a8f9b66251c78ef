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

// Candidates returns the VMs that may be named to callers, best first, at
// most limit: those of the caller's region, spread by bucket, then those of
// the other regions, nearest first. Only members that are alive and have a
// document in force are named, unless there is none such.
func Candidates(snap *config.Snapshot, view *membership.View, place Place, bucket, limit int) []membership.Member {
	members := serving(view)
	scored := make([]scoredMember, len(members))
	key := place.Region + "/" + place.Zone + "/" + strconv.Itoa(bucket)
	for i, m := range members {
		scored[i] = scoredMember{
			member:   m,
			distance: distance(snap, place.Region, m.Region),
			score:    rendezvous.WeightedScore(key, m.Name, weight(place, m)),
		}
	}
	slices.SortFunc(scored, compareScored)
	out := make([]membership.Member, min(limit, len(scored)))
	for i := range out {
		out[i] = scored[i].member
	}
	return out
}

type scoredMember struct {
	member   membership.Member
	distance config.Millis
	score    float64
}

func compareScored(a, b scoredMember) int {
	return cmp.Or(
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.member.Name, b.member.Name),
	)
}

// serving returns the members to name: alive ones with a document; failing
// that, suspect ones, since a wrong suspicion must not leave callers with
// nothing.
func serving(view *membership.View) []membership.Member {
	var alive, suspect []membership.Member
	for _, m := range view.Members {
		switch {
		case m.State == membership.Alive && m.Generation > 0:
			alive = append(alive, m)
		case m.State == membership.Suspect:
			suspect = append(suspect, m)
		}
	}
	if len(alive) > 0 {
		return alive
	}
	return suspect
}

func weight(place Place, m membership.Member) float64 {
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
