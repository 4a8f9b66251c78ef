package entry

import (
	"math/rand/v2"

	"masticturn/internal/membership"
)

// maxNamed is the number of VMs in an answer, as many as callers use.
const maxNamed = 64

// Choose returns the caller addresses of VMs for callers of a region: its live VMs, or those of all
// regions if it has none. Callers pick one at random, so that a VM's failure affects an equal share.
// In large regions the answers rotate over all VMs.
func Choose(v *membership.View, region string) []string {
	var local, all []string
	for i := range v.Members {
		m := &v.Members[i]
		if m.State != membership.Alive || m.Generation == 0 {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Region == region {
			local = append(local, m.CallerAddress)
		}
	}
	if len(local) == 0 {
		local = all
	}
	if len(local) <= maxNamed {
		return local
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	return local[:maxNamed]
}
