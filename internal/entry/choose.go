package entry

import (
	"math/rand/v2"

	"masticturn/internal/membership"
)

// maxNamed is the number of VMs in an answer, as many as callers use.
const maxNamed = 64

// candidates are VMs that may be named to callers of a region.
type candidates struct {
	local    []string // of the region
	all      []string
	refusing []string // of the region, that serve only public routes
}

// Choose returns the caller addresses of VMs for callers of a region: its live VMs, or those of all
// regions if it has none. VMs that refuse keys are named only if all do. Callers pick one at random,
// so that a VM's failure affects an equal share. In large regions the answers rotate over all VMs.
func Choose(v *membership.View, region string) []string {
	named := candidatesOf(v, region).preferred()
	if len(named) <= maxNamed {
		return named
	}
	rand.Shuffle(len(named), func(i, j int) { named[i], named[j] = named[j], named[i] })
	return named[:maxNamed]
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
			c.refusing = append(c.refusing, m.CallerAddress)
		case m.RefusesKeys:
		case m.Region == region:
			c.local = append(c.local, m.CallerAddress)
			c.all = append(c.all, m.CallerAddress)
		default:
			c.all = append(c.all, m.CallerAddress)
		}
	}
	return c
}

func (c candidates) preferred() []string {
	switch {
	case len(c.local) > 0:
		return c.local
	case len(c.all) > 0:
		return c.all
	}
	return c.refusing
}
