package placement

const (
	// maxRankings bounds the cached objects; beyond it the cache is cleared.
	maxRankings = 2048
	// rankedDepth is the number of targets cached per object. The rest is ranked again
	// if too few of them are usable.
	rankedDepth = 16
)

// ranking caches the first targets of each object, as ranking hashes all targets.
type ranking struct {
	byKey map[string][]*targetState
}

// first returns the first targets of an object; nil if not cached.
func (r *ranking) first(key string) []*targetState { return r.byKey[key] }

func (r *ranking) add(key string, order []*targetState) {
	if r.byKey == nil || len(r.byKey) >= maxRankings {
		r.byKey = make(map[string][]*targetState)
	}
	kept := make([]*targetState, min(len(order), rankedDepth))
	copy(kept, order)
	r.byKey[key] = kept
}

func (r *ranking) clear() { r.byKey = nil }
