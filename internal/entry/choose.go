package entry

import (
	"math/rand/v2"

	"masticturn/internal/membership"
)

// namedMost is how many VMs a look-up names: as many as callers take in.
const namedMost = 64

// Choose returns the callers' addresses of the VMs for callers of a place:
// those of its region that are believed to live and serve; those of all
// regions when the region has none. Callers choose among them at random, so
// that one VM's death moves a fair share; of more than callers take in others are
// named each time, so that none stands idle.
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
	if len(local) <= namedMost {
		return local
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	return local[:namedMost]
}
