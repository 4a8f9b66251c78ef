package membership

import (
	"maps"
	"slices"
	"strings"
)

// View returns the current view. It returns the same value until the view changes.
func (m *StateMachine) View() *View {
	if m.view != nil && !m.viewStale {
		return m.view
	}
	m.viewStale = false
	m.viewBuiltAt = m.lastEvent
	v := &View{Self: m.self.Name, Version: 1}
	if m.view != nil {
		v.Version = m.view.Version + 1
	}
	v.Members = make([]Member, 0, len(m.table))
	for _, e := range m.membersByName() {
		if !e.Gone || e == m.self {
			v.Members = append(v.Members, m.toMember(e))
		}
	}
	m.view = v
	return v
}

// membersByName returns the table's entries by name. They are sorted again only after a member was added or
// removed, as views follow any change of a member.
func (m *StateMachine) membersByName() []*entry {
	if m.sortedTable == nil {
		m.sortedTable = slices.SortedFunc(maps.Values(m.table), func(a, b *entry) int { return strings.Compare(a.Name, b.Name) })
	}
	return m.sortedTable
}

func (m *StateMachine) toMember(e *entry) Member {
	return Member{
		Name: e.Name, Zone: e.Zone, Region: e.Region,
		PeerAddress: e.PeerAddress, CallerAddress: e.CallerAddress, Cores: e.Cores,
		Incarnation: e.Incarnation, Process: e.Process, State: m.memberState(e), Generation: e.Generation, Hash: e.Hash, RefusesKeys: e.RefusesKeys, Term: e.Term,
		Carries: e.Carries, Partitioned: e.Partitioned, GrantsTokens: e.GrantsTokens,
	}
}

// memberState returns a member's state: that of its record, or Suspect if it is alive but its region
// is silent.
func (m *StateMachine) memberState(e *entry) State {
	s := e.state()
	if s == Alive && e.Region != m.self.Region {
		if r := m.regions[e.region]; r != nil && r.silent {
			return Suspect
		}
	}
	return s
}

// reportStates emits an action for each member whose state changed.
func (m *StateMachine) reportStates() {
	if len(m.staleStates) == 0 {
		return
	}
	for name, e := range m.staleStates {
		s := m.memberState(e)
		if !e.isReported || e.reported != s {
			e.reported, e.isReported = s, true
			m.emit(ReportState{Name: name, State: s})
		}
	}
	clear(m.staleStates)
}

// markRegionStale requires the states of a region's members to be reported, and a new view.
func (m *StateMachine) markRegionStale(region uint32) {
	m.viewStale = true
	for name, e := range m.table {
		if e.region == region {
			m.staleStates[name] = e
		}
	}
}
