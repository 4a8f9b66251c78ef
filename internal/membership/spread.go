package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// linkState is what is known of the exchange with one other daemon.
type linkState struct {
	peer        string
	epoch       uint64 // of the peer's process
	heard       time.Time
	everHeard   bool
	sent        time.Time
	since       time.Time // first heartbeat sent
	due         time.Time // of the next heartbeat
	acked       uint64    // version of the own table that the peer has
	flying      uint64    // version up to which changes are on the way
	flyingSince time.Time // when the oldest of them was sent, at most
	wanted      bool      // the peer holds this daemon for a partner
	skip        uint64    // records up to this version are with the peer, by its table hash
	merged      uint64    // version of the peer's table that is merged here
	oneWay      bool      // it is heard, but does not hear this daemon
	asks        []string  // members it asks about
	met         time.Time // when it was last asked for its table
	different   int       // heartbeats in a row that showed another table
	patience    int       // how many of them are borne
}

// urgentGap is the least time between two heartbeats to one daemon when there
// is news.
const urgentGap = 50 * time.Millisecond

func (m *Machine) link(peer string) *linkState {
	l, ok := m.links[peer]
	if !ok {
		l = m.newLink(peer)
	}
	return l
}

// newLink starts the exchange with a peer. It is taken to have the records
// that are here, as it has after it joined; compareTables finds out if not.
func (m *Machine) newLink(peer string) *linkState {
	l := &linkState{peer: peer, skip: m.version, patience: healAfter}
	m.links[peer] = l
	return l
}

// Receive takes in a heartbeat.
func (m *Machine) Receive(now time.Time, from string, hb *Heartbeat) []Action {
	m.begin(now)
	if m.phase == PhaseLeft || from == m.self.Name {
		return m.end()
	}
	if e := m.table[from]; e != nil && hb.Incarnation() < e.Incarnation {
		return m.end() // of a process that is no more
	}
	l := m.link(from)
	if l.epoch != hb.Epoch {
		since := l.since
		l = m.newLink(from)
		l.epoch, l.since = hb.Epoch, since
	}
	l.heard, l.everHeard, l.wanted = now, true, hb.Wanted
	m.takeAck(l, hb, now)
	m.takeChanges(l, hb, now)
	m.takeSender(l, hb, now)
	m.takeSigns(hb, now)
	l.asks = append(l.asks[:0], hb.Ask...)
	if len(l.asks) > 0 {
		l.due = now
	}
	m.noteOneWay(l, hb, now)
	m.sendDue(now)
	return m.end()
}

func (m *Machine) takeAck(l *linkState, hb *Heartbeat, now time.Time) {
	if hb.AckEpoch == uint32(m.epoch) && hb.Ack > l.acked && hb.Ack <= m.version {
		l.acked = hb.Ack
		l.flyingSince = now
	}
}

// takeChanges merges what is new. The acknowledgment rises only when nothing
// between is missing.
func (m *Machine) takeChanges(l *linkState, hb *Heartbeat, now time.Time) {
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
		m.takeRegion(&hb.Regions[i], l, now)
	}
	if hb.Base <= l.merged && hb.Version > l.merged {
		l.merged = hb.Version
	}
}

// takeSender takes in what the sender says of itself by sending.
func (m *Machine) takeSender(l *linkState, hb *Heartbeat, now time.Time) {
	e := m.table[l.peer]
	if e == nil {
		m.meet(l, now)
		return
	}
	if e.Incarnation != hb.Incarnation() {
		return
	}
	e.sign = now
	m.mergeGeneration(e, hb.Incarnation(), hb.Generation, hb.Hash, l)
	if e.Generation == hb.Generation && e.Hash != hb.Hash {
		e.Hash = hb.Hash
		m.viewLater = true
	}
	m.compareTables(l, hb)
}

// meet asks a sender that is not in the table for its own, which it takes to
// be known here.
func (m *Machine) meet(l *linkState, now time.Time) {
	if m.phase != PhaseMember || now.Sub(l.met) < m.opts.JoinInterval {
		return
	}
	l.met = now
	m.act(CallJoin{Candidate: Candidate{Name: l.peer}, Request: JoinRequest{Record: m.self.Record}})
}

// healAfter is how many heartbeats in a row may show another table before all
// of it is sent again. It doubles each time.
const healAfter = 8

// compareTables skips records that the peer has, as equal hashes show, and
// sends all again when the tables stay different.
func (m *Machine) compareTables(l *linkState, hb *Heartbeat) {
	if hb.TableHash == uint32(m.digest) {
		l.skip = m.version
		l.different, l.patience = 0, healAfter
		return
	}
	l.different++
	if l.different > l.patience {
		l.acked, l.skip, l.flying = 0, 0, 0
		l.different, l.patience = 0, 2*l.patience
	}
}

// noteOneWay compares what the peer heard with what was sent to it.
func (m *Machine) noteOneWay(l *linkState, hb *Heartbeat, now time.Time) {
	limit := m.opts.SuspectAfter + m.opts.RelayInterval
	deaf := time.Duration(hb.HeardMS)*time.Millisecond > limit
	tried := !l.since.IsZero() && now.Sub(l.since) > limit
	oneWay := deaf && tried
	if oneWay != l.oneWay {
		l.oneWay = oneWay
		m.act(ReportOneWay{Peer: l.peer, Over: !oneWay})
	}
}

// sendDue sends the heartbeats that are due: those of the topology, and those
// to daemons that send here and so hold this one for their neighbor.
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
		active := l.wanted && now.Sub(l.heard) <= m.activeFor()
		if active && !slices.Contains(t.targets, name) && m.isDue(l, now) {
			m.send(l, now)
		}
	}
}

// activeFor is how long a daemon that stopped sending here is still answered.
func (m *Machine) activeFor() time.Duration { return 2 * m.opts.RelayInterval }

func (m *Machine) isDue(l *linkState, now time.Time) bool {
	if !now.Before(l.due) {
		return true
	}
	return now.Sub(l.sent) >= urgentGap && m.hasNews(l)
}

// hasNews reports whether a record, another generation of a region, or a
// question waits for the peer. Other notes wait for the next heartbeat.
func (m *Machine) hasNews(l *linkState) bool {
	if len(l.asks) > 0 {
		return true
	}
	for _, r := range m.regions {
		if r.version > l.acked && r.source != l && r.changed.After(l.sent) {
			return true
		}
	}
	known := max(l.acked, l.skip)
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

// sendAll sends a heartbeat to all who know this daemon.
func (m *Machine) sendAll(now time.Time) {
	for _, l := range m.links {
		if l.everHeard {
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
		Epoch:      m.epoch,
		Renewed:    m.self.Incarnation - m.epoch,
		Generation: m.self.Generation,
		Hash:       m.self.Hash,
		TableHash:  uint32(m.digest),
		HeardMS:    neverHeard,
		AckEpoch:   uint32(l.epoch),
		Ack:        l.merged,
		Base:       m.sendFrom(l, now),
		Wanted:     slices.Contains(m.currentTopology().targets, l.peer),
	}
	if l.everHeard {
		hb.HeardMS = uint32(now.Sub(l.heard).Milliseconds())
	}
	m.addChanges(hb, l)
	m.addSigns(hb, l, now)
	l.sent = now
	if l.since.IsZero() {
		l.since = now
	}
	l.due = now.Add(m.jitter(m.interval(l.peer)))
	m.act(SendHeartbeat{To: l.peer, Heartbeat: hb})
}

// resendIntervals is after how many heartbeats without an acknowledgment
// changes are sent again.
const resendIntervals = 2

// sendFrom returns the version after which changes are to be sent: what is on
// the way is not sent again before its acknowledgment is late.
func (m *Machine) sendFrom(l *linkState, now time.Time) uint64 {
	late := now.Sub(l.flyingSince) > resendIntervals*m.interval(l.peer)
	if l.flying > l.acked && !late {
		return l.flying
	}
	l.flyingSince = now
	return l.acked
}

// jitterFraction is how much an interval may be shorter, so that heartbeats of
// daemons do not fall into step.
const jitterFraction = 0.1

func (m *Machine) jitter(d time.Duration) time.Duration {
	return d - time.Duration(m.random.Float64()*jitterFraction*float64(d))
}

// addChanges puts into a heartbeat what changed since the peer's
// acknowledgment, oldest first, up to the bound.
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

// change is one changed item of the table.
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

// changedMembers returns the changed records, and for a peer of the region the
// changed generations.
func (m *Machine) changedMembers(l *linkState, from uint64) (out []change) {
	local := m.isLocal(l.peer)
	for _, e := range m.table {
		if e.recordVersion > max(from, l.skip) && e.recordSource != l {
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
