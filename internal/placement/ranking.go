package placement

const (
	// maxRankings is the maximum number of cached objects. A full cache is cleared.
	maxRankings = 2048
	// maxCachedTargets is the number of targets cached per object. If too few of them are
	// usable, all targets are ranked again.
	maxCachedTargets = 16
)

// rankingCache caches the highest-ranked targets of each object, as ranking hashes all of
// the service's targets.
type rankingCache struct {
	byKey map[string][]*targetState
}

// get returns the highest-ranked targets of an object; nil if not cached.
func (r *rankingCache) get(key string) []*targetState { return r.byKey[key] }

func (r *rankingCache) add(key string, ranked []*targetState) {
	if r.byKey == nil || len(r.byKey) >= maxRankings {
		r.byKey = make(map[string][]*targetState)
	}
	cached := make([]*targetState, min(len(ranked), maxCachedTargets))
	copy(cached, ranked)
	r.byKey[key] = cached
}

func (r *rankingCache) clear() { r.byKey = nil }
