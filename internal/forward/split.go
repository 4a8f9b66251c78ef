package forward

import (
	"slices"
	"sync"

	"masticturn/internal/config"
)

// splitter distributes requests of rules with several parts over their services by smooth weighted
// round robin, which keeps each part within one request of its share.
type splitter struct {
	mu    sync.Mutex
	rules map[string]*splitState // by rule name
}

// splitState is the state of one rule.
type splitState struct {
	parts  []config.Part
	credit []int
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
		state = &splitState{parts: rule.Parts, credit: make([]int, len(rule.Parts))}
		s.rules[rule.Name] = state
	}
	return snap.Service(state.next())
}

// next picks the part with the highest credit and charges it the sum of weights.
func (st *splitState) next() string {
	best, total := 0, 0
	for i, p := range st.parts {
		st.credit[i] += p.Weight
		total += p.Weight
		if st.credit[i] > st.credit[best] {
			best = i
		}
	}
	st.credit[best] -= total
	return st.parts[best].Service
}

// keep forgets rules that are no longer configured.
func (s *splitter) keep(hosts []config.Host) {
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
