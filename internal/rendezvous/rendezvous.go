// Package rendezvous ranks candidates for a key by rendezvous hashing: every
// daemon with the same candidates computes the same ranking, and the loss of
// one candidate moves only what was on it.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a candidate for a key. The highest score wins.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return mix(d.Sum64())
}

// mix is the finalizer of splitmix64; it spreads short keys over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// WeightedScore returns a score by which a candidate of twice the weight wins
// twice as often. A weight of zero or less never wins over a positive one.
func WeightedScore(key, candidate string, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	const bits53 = 1 << 53
	unit := (float64(Score(key, candidate)>>11) + 0.5) / bits53
	return -weight / math.Log(unit)
}

// TopWeighted is Top for candidates with weights.
func TopWeighted[T any](key string, candidates []T, n int, name func(T) string, weight func(T) float64) []T {
	return top(candidates, n, name, func(c T) float64 { return WeightedScore(key, name(c), weight(c)) })
}

// Top returns the n best candidates for a key, best first. name returns the
// stable name of a candidate; candidates is not changed.
func Top[T any](key string, candidates []T, n int, name func(T) string) []T {
	return top(candidates, n, name, func(c T) uint64 { return Score(key, name(c)) })
}

func top[T any, S cmp.Ordered](candidates []T, n int, name func(T) string, score func(T) S) []T {
	type scored struct {
		item  T
		score S
	}
	all := make([]scored, len(candidates))
	for i, c := range candidates {
		all[i] = scored{c, score(c)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(name(a.item), name(b.item))
	})
	n = min(n, len(all))
	out := make([]T, n)
	for i := range out {
		out[i] = all[i].item
	}
	return out
}
