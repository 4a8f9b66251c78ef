package placement

const (
	// rankedMost is how many objects' rankings are kept, to bound the memory; with
	// more objects they are worked out again.
	rankedMost = 2048
	// rankedDepth is how many targets of each are kept: of the first 16 all would
	// have to be out of use for the rest to be needed.
	rankedDepth = 16
)

// ranking keeps the first targets of each object, since ranking hashes all targets
// and a waiting request looks at its targets a hundred times a second.
type ranking struct {
	byKey map[string][]*targetState
}

// first returns the first targets of an object; nil when they are not kept.
func (r *ranking) first(key string) []*targetState { return r.byKey[key] }

func (r *ranking) add(key string, order []*targetState) {
	if r.byKey == nil || len(r.byKey) >= rankedMost {
		r.byKey = make(map[string][]*targetState)
	}
	kept := make([]*targetState, min(len(order), rankedDepth))
	copy(kept, order)
	r.byKey[key] = kept
}

func (r *ranking) clear() { r.byKey = nil }
