package changelog

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// A log must return the latest change of each item after a version, whatever the order in which changes were added,
// and must not grow with their number.
func TestLogMatchesTheTable(t *testing.T) {
	const items, changes = 30, 5000
	random := rand.New(rand.NewPCG(1, 1))
	latest := make(map[int]uint64)
	log := New(func(c Change[int]) bool { return latest[c.Item] == c.Version })
	version := uint64(0)
	for range changes {
		version++
		added := version
		if random.IntN(10) == 0 {
			added += uint64(random.IntN(5)) // versions after this one follow
		}
		item := random.IntN(items)
		if added <= latest[item] {
			continue
		}
		latest[item] = added
		log.Add(added, item, items)
		if n := len(log.changes); n > max(2*items, minCompactLength) {
			t.Fatalf("the log has %d changes of %d items", n, items)
		}
		since := version - min(version, uint64(random.IntN(60)))
		var got, want []int
		for _, c := range log.Since(since) {
			if !log.IsOutdated(c) {
				got = append(got, c.Item)
			}
		}
		for item, v := range latest {
			if v > since {
				want = append(want, item)
			}
		}
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("since %d: got items %v, want %v", since, got, want)
		}
	}
}
