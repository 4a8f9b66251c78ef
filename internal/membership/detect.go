package membership

import (
	"slices"
	"time"
)

// askBreadth is how many others are asked about a silent neighbor.
const askBreadth = 3

// detect looks for neighbors that are not heard of, and for members that were
// suspect for too long.
func (m *Machine) detect(now time.Time) {
	if m.phase == PhaseJoining {
		return
	}
	t := m.currentTopology()
	for _, name := range t.neighbors {
		e := m.table[name]
		silent := now.Sub(e.sign)
		switch {
		case e.Suspect || e.Gone:
		case silent >= m.opts.SuspectAfter:
			m.judge(e, now, func(r *Record) { r.Suspect = true })
		case silent >= m.opts.AskAfter:
			m.ask(e, now)
		}
	}
	m.judgeGone(t, now)
	m.detectRegions(now)
}

// judge applies a verdict of this daemon on another member.
func (m *Machine) judge(e *entry, now time.Time, verdict func(*Record)) {
	m.digest ^= e.Record.digest()
	verdict(&e.Record)
	m.digest ^= e.Record.digest()
	e.changed, e.suspectSince = now, now
	m.touchRecord(e, nil)
}

// ask lets other neighbors of a silent one tell when they heard it, which
// tells a lost way from a lost daemon.
func (m *Machine) ask(e *entry, now time.Time) {
	helpers := neighborsOf(e.Name, m.currentTopology().ring, m.opts.MeshSize)
	m.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	asked := 0
	for _, name := range helpers {
		h := m.table[name]
		if name == m.self.Name || h.Suspect || asked == askBreadth {
			continue
		}
		asked++
		l := m.link(name)
		if l.sent == now {
			continue
		}
		m.send(l, now)
		hb := m.actions[len(m.actions)-1].(SendHeartbeat).Heartbeat
		hb.Ask = append(hb.Ask, e.Name)
	}
}

// addSigns answers the questions of a peer with what was heard directly.
func (m *Machine) addSigns(hb *Heartbeat, l *linkState, now time.Time) {
	for _, name := range l.asks {
		e, direct := m.table[name], m.links[name]
		if e == nil || direct == nil || !direct.everHeard {
			continue
		}
		age := now.Sub(direct.heard)
		if age < m.opts.SuspectAfter {
			hb.Heard = append(hb.Heard, Sign{name, e.Incarnation, uint32(age.Milliseconds())})
		}
	}
	l.asks = l.asks[:0]
}

func (m *Machine) takeSigns(hb *Heartbeat, now time.Time) {
	for _, s := range hb.Heard {
		e := m.table[s.Name]
		if e == nil || e.Incarnation != s.Incarnation {
			continue
		}
		if at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond); at.After(e.sign) {
			e.sign = at
		}
	}
}

// judgeGone ends members of the own region that were suspect for too long.
// Members of other regions are judged by those regions: a region that is cut
// off is suspect, not gone. A daemon that hears less than half of those it
// should hear takes itself for cut off and judges nobody; when it hears them
// again, the suspects have all their time to refute.
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

// isolated reports whether most of those that should be heard are silent. A
// daemon with a single partner cannot tell and never calls itself isolated.
func (m *Machine) isolated(t *topology, now time.Time) bool {
	if len(t.targets) < 2 {
		return false
	}
	heard := 0
	for _, name := range t.targets {
		if l := m.links[name]; l != nil && l.everHeard && now.Sub(l.heard) < m.opts.SuspectAfter+m.interval(name) {
			heard++
		}
	}
	return 2*heard < len(t.targets)
}

// expireInterval is how often expire looks through the table.
const expireInterval = time.Second

// expire forgets gone members, members of regions silent for long, and links
// that are no longer used.
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
		lost := e.Region != m.self.Region && region != nil && now.Sub(region.heard) > m.opts.ForgetAfter
		if e.Gone && now.Sub(e.changed) > m.opts.TombstoneAfter || lost {
			m.forget(name, e, lost)
		}
	}
	targets := m.currentTopology().targets
	for name, l := range m.links {
		quiet := now.Sub(l.heard) > m.opts.ForgetAfter && now.Sub(l.sent) > m.opts.ForgetAfter
		if quiet && !slices.Contains(targets, name) {
			delete(m.links, name)
		}
	}
}

// forget takes a member out of the table. One that may live is kept as a
// candidate, so that the parts of the fleet find each other again.
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
