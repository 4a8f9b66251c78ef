package membership

import "time"

// merge applies a record received from a peer.
func (m *StateMachine) merge(r *Record, source *linkState, now time.Time) {
	if r.Name == m.self.Name {
		m.mergeSelf(r, now)
		return
	}
	e, ok := m.table[r.Name]
	if !ok {
		m.add(r, source, now)
		return
	}
	if !r.supersedes(&e.Record) {
		if source != nil && !e.Record.supersedes(r) {
			e.knownBy |= source.bit
		}
		m.mergeGeneration(e, r.Incarnation, r.Generation, r.Hash, source)
		return
	}
	m.replace(e, r, source, now)
}

func (m *StateMachine) add(r *Record, source *linkState, now time.Time) {
	e := &entry{Record: *r, region: regionID(r.Region), changedAt: now, suspectSince: now, lastAlive: now}
	m.table[r.Name], m.sortedTable = e, nil
	m.toggle(&e.Record)
	m.markRecordChanged(e, source)
	m.updateAddress(e, "")
	m.startRegionTimer(e.region, now)
}

func (m *StateMachine) replace(e *entry, r *Record, source *linkState, now time.Time) {
	oldAddress := e.PeerAddress
	m.toggle(&e.Record)
	delete(m.byID, e.shortID())
	generation, hash := r.Generation, r.Hash
	if e.Incarnation == r.Incarnation && e.Generation > generation {
		generation, hash = e.Generation, e.Hash
	}
	if !r.Suspect && !r.Gone {
		e.lastAlive = now
	}
	e.Record, e.region = *r, regionID(r.Region)
	e.Generation, e.Hash = generation, hash
	e.changedAt, e.suspectSince = now, now
	m.toggle(&e.Record)
	m.markRecordChanged(e, source)
	m.updateAddress(e, oldAddress)
}

func (m *StateMachine) updateAddress(e *entry, oldAddress string) {
	if e.PeerAddress != oldAddress && !e.Gone {
		m.emit(SetPeerAddress{VM: e.Name, Address: e.PeerAddress})
	}
}

// mergeGeneration applies a generation received for a member, if it is newer.
func (m *StateMachine) mergeGeneration(e *entry, incarnation, generation, hash uint64, source *linkState) {
	if e == m.self || incarnation != e.Incarnation || generation <= e.Generation {
		return
	}
	e.Generation, e.Hash = generation, hash
	m.markGenerationChanged(e, source)
}

// minRenewInterval limits how often a daemon renews its incarnation. Without it, two processes under
// one VM name would keep superseding each other.
const minRenewInterval = time.Second

// mergeSelf responds to records about this daemon. It refutes a suspicion by a higher Seq, and
// renews the incarnation if the current one is superseded or gone.
func (m *StateMachine) mergeSelf(r *Record, now time.Time) {
	if m.phase == PhaseLeft {
		return
	}
	own := &m.self.Record
	superseded := r.Incarnation > own.Incarnation || r.Incarnation == own.Incarnation && r.Gone
	switch {
	case superseded && now.Sub(m.renewedAt) >= minRenewInterval:
		m.renewIncarnation(r.Incarnation, now)
	case r.Incarnation == own.Incarnation && !r.Gone && (r.Suspect && r.Seq >= own.Seq || r.Seq > own.Seq):
		m.changeSelf(now, func(own *Record) { own.Seq = r.Seq })
	}
}
