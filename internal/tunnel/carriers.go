package tunnel

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"masticturn/internal/membership"
	"masticturn/internal/targetconn"
)

// maxCarriers is the maximum number of VMs that are asked in turn to carry one connection.
const maxCarriers = 3

// carrierQuery states for which connection a carrier is chosen.
type carrierQuery struct {
	self         string
	targetRegion string
	reach        targetconn.Reach
	avoid        func(name string) bool // VMs that have recently failed to carry; asked last
	random       func() float64         // in [0, 1)
}

// carriers returns the VMs to ask in turn to carry a connection, at most maxCarriers. Those in the target's region
// come first: the way through them is hardly longer, and they may see every request that the target may run.
// Within a region the order is random, weighted by the VMs' cores, so that the load of a partitioned VM is
// spread over the others by their size.
func carriers(v *membership.View, q carrierQuery) []membership.Member {
	type candidate struct {
		member membership.Member
		group  int
		order  float64
	}
	var found []candidate
	for _, m := range v.Members {
		if m.Name == q.self || m.State != membership.Alive || !m.Carries || m.Partitioned || !q.reach.Allows(m.Region, q.targetRegion) {
			continue
		}
		c := candidate{member: m, order: -math.Log(1-q.random()) / cmp.Or(m.Cores, 1)}
		if m.Region != q.targetRegion {
			c.group++
		}
		if q.avoid(m.Name) {
			c.group += 2
		}
		found = append(found, c)
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.order, b.order))
	})
	members := make([]membership.Member, 0, maxCarriers)
	for _, c := range found[:min(len(found), maxCarriers)] {
		members = append(members, c.member)
	}
	return members
}

// random returns a number in [0, 1).
func random() float64 { return rand.Float64() }
