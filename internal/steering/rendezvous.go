package steering

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the n names of the highest hash weight for a key, best
// first. When a name goes away only the keys that had it change.
func Rendezvous(key string, names []string, n int) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	all := make([]weighted, 0, len(names))
	for _, name := range names {
		all = append(all, weighted{name, rendezvousWeight(key, name)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].name < all[j].name
	})
	out := make([]string, 0, min(n, len(all)))
	for _, w := range all[:min(n, len(all))] {
		out = append(out, w.name)
	}
	return out
}

// First returns the name of the highest hash weight for a key, "" when there
// are no names.
func First(key string, names []string) string {
	if best := Rendezvous(key, names, 1); len(best) > 0 {
		return best[0]
	}
	return ""
}

func rendezvousWeight(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
