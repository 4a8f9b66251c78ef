package membership

import (
	"slices"
	"time"
)

// maxExceptions is the maximum number of members listed in RegionSummary.Exceptions.
const maxExceptions = 8

// regionState is the state of a region.
type regionState struct {
	RegionSummary
	lastSummary time.Time // receipt of the last summary
	changedAt   time.Time // last change of the summary's content
	silent      bool
	version     uint64
	source      *linkState
}

func (m *StateMachine) region(id uint32) *regionState {
	r, ok := m.regions[id]
	if !ok {
		r = &regionState{RegionSummary: RegionSummary{Region: id}}
		m.regions[id] = r
	}
	return r
}

// startRegionTimer starts the silence timer of a region when its first member becomes known.
func (m *StateMachine) startRegionTimer(id uint32, now time.Time) {
	if r := m.region(id); r.lastSummary.IsZero() {
		r.lastSummary = now
	}
}

// publishRegion publishes the summary of this daemon's region every RegionInterval if the daemon is
// a relay. Counters start at the wall clock in seconds, so that they increase across restarts of a
// whole region.
func (m *StateMachine) publishRegion(now time.Time) {
	if m.phase == PhaseJoining || !m.currentTopology().relay {
		return
	}
	r := m.region(m.self.region)
	publishEarly := m.latestGeneration > r.version && now.Sub(r.changedAt) >= m.opts.RegionInterval/maxEarlySummaries
	if now.Before(m.nextSummary) && !publishEarly {
		return
	}
	summary := RegionSummary{Region: m.self.region, Counter: max(r.Counter+1, uint64(now.Unix()))}
	summary.Generation, summary.Exceptions = m.summarize()
	if now.Before(m.nextSummary) && summary.sameAs(&r.RegionSummary) {
		return
	}
	m.nextSummary = now.Add(m.opts.RegionInterval)
	m.setSummary(r, &summary, nil, now)
}

// maxEarlySummaries is the maximum number of summaries per RegionInterval while generations change.
const maxEarlySummaries = 4

// sameAs reports whether two summaries have the same content.
func (s *RegionSummary) sameAs(o *RegionSummary) bool {
	return s.Generation == o.Generation && slices.Equal(s.Exceptions, o.Exceptions)
}

func (m *StateMachine) setSummary(r *regionState, summary *RegionSummary, source *linkState, now time.Time) {
	if !summary.sameAs(&r.RegionSummary) {
		r.changedAt = now
	}
	r.RegionSummary = *summary
	r.lastSummary = now
	m.version++
	r.version, r.source = m.version, source
}

// summarize returns the highest generation in the region and the members that do not have it yet. If
// there are more than maxExceptions of those, it returns the lowest generation instead.
func (m *StateMachine) summarize() (generation uint64, exceptions []uint32) {
	lowest := m.self.Generation
	for _, e := range m.currentTopology().ring {
		generation = max(generation, e.Generation)
		lowest = min(lowest, e.Generation)
	}
	for _, e := range m.currentTopology().ring {
		if e.Generation < generation {
			exceptions = append(exceptions, e.shortID())
		}
	}
	if len(exceptions) > maxExceptions {
		return lowest, nil
	}
	return generation, exceptions
}

// applyRegion applies a region's summary, if it is newer than the known one.
func (m *StateMachine) applyRegion(summary *RegionSummary, source *linkState, now time.Time) {
	r := m.region(summary.Region)
	if summary.Counter <= r.Counter {
		return
	}
	m.setSummary(r, summary, source, now)
	if r.silent {
		r.silent = false
		m.markRegionStale(summary.Region)
	}
	if summary.Region == m.self.region {
		return
	}
	for _, e := range m.table {
		if e.region == summary.Region && !e.Gone && e.Generation < summary.Generation && !slices.Contains(summary.Exceptions, e.shortID()) {
			e.Generation, e.Hash = summary.Generation, 0
			m.viewStaleAtTick = true
		}
	}
}

// detectRegions marks the regions whose summaries have been missing for RegionSuspectAfter as silent.
func (m *StateMachine) detectRegions(now time.Time) {
	for id, r := range m.regions {
		silent := id != m.self.region && now.Sub(r.lastSummary) >= m.opts.RegionSuspectAfter
		if silent != r.silent {
			r.silent = silent
			m.markRegionStale(id)
		}
	}
}
