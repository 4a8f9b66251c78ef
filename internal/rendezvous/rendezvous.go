// Package rendezvous ranks candidates for a key by rendezvous (highest random
// weight) hashing. Daemons with the same candidates compute the same ranking,
// and removing a candidate remaps only the keys that were assigned to it.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a candidate for a key. The candidate with the
// highest score ranks first.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return mix(d.Sum64())
}

// mix is the finalizer of splitmix64. It distributes the hashes of short keys
// over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// WeightedScore returns a score with which a candidate ranks first for a share
// of the keys in proportion to its weight. A candidate with a weight of zero or
// less never ranks before one with a positive weight.
func WeightedScore(key, candidate string, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	const bits53 = 1 << 53
	uniform := (float64(Score(key, candidate)>>11) + 0.5) / bits53
	return -weight / math.Log(uniform)
}

// TopWeighted is like Top, but ranks candidates by WeightedScore.
func TopWeighted[T any](key string, candidates []T, n int, name func(T) string, weight func(T) float64) []T {
	return top(candidates, n, name, func(c T) float64 { return WeightedScore(key, name(c), weight(c)) })
}

// Top returns the n highest-ranked candidates for a key in rank order, or all
// of them if there are fewer. name returns the stable name of a candidate.
// candidates is not modified.
func Top[T any](key string, candidates []T, n int, name func(T) string) []T {
	return top(candidates, n, name, func(c T) uint64 { return Score(key, name(c)) })
}

// selectionRatio is the ratio of candidates to results above which the results are selected one by one
// instead of by sorting all candidates.
const selectionRatio = 8

// scored is a candidate with its score.
type scored[T any, S cmp.Ordered] struct {
	item  T
	score S
}

func top[T any, S cmp.Ordered](candidates []T, n int, name func(T) string, score func(T) S) []T {
	n = min(n, len(candidates))
	before := func(a, b scored[T, S]) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(name(a.item), name(b.item))
	}
	var best []scored[T, S]
	if n*selectionRatio < len(candidates) {
		best = selectBest(candidates, n, score, before)
	} else {
		best = make([]scored[T, S], len(candidates))
		for i, c := range candidates {
			best[i] = scored[T, S]{c, score(c)}
		}
		slices.SortFunc(best, before)
	}
	out := make([]T, n)
	for i := range out {
		out[i] = best[i].item
	}
	return out
}

// selectBest returns the first n candidates in the order of before. Its cost is little more than that of the
// scores if n is small.
func selectBest[T any, S cmp.Ordered](candidates []T, n int, score func(T) S, before func(a, b scored[T, S]) int) []scored[T, S] {
	best := make([]scored[T, S], 0, n+1)
	for _, c := range candidates {
		s := scored[T, S]{c, score(c)}
		if len(best) == n && (n == 0 || before(best[n-1], s) < 0) {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, s, before)
		best = slices.Insert(best, i, s)
		best = best[:min(len(best), n)]
	}
	return best
}
