package membership

import (
	"time"
)

// indirectProbes is the number of VMs that are asked for evidence about a silent neighbor.
const indirectProbes = 3

// detect marks silent neighbors as suspect, and members that were suspect for too long as gone.
func (m *StateMachine) detect(now time.Time) {
	if m.phase == PhaseJoining {
		return
	}
	t := m.currentTopology()
	for _, name := range t.neighbors {
		e := m.table[name]
		silent := now.Sub(e.lastAlive)
		switch {
		case e.Suspect || e.Gone:
		case silent >= m.opts.SuspectAfter:
			m.changeMember(e, now, func(r *Record) { r.Suspect = true })
		case silent >= m.opts.ProbeAfter:
			m.probeIndirectly(e, now)
		}
	}
	m.markGone(t, now)
	m.detectRegions(now)
}

// changeMember changes the record of another member, to mark it suspect or gone.
func (m *StateMachine) changeMember(e *entry, now time.Time, change func(*Record)) {
	m.toggle(&e.Record)
	change(&e.Record)
	m.toggle(&e.Record)
	e.changedAt, e.suspectSince = now, now
	m.markRecordChanged(e, nil)
}

// probeIndirectly asks other neighbors of a silent neighbor for evidence that it is alive, to
// distinguish a failed link from a failed daemon.
func (m *StateMachine) probeIndirectly(e *entry, now time.Time) {
	probers := neighborsOf(e.Name, m.currentTopology().ring, m.opts.MeshSize)
	m.random.Shuffle(len(probers), func(i, j int) { probers[i], probers[j] = probers[j], probers[i] })
	chosen := 0
	for _, name := range probers {
		prober := m.table[name]
		if name == m.self.Name || prober.Suspect || chosen == indirectProbes {
			continue
		}
		chosen++
		l := m.link(name)
		if l.lastSent == now {
			continue
		}
		m.send(l, now)
		hb := m.actions[len(m.actions)-1].(SendHeartbeat).Heartbeat
		hb.Probes = append(hb.Probes, e.Name)
	}
}

// addEvidence answers a peer's probes, based on heartbeats that this daemon received directly.
func (m *StateMachine) addEvidence(hb *Heartbeat, l *linkState, now time.Time) {
	for _, name := range l.probes {
		e, direct := m.table[name], m.links[name]
		if e == nil || direct == nil || !direct.received {
			continue
		}
		age := now.Sub(direct.lastReceived)
		if age < m.opts.SuspectAfter {
			hb.Evidence = append(hb.Evidence, AliveEvidence{name, e.Incarnation, uint32(age.Milliseconds())})
		}
	}
	l.probes = l.probes[:0]
}

func (m *StateMachine) applyEvidence(hb *Heartbeat, now time.Time) {
	for _, ev := range hb.Evidence {
		e := m.table[ev.Name]
		if e == nil || e.Incarnation != ev.Incarnation {
			continue
		}
		if aliveAt := now.Add(-time.Duration(ev.AgeMS) * time.Millisecond); aliveAt.After(e.lastAlive) {
			e.lastAlive = aliveAt
		}
	}
}

// markGone marks members of this daemon's region as gone if they were suspect for too long. Members
// of an unreachable region stay suspect, because only members of the same region mark each other as
// gone. A daemon that receives heartbeats from less than half of its partners considers itself
// isolated and marks no member as gone until it recovers.
func (m *StateMachine) markGone(t *topology, now time.Time) {
	timeout := m.opts.GoneAfter - m.opts.SuspectAfter
	isolated := m.isolated(t, now)
	for _, e := range t.ring {
		switch {
		case !e.Suspect || e.Gone:
		case isolated:
			e.suspectSince = now
		case now.Sub(e.suspectSince) >= timeout:
			m.changeMember(e, now, func(r *Record) { r.Gone = true })
		}
	}
}

// isolated reports whether the heartbeats of most partners are missing. With a single partner it
// returns false, because a failed partner cannot be distinguished from isolation.
func (m *StateMachine) isolated(t *topology, now time.Time) bool {
	if len(t.partners) < 2 {
		return false
	}
	received := 0
	for _, name := range t.partners {
		if l := m.links[name]; l != nil && l.received && now.Sub(l.lastReceived) < m.opts.SuspectAfter+m.interval(name) {
			received++
		}
	}
	return 2*received < len(t.partners)
}

// expireInterval is the minimum time between runs of expire.
const expireInterval = time.Second

// expire removes gone members, members of regions that have been silent for long, and unused links.
func (m *StateMachine) expire(now time.Time) {
	if now.Before(m.nextExpire) {
		return
	}
	m.nextExpire = now.Add(expireInterval)
	for name, e := range m.table {
		if e == m.self {
			continue
		}
		region := m.regions[e.region]
		regionLost := e.Region != m.self.Region && region != nil && now.Sub(region.lastSummary) > m.opts.ForgetAfter
		if e.Gone && now.Sub(e.changedAt) > m.opts.TombstoneTTL || regionLost {
			m.forget(name, e, regionLost)
		}
	}
	for name, l := range m.links {
		unused := now.Sub(l.lastReceived) > m.opts.ForgetAfter && now.Sub(l.lastSent) > m.opts.ForgetAfter
		if unused && !m.isPartner(name) {
			delete(m.links, name)
		}
	}
}

// forget removes a member. If it may be alive it remains a join candidate, so that a partitioned
// fleet merges again.
func (m *StateMachine) forget(name string, e *entry, mayBeAlive bool) {
	m.toggle(&e.Record)
	delete(m.table, name)
	m.sortedTable = nil
	delete(m.byID, e.shortID())
	m.version++
	delete(m.staleStates, name)
	e.recordVersion, e.generationVersion = 0, 0 // outdates the member's changes in the logs
	m.topologyInvalid, m.viewStale = true, true
	m.emit(SetPeerAddress{VM: name})
	if mayBeAlive && !e.Gone {
		m.forgotten = append(m.forgotten, Candidate{Name: name, Address: e.PeerAddress})
	}
}
