package membership

import (
	"slices"
	"time"
)

// indirectProbes is the number of VMs asked about a silent neighbor.
const indirectProbes = 3

// detect marks silent neighbors suspect and long suspects gone.
func (m *Machine) detect(now time.Time) {
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
			m.judge(e, now, func(r *Record) { r.Suspect = true })
		case silent >= m.opts.ProbeAfter:
			m.probeIndirectly(e, now)
		}
	}
	m.judgeGone(t, now)
	m.detectRegions(now)
}

// judge applies this daemon's verdict on a member.
func (m *Machine) judge(e *entry, now time.Time, verdict func(*Record)) {
	m.digest ^= e.Record.digest()
	verdict(&e.Record)
	m.digest ^= e.Record.digest()
	e.changed, e.suspectSince = now, now
	m.touchRecord(e, nil)
}

// probeIndirectly asks a silent neighbor's other neighbors for evidence that it is alive, to distinguish
// a failed link from a failed daemon.
func (m *Machine) probeIndirectly(e *entry, now time.Time) {
	helpers := neighborsOf(e.Name, m.currentTopology().ring, m.opts.MeshSize)
	m.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	asked := 0
	for _, name := range helpers {
		h := m.table[name]
		if name == m.self.Name || h.Suspect || asked == indirectProbes {
			continue
		}
		asked++
		l := m.link(name)
		if l.sent == now {
			continue
		}
		m.send(l, now)
		hb := m.actions[len(m.actions)-1].(SendHeartbeat).Heartbeat
		hb.Probes = append(hb.Probes, e.Name)
	}
}

// addEvidence answers a peer's probes from direct heartbeats.
func (m *Machine) addEvidence(hb *Heartbeat, l *linkState, now time.Time) {
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

func (m *Machine) applyEvidence(hb *Heartbeat, now time.Time) {
	for _, s := range hb.Evidence {
		e := m.table[s.Name]
		if e == nil || e.Incarnation != s.Incarnation {
			continue
		}
		if at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond); at.After(e.lastAlive) {
			e.lastAlive = at
		}
	}
}

// judgeGone marks long suspects of the own region gone. A region that is cut off stays suspect,
// as only its own members judge it. A daemon that receives less than half of its heartbeats
// takes itself for isolated and judges nobody until it recovers.
func (m *Machine) judgeGone(t *topology, now time.Time) {
	patience := m.opts.GoneAfter - m.opts.SuspectAfter
	isolated := m.isolated(t, now)
	for _, e := range t.ring {
		switch {
		case !e.Suspect || e.Gone:
		case isolated:
			e.suspectSince = now
		case now.Sub(e.suspectSince) >= patience:
			m.judge(e, now, func(r *Record) { r.Gone = true })
		}
	}
}

// isolated reports whether most expected heartbeats are missing. With a single partner that
// is undecidable.
func (m *Machine) isolated(t *topology, now time.Time) bool {
	if len(t.targets) < 2 {
		return false
	}
	received := 0
	for _, name := range t.targets {
		if l := m.links[name]; l != nil && l.received && now.Sub(l.lastReceived) < m.opts.SuspectAfter+m.interval(name) {
			received++
		}
	}
	return 2*received < len(t.targets)
}

// expireInterval is the interval of expire.
const expireInterval = time.Second

// expire forgets gone members, members of long silent regions and unused links.
func (m *Machine) expire(now time.Time) {
	if now.Before(m.nextExpire) {
		return
	}
	m.nextExpire = now.Add(expireInterval)
	for name, e := range m.table {
		if e == m.self {
			continue
		}
		region := m.regions[e.region]
		lost := e.Region != m.self.Region && region != nil && now.Sub(region.lastNote) > m.opts.ForgetAfter
		if e.Gone && now.Sub(e.changed) > m.opts.TombstoneAfter || lost {
			m.forget(name, e, lost)
		}
	}
	targets := m.currentTopology().targets
	for name, l := range m.links {
		quiet := now.Sub(l.lastReceived) > m.opts.ForgetAfter && now.Sub(l.sent) > m.opts.ForgetAfter
		if quiet && !slices.Contains(targets, name) {
			delete(m.links, name)
		}
	}
}

// forget removes a member. One that may be alive stays a candidate, so that a split fleet merges
// again.
func (m *Machine) forget(name string, e *entry, mayLive bool) {
	m.digest ^= e.Record.digest()
	delete(m.table, name)
	delete(m.byID, e.shortID())
	m.version++
	m.topologyStale, m.viewStale = true, true
	m.act(LearnAddress{VM: name})
	if mayLive && !e.Gone {
		m.lost = append(m.lost, Candidate{Name: name, Address: e.PeerAddress})
	}
}
