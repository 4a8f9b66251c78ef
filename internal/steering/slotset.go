package steering

import "sort"

// slotSet adds up slots by target, in the order in which targets came.
type slotSet struct {
	slots []TargetSlots
	index map[string]int
	total int
}

func newSlotSet() *slotSet { return &slotSet{index: make(map[string]int)} }

func (s *slotSet) add(target string, n int) {
	if n <= 0 {
		return
	}
	s.total += n
	if i, ok := s.index[target]; ok {
		s.slots[i].Slots += n
		return
	}
	s.index[target] = len(s.slots)
	s.slots = append(s.slots, TargetSlots{Target: target, Slots: n})
}

// sortedSlots returns a map's entries sorted by target.
func sortedSlots(m map[string]int) []TargetSlots {
	out := make([]TargetSlots, 0, len(m))
	for target, n := range m {
		out = append(out, TargetSlots{Target: target, Slots: n})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}
