package forward

import (
	"math/rand/v2"
	"slices"
	"sync"

	"masticturn/internal/config"
)

// splitter distributes the requests of rules with several services by smooth weighted round robin, which
// keeps each service within one request of its share. Each rule begins at a random point of its round, so that
// the shares hold over all VMs, too, when each of them has only few requests.
type splitter struct {
	mu    sync.Mutex
	rules map[string]*splitState // by rule name
}

// splitState is the round-robin state of one rule.
type splitState struct {
	parts          []config.Part
	currentWeights []int
}

func newSplitter() *splitter { return &splitter{rules: make(map[string]*splitState)} }

// service returns the service of the next request of a rule; nil if the document lacks it.
func (s *splitter) service(snap *config.Snapshot, rule *config.Rule) *config.ServiceIndex {
	if rule == nil || len(rule.Parts) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.rules[rule.Name]
	if state == nil || !slices.Equal(state.parts, rule.Parts) {
		state = newSplitState(rule.Parts)
		s.rules[rule.Name] = state
	}
	return snap.Service(state.next())
}

// maxStartSteps bounds the work of finding a random start of a round.
const maxStartSteps = 1000

// newSplitState returns the state at a random point of the round.
func newSplitState(parts []config.Part) *splitState {
	st := &splitState{parts: parts, currentWeights: make([]int, len(parts))}
	total := 0
	for _, p := range parts {
		total += p.Weight
	}
	for range rand.IntN(max(1, min(total, maxStartSteps))) {
		st.next()
	}
	return st
}

// next picks the part with the highest current weight and reduces that by the sum of all weights.
func (st *splitState) next() string {
	best, total := 0, 0
	for i, p := range st.parts {
		st.currentWeights[i] += p.Weight
		total += p.Weight
		if st.currentWeights[i] > st.currentWeights[best] {
			best = i
		}
	}
	st.currentWeights[best] -= total
	return st.parts[best].Service
}

// retain drops the state of rules that are no longer configured.
func (s *splitter) retain(hosts []config.Host) {
	known := make(map[string]bool)
	for _, h := range hosts {
		for _, r := range h.Rules {
			known[r.Name] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.rules {
		if !known[name] {
			delete(s.rules, name)
		}
	}
}
