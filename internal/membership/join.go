package membership

import (
	"slices"
	"time"
)

// SetCandidates sets the daemons that may be sent join requests, from the seeds and the platform's
// list. A candidate becomes a member only through its own record.
func (m *Machine) SetCandidates(candidates []Candidate) {
	m.candidates = candidates
}

// callCandidate sends a join request to a candidate outside the view: every JoinInterval while
// joining, and every MergeInterval as a member, so that a partitioned fleet merges again.
func (m *Machine) callCandidate(now time.Time) {
	if now.Before(m.nextJoin) || m.phase > PhaseMember {
		return
	}
	m.nextJoin = now.Add(m.opts.JoinInterval)
	if m.phase == PhaseMember {
		m.nextJoin = now.Add(m.jitter(m.opts.MergeInterval))
	}
	if c, ok := m.pickCandidate(); ok {
		m.emit(CallJoin{Candidate: c, Request: JoinRequest{Record: m.self.Record}})
	}
	if m.phase == PhaseJoining && now.Sub(m.started) >= m.opts.JoinTimeout {
		m.becomeMember(true)
	}
}

// pickCandidate returns a random candidate outside the view.
func (m *Machine) pickCandidate() (Candidate, bool) {
	known := make(map[string]bool)
	for _, e := range m.table {
		if !e.Gone {
			known[e.PeerAddress] = true
		}
	}
	var unknown []Candidate
	for _, c := range slices.Concat(m.candidates, m.forgotten) {
		if !known[c.Address] {
			unknown = append(unknown, c)
		}
	}
	if len(unknown) == 0 {
		return Candidate{}, false
	}
	return unknown[m.random.IntN(len(unknown))], true
}

func (m *Machine) becomeMember(alone bool) {
	m.phase = PhaseMember
	m.emit(ReportJoined{Alone: alone})
}

// Joined applies the response to a CallJoin. A response from this daemon itself is ignored.
func (m *Machine) Joined(now time.Time, answer *JoinAnswer) []Action {
	m.begin(now)
	if answer.Name == m.self.Name {
		return m.end()
	}
	for i := range answer.Records {
		m.merge(&answer.Records[i], nil, now)
	}
	for i := range answer.Regions {
		m.applyRegion(&answer.Regions[i], nil, now)
	}
	if m.phase == PhaseJoining {
		m.becomeMember(false)
	}
	m.sendDue(now)
	return m.end()
}

// HandleJoin returns the whole table in response to a joining daemon's request.
func (m *Machine) HandleJoin(now time.Time, request *JoinRequest) (*JoinAnswer, []Action) {
	m.begin(now)
	answer := &JoinAnswer{Name: m.self.Name}
	if m.phase != PhaseLeft {
		m.merge(&request.Record, nil, now)
		m.sendDue(now)
	}
	for _, e := range m.table {
		answer.Records = append(answer.Records, e.Record)
	}
	for _, r := range m.regions {
		if r.Counter > 0 {
			answer.Regions = append(answer.Regions, r.RegionSummary)
		}
	}
	return answer, m.end()
}
