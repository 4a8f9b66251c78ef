package entry

import (
	"math/rand/v2"

	"masticturn/internal/membership"
)

// maxAddresses is the maximum number of VMs in a response. Callers use no more than that.
const maxAddresses = 64

// candidates are the caller addresses of VMs that a look-up for a region may return.
type candidates struct {
	local       []string // VMs of the region
	partitioned []string // VMs of the region that reach targets only through other VMs
	all         []string // VMs of all regions
	publicOnly  []string // VMs of the region that refuse requests with keys
}

// Choose returns the caller addresses of VMs for callers of a region: the region's live VMs, or
// those of all regions if it has none. VMs that refuse keys are returned only if all live VMs do, and
// partitioned ones only if they are the majority of the region's.
// Callers pick an address at random, so that the failure of a VM affects an equal share of them. If
// there are more than maxAddresses, each call returns a random subset, which covers all VMs over time.
func Choose(v *membership.View, region string) []string {
	addresses := candidatesOf(v, region).preferred()
	if len(addresses) <= maxAddresses {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:maxAddresses]
}

func candidatesOf(v *membership.View, region string) candidates {
	var c candidates
	for i := range v.Members {
		m := &v.Members[i]
		if m.State != membership.Alive || m.Generation == 0 {
			continue
		}
		switch {
		case m.RefusesKeys && m.Region == region:
			c.publicOnly = append(c.publicOnly, m.CallerAddress)
		case m.RefusesKeys:
		case m.Region == region && m.Partitioned:
			c.partitioned = append(c.partitioned, m.CallerAddress)
			c.all = append(c.all, m.CallerAddress)
		case m.Region == region:
			c.local = append(c.local, m.CallerAddress)
			c.all = append(c.all, m.CallerAddress)
		default:
			c.all = append(c.all, m.CallerAddress)
		}
	}
	return c
}

// preferred returns the most suitable non-empty group of candidates. Partitioned VMs of the region still serve,
// so that the others get at most twice their usual requests.
func (c candidates) preferred() []string {
	local := c.local
	if len(c.partitioned) > len(c.local) {
		local = append(local, c.partitioned...)
	}
	switch {
	case len(local) > 0:
		return local
	case len(c.all) > 0:
		return c.all
	}
	return c.publicOnly
}
