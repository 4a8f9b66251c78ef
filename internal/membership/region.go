package membership

import (
	"slices"
	"time"
)

// maxExceptions bounds the members listed in Except.
const maxExceptions = 8

// regionState is the state of one region.
type regionState struct {
	RegionNote
	lastNote time.Time // of the last note
	changed  time.Time // last change of content
	silent   bool
	version  uint64
	source   *linkState
}

func (m *Machine) region(id uint32) *regionState {
	r, ok := m.regions[id]
	if !ok {
		r = &regionState{RegionNote: RegionNote{Region: id}}
		m.regions[id] = r
	}
	return r
}

// recordRegion starts a region's timer with its first member.
func (m *Machine) recordRegion(id uint32, now time.Time) {
	if r := m.region(id); r.lastNote.IsZero() {
		r.lastNote = now
	}
}

// publishRegion lets a relay publish its region's note once an interval. Beats start at the wall
// clock, so that they increase across restarts of a region.
func (m *Machine) publishRegion(now time.Time) {
	if m.phase == PhaseJoining || !m.currentTopology().relay {
		return
	}
	r := m.region(m.self.region)
	early := m.news.note > r.version && now.Sub(r.changed) >= m.opts.RegionInterval/earlyNotes
	if now.Before(m.nextNote) && !early {
		return
	}
	note := RegionNote{Region: m.self.region, Beat: max(r.Beat+1, uint64(now.Unix()))}
	note.Generation, note.Except = m.summarize()
	if now.Before(m.nextNote) && note.sameAs(&r.RegionNote) {
		return
	}
	m.nextNote = now.Add(m.opts.RegionInterval)
	m.setNote(r, &note, nil, now)
}

// earlyNotes is the number of notes within an interval while the generation changes.
const earlyNotes = 4

// sameAs reports whether two notes have the same content.
func (n *RegionNote) sameAs(o *RegionNote) bool {
	return n.Generation == o.Generation && slices.Equal(n.Except, o.Except)
}

func (m *Machine) setNote(r *regionState, n *RegionNote, source *linkState, now time.Time) {
	if !n.sameAs(&r.RegionNote) {
		r.changed = now
	}
	r.RegionNote = *n
	r.lastNote = now
	m.version++
	r.version, r.source = m.version, source
}

// summarize returns the highest generation that all members of the region have, except few.
func (m *Machine) summarize() (generation uint64, except []uint32) {
	lowest := m.self.Generation
	for _, e := range m.currentTopology().ring {
		generation = max(generation, e.Generation)
		lowest = min(lowest, e.Generation)
	}
	for _, e := range m.currentTopology().ring {
		if e.Generation < generation {
			except = append(except, e.shortID())
		}
	}
	if len(except) > maxExceptions {
		return lowest, nil
	}
	return generation, except
}

// applyRegion applies a region's note.
func (m *Machine) applyRegion(n *RegionNote, source *linkState, now time.Time) {
	r := m.region(n.Region)
	if n.Beat <= r.Beat {
		return
	}
	m.setNote(r, n, source, now)
	if r.silent {
		r.silent = false
		m.viewStale, m.statesStale = true, true
	}
	if n.Region == m.self.region {
		return
	}
	for _, e := range m.table {
		if e.region == n.Region && !e.Gone && e.Generation < n.Generation && !slices.Contains(n.Except, e.shortID()) {
			e.Generation, e.Hash = n.Generation, 0
			m.viewLater = true
		}
	}
}

// detectRegions marks silent regions.
func (m *Machine) detectRegions(now time.Time) {
	for id, r := range m.regions {
		silent := id != m.self.region && now.Sub(r.lastNote) >= m.opts.RegionAfter
		if silent != r.silent {
			r.silent = silent
			m.viewStale, m.statesStale = true, true
		}
	}
}
