package membership

import (
	"math/rand/v2"
	"time"

	"masticturn/internal/changelog"
)

// Candidate is a daemon that may be sent a join request. The name is empty if unknown.
type Candidate struct {
	Name    string
	Address string
}

// entry is a member in the table.
type entry struct {
	Record
	region            uint32     // ID of its region
	recordVersion     uint64     // table version of the record's last change
	generationVersion uint64     // table version of the generation's last change
	recordSource      *linkState // link from which the record was received; nil: none
	knownBy           uint64     // bits of the links whose peers sent the same record
	generationSource  *linkState // link from which the generation was received
	changedAt         time.Time  // last change of the record
	suspectSince      time.Time  // start of the period in which a suspicion may be refuted
	reported          State
	isReported        bool      // reported is valid
	lastAlive         time.Time // last heartbeat, evidence from others, or newer Seq
}

// StateMachine implements the membership protocol of one daemon. It takes events with their times
// and returns actions. It does no I/O and is not safe for concurrent use.
type StateMachine struct {
	opts   Options
	random *rand.Rand

	self      *entry
	epoch     uint64
	phase     Phase
	started   time.Time
	lastEvent time.Time

	table            map[string]*entry
	sortedTable      []*entry          // by name; nil after a member was added or removed
	byID             map[uint32]*entry // by short ID
	version          uint64            // increases with each change of the table
	digest           uint64            // hash of all records
	latestGeneration uint64            // table version of the last change of any generation
	regions          map[uint32]*regionState
	links            map[string]*linkState

	recordLog      *changelog.Log[*entry] // of records
	generationLog  *changelog.Log[*entry] // of generations
	buckets        buckets
	tableChangedAt time.Time // last change of any record

	topology topology
	// topologyInvalid requires a new topology before the next use, topologyStale from the next tick on.
	topologyInvalid bool
	topologyStale   bool
	staleStates     map[string]*entry // members whose state is to be reported
	viewStale       bool
	viewStaleAtTick bool // set viewStale at the next tick
	viewBuiltAt     time.Time
	view            *View

	candidates  []Candidate
	forgotten   []Candidate // removed members that may still be alive
	nextJoin    time.Time
	joinPending time.Time            // when the join request that is not answered yet was sent; zero: none
	asked       map[string]time.Time // when a candidate was asked to join, by address; nil once this VM has joined
	nextExpire  time.Time
	nextSummary time.Time // of this daemon's region, if it is a relay
	renewedAt   time.Time

	tableRequestedAt time.Time // last request of a table from an unknown sender

	actions []Action
}

// NewStateMachine returns the state machine of a daemon that starts now with the given record.
func NewStateMachine(self Record, opts Options, random *rand.Rand, now time.Time) *StateMachine {
	opts.setDefaults()
	self.Seq = 1
	self.Process = self.Incarnation
	m := &StateMachine{
		opts:      opts,
		random:    random,
		epoch:     self.Incarnation,
		started:   now,
		lastEvent: now,
		table:     make(map[string]*entry),
		asked:     make(map[string]time.Time),
		byID:      make(map[uint32]*entry),
		regions:   make(map[uint32]*regionState),
		links:     make(map[string]*linkState),

		staleStates: make(map[string]*entry),

		recordLog:     changelog.New(func(c changelog.Change[*entry]) bool { return c.Item.recordVersion == c.Version }),
		generationLog: changelog.New(func(c changelog.Change[*entry]) bool { return c.Item.generationVersion == c.Version }),
	}
	m.self = &entry{Record: self, region: regionID(self.Region), changedAt: now, lastAlive: now}
	m.table[self.Name] = m.self
	m.toggle(&self)
	m.markRecordChanged(m.self, nil)
	m.markGenerationChanged(m.self, nil)
	return m
}

// Phase returns the phase of this daemon's membership.
func (m *StateMachine) Phase() Phase { return m.phase }

// Incarnation returns this daemon's current incarnation, which may increase.
func (m *StateMachine) Incarnation() uint64 { return m.self.Incarnation }

// Tick processes all timers. It must be called every TickInterval.
func (m *StateMachine) Tick(now time.Time) []Action {
	m.begin(now)
	m.viewStale = m.viewStale || m.viewStaleAtTick
	m.viewStaleAtTick = false
	m.topologyInvalid = m.topologyInvalid || m.topologyStale
	if m.phase == PhaseLeft {
		return m.end()
	}
	m.callCandidate(now)
	m.detect(now)
	m.expire(now)
	m.publishRegion(now)
	m.sendDue(now)
	return m.end()
}

// begin starts the handling of an event. A long gap since the last event means that this process was
// paused.
func (m *StateMachine) begin(now time.Time) {
	elapsed := now.Sub(m.lastEvent)
	m.lastEvent = now
	if elapsed >= m.opts.PauseThreshold {
		m.resumeAfterPause(now, elapsed)
	}
}

// resumeAfterPause restarts all timers, because the apparent silence of the others was caused by this
// daemon's pause. After a long pause the others consider this daemon gone, so it takes a new
// incarnation.
func (m *StateMachine) resumeAfterPause(now time.Time, paused time.Duration) {
	m.emit(ReportPause{Duration: paused})
	for _, e := range m.table {
		e.lastAlive = now
		e.suspectSince = now
	}
	for _, l := range m.links {
		l.lastReceived = now
	}
	for _, r := range m.regions {
		r.lastSummary = now
	}
	if paused >= m.opts.GoneAfter && m.phase != PhaseLeft {
		m.renewIncarnation(m.self.Incarnation, now)
	}
}

// end completes the handling of an event and returns its actions.
func (m *StateMachine) end() []Action {
	m.reportStates()
	out := m.actions
	m.actions = nil
	return out
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

// markRecordChanged assigns a new table version to a changed record, so that it is sent over all
// links except its source.
func (m *StateMachine) markRecordChanged(e *entry, source *linkState) {
	m.version++
	m.byID[e.shortID()] = e
	e.recordVersion = m.version
	m.recordLog.Add(m.version, e, len(m.table))
	e.recordSource, e.knownBy = source, 0
	m.tableChangedAt = m.lastEvent
	m.staleStates[e.Name] = e
	m.invalidateSoon()
}

// invalidateSoon requires a new view and topology: now if the present ones were made some time ago, and else
// from the next tick on, as they are derived from the whole table and changes often come many at a time.
func (m *StateMachine) invalidateSoon() {
	m.topologyStale = true
	m.viewStaleAtTick = true
	if m.lastEvent.Sub(m.viewBuiltAt) >= m.opts.TickInterval {
		m.topologyInvalid, m.viewStale = true, true
	}
}

func (m *StateMachine) markGenerationChanged(e *entry, source *linkState) {
	m.version++
	e.generationVersion, m.latestGeneration = m.version, m.version
	m.generationLog.Add(m.version, e, len(m.table))
	e.generationSource = source
	m.viewStaleAtTick = true
}

// changeSelf changes this daemon's own record.
func (m *StateMachine) changeSelf(now time.Time, change func(*Record)) {
	m.toggle(&m.self.Record)
	delete(m.byID, m.self.shortID())
	change(&m.self.Record)
	m.self.Seq++
	m.toggle(&m.self.Record)
	m.self.changedAt = now
	m.markRecordChanged(m.self, nil)
}

// renewIncarnation takes an incarnation that supersedes both the given and the current one.
func (m *StateMachine) renewIncarnation(superseded uint64, now time.Time) {
	m.renewedAt = now
	m.changeSelf(now, func(r *Record) {
		r.Incarnation = supersedingIncarnation(max(superseded, r.Incarnation))
		r.Seq = 0
		r.Suspect, r.Gone = false, false
	})
	m.emit(ReportNewIncarnation{Incarnation: m.self.Incarnation})
}

// SetGeneration sets the generation and hash of the configuration document in force here.
func (m *StateMachine) SetGeneration(now time.Time, generation, hash uint64) []Action {
	m.begin(now)
	if m.self.Generation != generation || m.self.Hash != hash {
		m.self.Generation, m.self.Hash = generation, hash
		m.markGenerationChanged(m.self, nil)
		m.viewStale = true
	}
	return m.end()
}

// SetRefusesKeys sets whether this daemon refuses requests with keys.
func (m *StateMachine) SetRefusesKeys(now time.Time, refuses bool) []Action {
	m.begin(now)
	if m.self.RefusesKeys != refuses {
		m.changeSelf(now, func(r *Record) { r.RefusesKeys = refuses })
		m.sendDue(now)
	}
	return m.end()
}

// SetPartitioned sets whether this daemon can't reach targets itself, while other VMs can.
func (m *StateMachine) SetPartitioned(now time.Time, partitioned bool) []Action {
	m.begin(now)
	if m.self.Partitioned != partitioned {
		m.changeSelf(now, func(r *Record) { r.Partitioned = partitioned })
		m.sendDue(now)
	}
	return m.end()
}

// SetTerm sets this daemon's term as granter of rate limits; 0: not the granter.
func (m *StateMachine) SetTerm(now time.Time, term uint64) []Action {
	m.begin(now)
	if m.self.Term != term {
		m.changeSelf(now, func(r *Record) { r.Term = term })
		m.sendDue(now)
	}
	return m.end()
}

// Leave announces that this daemon drains and accepts no new requests.
func (m *StateMachine) Leave(now time.Time) []Action {
	m.begin(now)
	if m.phase < PhaseLeaving {
		m.phase = PhaseLeaving
		m.changeSelf(now, func(r *Record) { r.Leaving = true })
		m.sendDue(now)
	}
	return m.end()
}

// AnnounceGone announces that this daemon is gone.
func (m *StateMachine) AnnounceGone(now time.Time) []Action {
	m.begin(now)
	if m.phase != PhaseLeft {
		m.phase = PhaseLeft
		m.changeSelf(now, func(r *Record) { r.Leaving, r.Gone = true, true })
		m.sendAll(now)
	}
	return m.end()
}

// LeaveAcknowledged reports whether all reachable partners have acknowledged this daemon's record.
func (m *StateMachine) LeaveAcknowledged() bool {
	for _, name := range m.currentTopology().partners {
		l := m.links[name]
		if e := m.table[name]; e == nil || e.Gone || e.Suspect {
			continue
		}
		if l == nil || l.ackedVersion < m.self.recordVersion {
			return false
		}
	}
	return true
}
