package membership

import (
	"math/rand/v2"
	"time"
)

// Candidate is a daemon that may be called to join. The name is empty if unknown.
type Candidate struct {
	Name    string
	Address string
}

// entry is one member in the table.
type entry struct {
	Record
	region        uint32     // ID of its region
	recordVersion uint64     // table version of the record's last change
	noteVersion   uint64     // table version of the generation's last change
	recordSource  *linkState // link that the record came from; nil: none
	noteSource    *linkState // link that the generation came from
	changed       time.Time  // last change of the state
	suspectSince  time.Time  // start of the time to refute a suspicion
	reported      State
	isReported    bool      // reported is valid
	lastAlive     time.Time // heartbeat, evidence from others, or a newer Seq
}

// newest holds the table versions of the last changes.
type newest struct{ record, note uint64 }

// Machine is the membership protocol of one daemon. It takes events with their time and returns
// actions. It does no I/O and is not safe for concurrent use.
type Machine struct {
	opts   Options
	random *rand.Rand

	self    *entry
	epoch   uint64
	phase   Phase
	started time.Time
	last    time.Time // of the last event

	table   map[string]*entry
	byID    map[uint32]*entry // by short ID
	version uint64            // increases with each change of the table
	digest  uint64            // of all records
	news    newest
	regions map[uint32]*regionState
	links   map[string]*linkState

	topology      topology
	topologyStale bool
	statesStale   bool
	viewStale     bool
	viewLater     bool // the view turns stale with the next tick
	view          *View

	candidates []Candidate
	lost       []Candidate // forgotten members that may be alive
	nextTry    time.Time
	nextExpire time.Time
	nextNote   time.Time // of the own region, if this daemon is a relay
	renewedAt  time.Time

	actions []Action
}

// NewMachine returns the machine of a daemon that starts now with the given record.
func NewMachine(self Record, opts Options, random *rand.Rand, now time.Time) *Machine {
	opts.setDefaults()
	self.Seq = 1
	self.Process = self.Incarnation
	m := &Machine{
		opts:    opts,
		random:  random,
		epoch:   self.Incarnation,
		started: now,
		last:    now,
		table:   make(map[string]*entry),
		byID:    make(map[uint32]*entry),
		regions: make(map[uint32]*regionState),
		links:   make(map[string]*linkState),
	}
	m.self = &entry{Record: self, region: regionID(self.Region), changed: now, lastAlive: now}
	m.table[self.Name] = m.self
	m.digest = self.digest()
	m.touchRecord(m.self, nil)
	m.touchNote(m.self, nil)
	return m
}

// Phase returns the phase of this daemon's own membership.
func (m *Machine) Phase() Phase { return m.phase }

// Incarnation returns this daemon's incarnation, which may increase.
func (m *Machine) Incarnation() uint64 { return m.self.Incarnation }

// Tick checks all timers. It must be called every TickInterval.
func (m *Machine) Tick(now time.Time) []Action {
	m.begin(now)
	m.viewStale = m.viewStale || m.viewLater
	m.viewLater = false
	if m.phase == PhaseLeft {
		return m.end()
	}
	m.tryJoin(now)
	m.detect(now)
	m.expire(now)
	m.publishRegion(now)
	m.sendDue(now)
	return m.end()
}

// begin starts the handling of an event. A gap since the last one was a pause of this process.
func (m *Machine) begin(now time.Time) {
	away := now.Sub(m.last)
	m.last = now
	if away >= m.opts.PauseAfter {
		m.awake(now, away)
	}
}

// awake restarts all timers after a pause, as the silence was this daemon's own. After a long
// pause the others hold it for gone, and it takes a new incarnation.
func (m *Machine) awake(now time.Time, away time.Duration) {
	m.act(ReportAwake{Away: away})
	for _, e := range m.table {
		e.lastAlive = now
		e.suspectSince = now
	}
	for _, l := range m.links {
		l.lastReceived = now
	}
	for _, r := range m.regions {
		r.lastNote = now
	}
	if away >= m.opts.GoneAfter && m.phase != PhaseLeft {
		m.renew(m.self.Incarnation, now)
	}
}

// end returns the actions of an event.
func (m *Machine) end() []Action {
	m.reportStates()
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

// touchRecord records a changed record, which spreads over all links except its source.
func (m *Machine) touchRecord(e *entry, source *linkState) {
	m.version++
	m.byID[e.shortID()] = e
	e.recordVersion, m.news.record = m.version, m.version
	e.recordSource = source
	m.topologyStale = true
	m.viewStale, m.statesStale = true, true
}

func (m *Machine) touchNote(e *entry, source *linkState) {
	m.version++
	e.noteVersion, m.news.note = m.version, m.version
	e.noteSource = source
	m.viewLater = true
}

// changeSelf changes this daemon's own record.
func (m *Machine) changeSelf(now time.Time, change func(*Record)) {
	m.digest ^= m.self.Record.digest()
	delete(m.byID, m.self.shortID())
	change(&m.self.Record)
	m.self.Seq++
	m.digest ^= m.self.Record.digest()
	m.self.changed = now
	m.touchRecord(m.self, nil)
}

// renew takes an incarnation above the given one.
func (m *Machine) renew(over uint64, now time.Time) {
	m.renewedAt = now
	m.changeSelf(now, func(r *Record) {
		r.Incarnation = above(max(over, r.Incarnation))
		r.Seq = 0
		r.Suspect, r.Gone = false, false
	})
	m.act(ReportRenewed{Incarnation: m.self.Incarnation})
}

// SetGeneration sets the generation of the document in force here.
func (m *Machine) SetGeneration(now time.Time, generation, hash uint64) []Action {
	m.begin(now)
	m.self.Generation, m.self.Hash = generation, hash
	m.touchNote(m.self, nil)
	m.viewStale = true
	return m.end()
}

// SetRefusesKeys sets whether this daemon refuses requests with keys.
func (m *Machine) SetRefusesKeys(now time.Time, refuses bool) []Action {
	m.begin(now)
	if m.self.RefusesKeys != refuses {
		m.changeSelf(now, func(r *Record) { r.RefusesKeys = refuses })
		m.sendDue(now)
	}
	return m.end()
}

// SetTerm sets this daemon's term as granter of rate limits; 0: it is not the granter.
func (m *Machine) SetTerm(now time.Time, term uint64) []Action {
	m.begin(now)
	if m.self.Term != term {
		m.changeSelf(now, func(r *Record) { r.Term = term })
		m.sendDue(now)
	}
	return m.end()
}

// Leave announces that this daemon drains and takes no new work.
func (m *Machine) Leave(now time.Time) []Action {
	m.begin(now)
	if m.phase < PhaseLeaving {
		m.phase = PhaseLeaving
		m.changeSelf(now, func(r *Record) { r.Leaving = true })
		m.sendDue(now)
	}
	return m.end()
}

// Depart announces that this daemon is gone.
func (m *Machine) Depart(now time.Time) []Action {
	m.begin(now)
	if m.phase != PhaseLeft {
		m.phase = PhaseLeft
		m.changeSelf(now, func(r *Record) { r.Leaving, r.Gone = true, true })
		m.sendAll(now)
	}
	return m.end()
}

// LeaveKnown reports whether all neighbors have acknowledged the own record.
func (m *Machine) LeaveKnown() bool {
	for _, name := range m.currentTopology().targets {
		l := m.links[name]
		if e := m.table[name]; e == nil || e.Gone || e.Suspect {
			continue
		}
		if l == nil || l.acked < m.self.recordVersion {
			return false
		}
	}
	return true
}
