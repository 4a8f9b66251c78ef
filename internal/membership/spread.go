package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// linkState is the state of the heartbeat exchange with one peer.
type linkState struct {
	peer              string
	bit               uint64 // identifies the link in entry.knownBy; 0: none
	epoch             uint64 // of the peer's process
	lastReceived      time.Time
	received          bool
	lastSent          time.Time
	firstSent         time.Time
	nextSend          time.Time
	ackedVersion      uint64    // version of this daemon's table that the peer has acknowledged
	inFlightVersion   uint64    // version up to which changes have been sent
	inFlightSince     time.Time // last time at which the oldest unacknowledged change was sent
	expectsHeartbeats bool      // the peer counts this daemon among its heartbeat partners
	knownVersion      uint64    // version up to which the peer has all records, judged by its table hash
	mergedVersion     uint64    // version of the peer's table merged into this daemon's
	oneWay            bool      // the peer does not receive our heartbeats
	probes            []string  // members for which the peer requests evidence
	unknownSince      time.Time // first heartbeat of a peer that is not a known member; zero: none
	hashMismatches    int       // consecutive heartbeats with another table hash
	resendTableAt     int       // value of hashMismatches above which the table is resent
	sendBuckets       bool      // the next heartbeat contains the hashes of the buckets
	differing         uint64    // bit set of the buckets whose records are to be sent
}

// minUrgentInterval is the minimum time between heartbeats to a peer that carry urgent changes.
const minUrgentInterval = 50 * time.Millisecond

func (m *StateMachine) link(peer string) *linkState {
	l, ok := m.links[peer]
	if !ok {
		l = m.newLink(peer)
	}
	return l
}

// newLink starts the exchange with a peer. A peer that has joined is assumed to have the current
// table; compareTables corrects that assumption.
func (m *StateMachine) newLink(peer string) *linkState {
	delete(m.links, peer)
	l := &linkState{peer: peer, bit: m.freeLinkBit(), knownVersion: m.version, resendTableAt: initialResendTableAt}
	m.links[peer] = l
	return l
}

// freeLinkBit returns a bit that no link uses, or 0 if there is none.
func (m *StateMachine) freeLinkBit() uint64 {
	used := uint64(0)
	for _, l := range m.links {
		used |= l.bit
	}
	free := ^used & (used + 1)
	if free != 0 {
		for _, e := range m.table {
			e.knownBy &^= free
		}
	}
	return free
}

// isPartner reports whether a peer is one of this daemon's heartbeat partners. Others, which count this daemon
// among theirs while their tables differ, get heartbeats, and records only by the comparison of buckets: while a
// fleet starts, hundreds of daemons know only a few others and take them for their neighbors.
func (m *StateMachine) isPartner(peer string) bool {
	return slices.Contains(m.currentTopology().partners, peer)
}

// isKnownTo reports whether the peer of a link has sent the record itself.
func (e *entry) isKnownTo(l *linkState) bool { return e.recordSource == l || e.knownBy&l.bit != 0 }

// Receive processes a heartbeat.
func (m *StateMachine) Receive(now time.Time, from string, hb *Heartbeat) []Action {
	m.begin(now)
	if m.phase == PhaseLeft || from == m.self.Name {
		return m.end()
	}
	if e := m.table[from]; e != nil && hb.Incarnation() < e.Incarnation {
		return m.end() // sent by a process that has ended
	}
	l := m.link(from)
	if l.epoch != hb.Epoch {
		firstSent := l.firstSent
		l = m.newLink(from)
		l.epoch, l.firstSent = hb.Epoch, firstSent
	}
	l.lastReceived, l.received, l.expectsHeartbeats = now, true, hb.ExpectsHeartbeats
	m.applyAck(l, hb, now)
	m.applyChanges(l, hb, now)
	m.applySender(l, hb, now)
	m.applyEvidence(hb, now)
	l.probes = append(l.probes[:0], hb.Probes...)
	if len(l.probes) > 0 {
		l.nextSend = now
	}
	m.detectOneWay(l, hb, now)
	m.sendDue(now)
	return m.end()
}

func (m *StateMachine) applyAck(l *linkState, hb *Heartbeat, now time.Time) {
	if hb.AckEpoch == uint32(m.epoch) && hb.Ack > l.ackedVersion && hb.Ack <= m.version {
		l.ackedVersion = hb.Ack
		l.inFlightSince = now
	}
}

// applyChanges merges the peer's changes. The acknowledged version advances only if no earlier changes
// are missing.
func (m *StateMachine) applyChanges(l *linkState, hb *Heartbeat, now time.Time) {
	for i := range hb.Records {
		m.merge(&hb.Records[i], l, now)
	}
	for _, update := range hb.GenerationUpdates {
		for _, id := range update.Members {
			if e := m.byID[id]; e != nil && !e.Gone {
				m.mergeGeneration(e, e.Incarnation, update.Generation, 0, l)
			}
		}
	}
	for i := range hb.Regions {
		m.applyRegion(&hb.Regions[i], l, now)
	}
	if hb.Base <= l.mergedVersion && hb.Version > l.mergedVersion {
		l.mergedVersion = hb.Version
	}
}

// applySender applies the sender's state.
func (m *StateMachine) applySender(l *linkState, hb *Heartbeat, now time.Time) {
	e := m.table[l.peer]
	if e == nil {
		m.requestTable(l, now)
		return
	}
	l.unknownSince = time.Time{}
	if e.Incarnation != hb.Incarnation() {
		return
	}
	e.lastAlive = now
	m.mergeGeneration(e, hb.Incarnation(), hb.Generation, hb.Hash, l)
	if e.Generation == hb.Generation && e.Hash != hb.Hash {
		e.Hash = hb.Hash
		m.viewStaleAtTick = true
	}
	m.compareTables(l, hb, now)
}

// unknownSenderGrace is how long a sender's record may be on its way, and the minimum time between requests of
// tables.
const unknownSenderGrace = time.Second

// requestTable requests the table of a sender that has not become a known member for some time.
func (m *StateMachine) requestTable(l *linkState, now time.Time) {
	if l.unknownSince.IsZero() {
		l.unknownSince = now
	}
	if m.phase != PhaseMember || now.Sub(l.unknownSince) < unknownSenderGrace || now.Sub(m.tableRequestedAt) < unknownSenderGrace {
		return
	}
	m.tableRequestedAt = now
	m.emit(CallJoin{Candidate: Candidate{Name: l.peer}, Request: JoinRequest{Record: m.self.Record}})
}

// initialResendTableAt is the initial number of consecutive heartbeats with another table hash after
// which the whole table is resent. It doubles with each resend.
const initialResendTableAt = 8

// compareTables compares the table hashes. If they are equal, the peer has all records and they need
// not be sent. If they remain different, the whole table is resent.
func (m *StateMachine) compareTables(l *linkState, hb *Heartbeat, now time.Time) {
	if hb.TableHash == uint32(m.digest) {
		l.knownVersion = m.version
		l.hashMismatches, l.resendTableAt = 0, initialResendTableAt
		return
	}
	m.compareBuckets(l, hb)
	if !m.isSettled(now) {
		return
	}
	l.sendBuckets = true
	l.hashMismatches++
	if l.hashMismatches > l.resendTableAt {
		l.ackedVersion, l.knownVersion, l.inFlightVersion = 0, 0, 0
		l.hashMismatches, l.resendTableAt = 0, 2*l.resendTableAt
	}
}

// detectOneWay detects a one-way link: the peer does not receive heartbeats although they have been
// sent for some time.
func (m *StateMachine) detectOneWay(l *linkState, hb *Heartbeat, now time.Time) {
	limit := m.opts.SuspectAfter + m.opts.RelayInterval
	notReceived := time.Duration(hb.ReceivedAgoMS)*time.Millisecond > limit
	sentLongEnough := !l.firstSent.IsZero() && now.Sub(l.firstSent) > limit
	oneWay := notReceived && sentLongEnough
	if oneWay != l.oneWay {
		l.oneWay = oneWay
		m.emit(ReportOneWay{Peer: l.peer, Recovered: !oneWay})
	}
}

// sendDue sends the heartbeats that are due, to this daemon's partners and to daemons that count it
// among theirs.
func (m *StateMachine) sendDue(now time.Time) {
	if m.phase == PhaseJoining {
		return
	}
	t := m.currentTopology()
	for _, name := range t.partners {
		l := m.link(name)
		if m.shouldSend(l, now) {
			m.send(l, now)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.links)) {
		l := m.links[name]
		mustReply := l.expectsHeartbeats && now.Sub(l.lastReceived) <= m.replyTimeout()
		if mustReply && !m.isPartner(name) && m.shouldSend(l, now) {
			m.send(l, now)
		}
	}
}

// replyTimeout is the time for which heartbeats are still sent to a silent peer that expects them.
func (m *StateMachine) replyTimeout() time.Duration { return 2 * m.opts.RelayInterval }

func (m *StateMachine) shouldSend(l *linkState, now time.Time) bool {
	if !now.Before(l.nextSend) {
		return true
	}
	return now.Sub(l.lastSent) >= minUrgentInterval && m.hasUrgentChanges(l)
}

// hasUrgentChanges reports whether urgent changes are to be sent to the peer: records, region
// summaries with new content, or answers to its probes.
func (m *StateMachine) hasUrgentChanges(l *linkState) bool {
	if len(l.probes) > 0 {
		return true
	}
	for _, r := range m.regions {
		if r.version > l.ackedVersion && r.source != l && r.changedAt.After(l.lastSent) {
			return true
		}
	}
	if !m.isPartner(l.peer) {
		return false
	}
	changes := m.recordLog.Since(max(l.ackedVersion, l.knownVersion))
	for i := len(changes) - 1; i >= 0; i-- {
		if m.recordLog.IsOutdated(changes[i]) {
			continue
		}
		e := changes[i].Item
		if !e.changedAt.After(l.lastSent) {
			return false // as are those before it
		}
		if !e.isKnownTo(l) {
			return true
		}
	}
	return false
}

// sendAll sends a heartbeat to all daemons from which one was received.
func (m *StateMachine) sendAll(now time.Time) {
	for _, l := range m.links {
		if l.received {
			m.send(l, now)
		}
	}
}

// interval returns the time between heartbeats to a peer.
func (m *StateMachine) interval(peer string) time.Duration {
	if e := m.table[peer]; e != nil && e.Region != m.self.Region {
		return m.opts.RelayInterval
	}
	return m.opts.HeartbeatInterval
}

func (m *StateMachine) send(l *linkState, now time.Time) {
	hb := &Heartbeat{
		Epoch:             m.epoch,
		IncarnationOffset: m.self.Incarnation - m.epoch,
		Generation:        m.self.Generation,
		Hash:              m.self.Hash,
		TableHash:         uint32(m.digest),
		ReceivedAgoMS:     neverReceived,
		AckEpoch:          uint32(l.epoch),
		Ack:               l.mergedVersion,
		Base:              m.sendAfterVersion(l, now),
		ExpectsHeartbeats: m.isPartner(l.peer),
	}
	if l.received {
		hb.ReceivedAgoMS = uint32(now.Sub(l.lastReceived).Milliseconds())
	}
	m.addChanges(hb, l)
	m.addSelf(hb, l)
	m.addDiffering(hb, l)
	if l.sendBuckets {
		hb.Buckets = slices.Clone(m.buckets[:])
		l.sendBuckets = false
	}
	m.addEvidence(hb, l, now)
	l.lastSent = now
	if l.firstSent.IsZero() {
		l.firstSent = now
	}
	l.nextSend = now.Add(m.jitter(m.interval(l.peer)))
	m.emit(SendHeartbeat{To: l.peer, Heartbeat: hb})
}

// resendIntervals is the number of heartbeat intervals after which unacknowledged changes are resent.
const resendIntervals = 2

// sendAfterVersion returns the version after which changes are sent. Changes in flight are resent only
// if their acknowledgment is late.
func (m *StateMachine) sendAfterVersion(l *linkState, now time.Time) uint64 {
	ackLate := now.Sub(l.inFlightSince) > resendIntervals*m.interval(l.peer)
	if l.inFlightVersion > l.ackedVersion && !ackLate {
		return l.inFlightVersion
	}
	l.inFlightSince = now
	return l.ackedVersion
}

// jitterFraction is the maximum random reduction of an interval. It prevents synchronized heartbeats.
const jitterFraction = 0.1

func (m *StateMachine) jitter(d time.Duration) time.Duration {
	return d - time.Duration(m.random.Float64()*jitterFraction*float64(d))
}

// addChanges adds the changes after hb.Base, oldest first, up to MaxRecords.
func (m *StateMachine) addChanges(hb *Heartbeat, l *linkState) {
	hb.Version = m.version
	if hb.Base >= m.version {
		return
	}
	if !m.isPartner(l.peer) {
		hb.Version = hb.Base
		return
	}
	changed := m.changedSince(l, hb.Base)
	if len(changed) > m.opts.MaxRecords {
		changed = changed[:m.opts.MaxRecords]
		hb.Version = changed[len(changed)-1].version
	}
	l.inFlightVersion = hb.Version
	for _, c := range changed {
		switch {
		case c.region != nil:
			hb.Regions = append(hb.Regions, c.region.RegionSummary)
		case c.generationOnly:
			hb.addGeneration(&c.entry.Record)
		default:
			hb.Records = append(hb.Records, c.entry.Record)
		}
	}
}

// addSelf adds the own record for a peer that may not have it.
func (m *StateMachine) addSelf(hb *Heartbeat, l *linkState) {
	isListed := func(r Record) bool { return r.Name == m.self.Name }
	if max(l.ackedVersion, l.knownVersion) < m.self.recordVersion && !m.self.isKnownTo(l) && !slices.ContainsFunc(hb.Records, isListed) {
		hb.Records = append(hb.Records, m.self.Record)
	}
}

// addGeneration adds a member to the update for its generation.
func (h *Heartbeat) addGeneration(r *Record) {
	for i := range h.GenerationUpdates {
		if h.GenerationUpdates[i].Generation == r.Generation {
			h.GenerationUpdates[i].Members = append(h.GenerationUpdates[i].Members, r.shortID())
			return
		}
	}
	h.GenerationUpdates = append(h.GenerationUpdates, GenerationUpdate{r.Generation, []uint32{r.shortID()}})
}

// change is a changed record, generation or region summary.
type change struct {
	version        uint64
	entry          *entry
	generationOnly bool
	region         *regionState
}

func (m *StateMachine) changedSince(l *linkState, from uint64) []change {
	out := m.changedMembers(l, from)
	for _, r := range m.regions {
		if r.version > from && r.source != l && r.Counter > 0 {
			out = append(out, change{version: r.version, region: r})
		}
	}
	slices.SortFunc(out, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	return out
}

// changedMembers returns the changed records and, for a peer in the same region, the changed
// generations of the region's members.
func (m *StateMachine) changedMembers(l *linkState, from uint64) (out []change) {
	for _, c := range m.recordLog.Since(max(from, l.knownVersion)) {
		if !m.recordLog.IsOutdated(c) && !c.Item.isKnownTo(l) {
			out = append(out, change{version: c.Version, entry: c.Item})
		}
	}
	if !m.isInOwnRegion(l.peer) {
		return out
	}
	for _, c := range m.generationLog.Since(from) {
		e := c.Item
		if !m.generationLog.IsOutdated(c) && e.generationSource != l && e.Region == m.self.Region {
			out = append(out, change{version: c.Version, entry: e, generationOnly: true})
		}
	}
	return out
}

func (m *StateMachine) isInOwnRegion(peer string) bool {
	e := m.table[peer]
	return e != nil && e.Region == m.self.Region
}
