package discovery

import "maps"

// maxAbsentStarts is the least number of records at which those of absent targets are dropped.
const maxAbsentStarts = 8192

// starts records the latest known start of each target by id, also of targets whose entry was deleted.
type starts struct {
	byID  map[string]int64 // Unix time in ms
	limit int              // number of records at which those of absent targets are dropped
}

func newStarts() *starts { return &starts{byID: make(map[string]int64), limit: maxAbsentStarts} }

// of returns the latest known start of a target; 0: none.
func (s *starts) of(id string) int64 { return s.byID[id] }

// record records the start of a target. Each time that the records reach their limit, those of absent targets are
// dropped, and the limit becomes twice what is left. The work for a record thus doesn't grow with their number.
func (s *starts) record(id string, start int64, isPresent func(id string) bool) {
	if len(s.byID) >= s.limit {
		maps.DeleteFunc(s.byID, func(id string, _ int64) bool { return !isPresent(id) })
		s.limit = max(maxAbsentStarts, 2*len(s.byID))
	}
	s.byID[id] = start
}
