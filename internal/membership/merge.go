package membership

import "time"

// merge applies a record from a peer.
func (m *Machine) merge(r *Record, source *linkState, now time.Time) {
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
		m.mergeGeneration(e, r.Incarnation, r.Generation, r.Hash, source)
		return
	}
	m.replace(e, r, source, now)
}

func (m *Machine) add(r *Record, source *linkState, now time.Time) {
	e := &entry{Record: *r, region: regionID(r.Region), changed: now, suspectSince: now, lastAlive: now}
	m.table[r.Name] = e
	m.digest ^= r.digest()
	m.touchRecord(e, source)
	m.learnAddress(e, "")
	m.recordRegion(e.region, now)
}

func (m *Machine) replace(e *entry, r *Record, source *linkState, now time.Time) {
	address := e.PeerAddress
	m.digest ^= e.Record.digest()
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
	e.changed, e.suspectSince = now, now
	m.digest ^= e.Record.digest()
	m.touchRecord(e, source)
	m.learnAddress(e, address)
}

func (m *Machine) learnAddress(e *entry, before string) {
	if e.PeerAddress != before && !e.Gone {
		m.act(LearnAddress{VM: e.Name, Address: e.PeerAddress})
	}
}

// mergeGeneration applies a member's generation.
func (m *Machine) mergeGeneration(e *entry, incarnation, generation, hash uint64, source *linkState) {
	if e == m.self || incarnation != e.Incarnation || generation <= e.Generation {
		return
	}
	e.Generation, e.Hash = generation, hash
	m.touchNote(e, source)
}

// renewPause bounds how often a daemon renews its incarnation, in case two processes run under one
// VM name.
const renewPause = time.Second

// mergeSelf answers records about this daemon: a higher Seq refutes a suspicion, a higher
// incarnation supersedes a surpassed or gone one.
func (m *Machine) mergeSelf(r *Record, now time.Time) {
	if m.phase == PhaseLeft {
		return
	}
	own := &m.self.Record
	surpassed := r.Incarnation > own.Incarnation || r.Incarnation == own.Incarnation && r.Gone
	switch {
	case surpassed && now.Sub(m.renewedAt) >= renewPause:
		m.renew(r.Incarnation, now)
	case r.Incarnation == own.Incarnation && !r.Gone && (r.Suspect && r.Seq >= own.Seq || r.Seq > own.Seq):
		m.changeSelf(now, func(own *Record) { own.Seq = r.Seq })
	}
}
