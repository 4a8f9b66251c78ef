package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// linkState is the state of the exchange with one daemon.
type linkState struct {
	peer         string
	epoch        uint64 // of the peer's process
	lastReceived time.Time
	received     bool
	sent         time.Time
	since        time.Time // first heartbeat sent
	due          time.Time // of the next heartbeat
	acked        uint64    // version of the own table that the peer acknowledged
	flying       uint64    // version up to which changes are in flight
	flyingSince  time.Time // latest sending time of the oldest of them
	wanted       bool      // the peer counts this daemon as a partner
	knownVersion uint64    // version that the peer has by its table hash
	merged       uint64    // version of the peer's table merged here
	oneWay       bool      // the peer does not receive our heartbeats
	probes       []string  // members that it asks evidence for
	requestedAt  time.Time // last request of its table
	different    int       // consecutive heartbeats with another table hash
	healAt       int       // value of different that resends the table
}

// urgentGap is the shortest time between two heartbeats to a daemon, used for urgent changes.
const urgentGap = 50 * time.Millisecond

func (m *Machine) link(peer string) *linkState {
	l, ok := m.links[peer]
	if !ok {
		l = m.newLink(peer)
	}
	return l
}

// newLink starts the exchange with a peer, which is assumed to have the present table after it
// joined. compareTables corrects it.
func (m *Machine) newLink(peer string) *linkState {
	l := &linkState{peer: peer, knownVersion: m.version, healAt: healAfter}
	m.links[peer] = l
	return l
}

// Receive handles a heartbeat.
func (m *Machine) Receive(now time.Time, from string, hb *Heartbeat) []Action {
	m.begin(now)
	if m.phase == PhaseLeft || from == m.self.Name {
		return m.end()
	}
	if e := m.table[from]; e != nil && hb.Incarnation() < e.Incarnation {
		return m.end() // from an ended process
	}
	l := m.link(from)
	if l.epoch != hb.Epoch {
		since := l.since
		l = m.newLink(from)
		l.epoch, l.since = hb.Epoch, since
	}
	l.lastReceived, l.received, l.wanted = now, true, hb.Wanted
	m.applyAck(l, hb, now)
	m.applyChanges(l, hb, now)
	m.applySender(l, hb, now)
	m.applyEvidence(hb, now)
	l.probes = append(l.probes[:0], hb.Probes...)
	if len(l.probes) > 0 {
		l.due = now
	}
	m.recordOneWay(l, hb, now)
	m.sendDue(now)
	return m.end()
}

func (m *Machine) applyAck(l *linkState, hb *Heartbeat, now time.Time) {
	if hb.AckEpoch == uint32(m.epoch) && hb.Ack > l.acked && hb.Ack <= m.version {
		l.acked = hb.Ack
		l.flyingSince = now
	}
}

// applyChanges merges changes. The acknowledgment advances only without gaps.
func (m *Machine) applyChanges(l *linkState, hb *Heartbeat, now time.Time) {
	for i := range hb.Records {
		m.merge(&hb.Records[i], l, now)
	}
	for _, n := range hb.Notes {
		for _, id := range n.Members {
			if e := m.byID[id]; e != nil && !e.Gone {
				m.mergeGeneration(e, e.Incarnation, n.Generation, 0, l)
			}
		}
	}
	for i := range hb.Regions {
		m.applyRegion(&hb.Regions[i], l, now)
	}
	if hb.Base <= l.merged && hb.Version > l.merged {
		l.merged = hb.Version
	}
}

// applySender applies the sender's own state.
func (m *Machine) applySender(l *linkState, hb *Heartbeat, now time.Time) {
	e := m.table[l.peer]
	if e == nil {
		m.requestTable(l, now)
		return
	}
	if e.Incarnation != hb.Incarnation() {
		return
	}
	e.lastAlive = now
	m.mergeGeneration(e, hb.Incarnation(), hb.Generation, hb.Hash, l)
	if e.Generation == hb.Generation && e.Hash != hb.Hash {
		e.Hash = hb.Hash
		m.viewLater = true
	}
	m.compareTables(l, hb)
}

// requestTable requests the table of an unknown sender.
func (m *Machine) requestTable(l *linkState, now time.Time) {
	if m.phase != PhaseMember || now.Sub(l.requestedAt) < m.opts.JoinInterval {
		return
	}
	l.requestedAt = now
	m.act(CallJoin{Candidate: Candidate{Name: l.peer}, Request: JoinRequest{Record: m.self.Record}})
}

// healAfter is the initial number of consecutive heartbeats with another table hash after which the
// whole table is sent again. It doubles each time.
const healAfter = 8

// compareTables skips records that the peer has by its table hash, and resends all if the tables
// stay different.
func (m *Machine) compareTables(l *linkState, hb *Heartbeat) {
	if hb.TableHash == uint32(m.digest) {
		l.knownVersion = m.version
		l.different, l.healAt = 0, healAfter
		return
	}
	l.different++
	if l.different > l.healAt {
		l.acked, l.knownVersion, l.flying = 0, 0, 0
		l.different, l.healAt = 0, 2*l.healAt
	}
}

// recordOneWay detects a one-way link: heartbeats are sent for long but not received.
func (m *Machine) recordOneWay(l *linkState, hb *Heartbeat, now time.Time) {
	limit := m.opts.SuspectAfter + m.opts.RelayInterval
	missed := time.Duration(hb.ReceivedAgoMS)*time.Millisecond > limit
	tried := !l.since.IsZero() && now.Sub(l.since) > limit
	oneWay := missed && tried
	if oneWay != l.oneWay {
		l.oneWay = oneWay
		m.act(ReportOneWay{Peer: l.peer, Over: !oneWay})
	}
}

// sendDue sends due heartbeats: to the partners, and to daemons that count this one as theirs.
func (m *Machine) sendDue(now time.Time) {
	if m.phase == PhaseJoining {
		return
	}
	t := m.currentTopology()
	for _, name := range t.targets {
		l := m.link(name)
		if m.isDue(l, now) {
			m.send(l, now)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.links)) {
		l := m.links[name]
		active := l.wanted && now.Sub(l.lastReceived) <= m.activeFor()
		if active && !slices.Contains(t.targets, name) && m.isDue(l, now) {
			m.send(l, now)
		}
	}
}

// activeFor is how long a silent sender is still answered.
func (m *Machine) activeFor() time.Duration { return 2 * m.opts.RelayInterval }

func (m *Machine) isDue(l *linkState, now time.Time) bool {
	if !now.Before(l.due) {
		return true
	}
	return now.Sub(l.sent) >= urgentGap && m.hasNews(l)
}

// hasNews reports whether urgent changes wait for the peer: a record, a probe or the generation of
// a region.
func (m *Machine) hasNews(l *linkState) bool {
	if len(l.probes) > 0 {
		return true
	}
	for _, r := range m.regions {
		if r.version > l.acked && r.source != l && r.changed.After(l.sent) {
			return true
		}
	}
	known := max(l.acked, l.knownVersion)
	if known >= m.news.record {
		return false
	}
	for _, e := range m.table {
		if e.recordVersion > known && e.recordSource != l && e.changed.After(l.sent) {
			return true
		}
	}
	return false
}

// sendAll sends a heartbeat to all known daemons.
func (m *Machine) sendAll(now time.Time) {
	for _, l := range m.links {
		if l.received {
			m.send(l, now)
		}
	}
}

// interval returns the time between heartbeats to a daemon.
func (m *Machine) interval(peer string) time.Duration {
	if e := m.table[peer]; e != nil && e.Region != m.self.Region {
		return m.opts.RelayInterval
	}
	return m.opts.HeartbeatInterval
}

func (m *Machine) send(l *linkState, now time.Time) {
	hb := &Heartbeat{
		Epoch:         m.epoch,
		Renewed:       m.self.Incarnation - m.epoch,
		Generation:    m.self.Generation,
		Hash:          m.self.Hash,
		TableHash:     uint32(m.digest),
		ReceivedAgoMS: neverReceived,
		AckEpoch:      uint32(l.epoch),
		Ack:           l.merged,
		Base:          m.sendFrom(l, now),
		Wanted:        slices.Contains(m.currentTopology().targets, l.peer),
	}
	if l.received {
		hb.ReceivedAgoMS = uint32(now.Sub(l.lastReceived).Milliseconds())
	}
	m.addChanges(hb, l)
	m.addEvidence(hb, l, now)
	l.sent = now
	if l.since.IsZero() {
		l.since = now
	}
	l.due = now.Add(m.jitter(m.interval(l.peer)))
	m.act(SendHeartbeat{To: l.peer, Heartbeat: hb})
}

// resendIntervals is the number of unacknowledged heartbeats after which changes are resent.
const resendIntervals = 2

// sendFrom returns the version after which changes are sent. Those in flight are not resent before
// their acknowledgment is late.
func (m *Machine) sendFrom(l *linkState, now time.Time) uint64 {
	late := now.Sub(l.flyingSince) > resendIntervals*m.interval(l.peer)
	if l.flying > l.acked && !late {
		return l.flying
	}
	l.flyingSince = now
	return l.acked
}

// jitterFraction is the largest reduction of an interval, against synchronized heartbeats.
const jitterFraction = 0.1

func (m *Machine) jitter(d time.Duration) time.Duration {
	return d - time.Duration(m.random.Float64()*jitterFraction*float64(d))
}

// addChanges adds the changes since the peer's acknowledgment, oldest first, up to the limit.
func (m *Machine) addChanges(hb *Heartbeat, l *linkState) {
	hb.Version = m.version
	if hb.Base >= m.version {
		return
	}
	changed := m.changedSince(l, hb.Base)
	if len(changed) > m.opts.MaxRecords {
		changed = changed[:m.opts.MaxRecords]
		hb.Version = changed[len(changed)-1].version
	}
	l.flying = hb.Version
	for _, c := range changed {
		switch {
		case c.region != nil:
			hb.Regions = append(hb.Regions, c.region.RegionNote)
		case c.note:
			hb.addNote(&c.entry.Record)
		default:
			hb.Records = append(hb.Records, c.entry.Record)
		}
	}
}

// addNote adds the generation of a member.
func (h *Heartbeat) addNote(r *Record) {
	for i := range h.Notes {
		if h.Notes[i].Generation == r.Generation {
			h.Notes[i].Members = append(h.Notes[i].Members, r.shortID())
			return
		}
	}
	h.Notes = append(h.Notes, Note{r.Generation, []uint32{r.shortID()}})
}

// change is a changed item of the table.
type change struct {
	version uint64
	entry   *entry
	note    bool
	region  *regionState
}

func (m *Machine) changedSince(l *linkState, from uint64) []change {
	var out []change
	if max(m.news.record, m.news.note) > from {
		out = m.changedMembers(l, from)
	}
	for _, r := range m.regions {
		if r.version > from && r.source != l && r.Beat > 0 {
			out = append(out, change{version: r.version, region: r})
		}
	}
	slices.SortFunc(out, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	return out
}

// changedMembers returns changed records, and for a peer of the region changed generations.
func (m *Machine) changedMembers(l *linkState, from uint64) (out []change) {
	local := m.isLocal(l.peer)
	for _, e := range m.table {
		if e.recordVersion > max(from, l.knownVersion) && e.recordSource != l {
			out = append(out, change{version: e.recordVersion, entry: e})
		}
		if local && e.noteVersion > from && e.noteSource != l && e.Region == m.self.Region {
			out = append(out, change{version: e.noteVersion, entry: e, note: true})
		}
	}
	return out
}

func (m *Machine) isLocal(peer string) bool {
	e := m.table[peer]
	return e != nil && e.Region == m.self.Region
}
