package membership

import (
	"slices"
	"time"
)

// SetCandidates sets the daemons that may be called to join: seeds and the platform's list. They
// are hints: only a daemon's own record makes it a member.
func (m *Machine) SetCandidates(candidates []Candidate) {
	m.candidates = candidates
}

// tryJoin calls a candidate: repeatedly while joining, later rarely and only unknown ones, so that
// a split fleet merges again.
func (m *Machine) tryJoin(now time.Time) {
	if now.Before(m.nextTry) || m.phase > PhaseMember {
		return
	}
	m.nextTry = now.Add(m.opts.JoinInterval)
	if m.phase == PhaseMember {
		m.nextTry = now.Add(m.jitter(m.opts.MergeInterval))
	}
	if c, ok := m.pickCandidate(); ok {
		m.act(CallJoin{Candidate: c, Request: JoinRequest{Record: m.self.Record}})
	}
	if m.phase == PhaseJoining && now.Sub(m.started) >= m.opts.JoinPatience {
		m.becomeMember(true)
	}
}

// pickCandidate picks a random candidate outside the view.
func (m *Machine) pickCandidate() (Candidate, bool) {
	known := make(map[string]bool)
	for _, e := range m.table {
		if !e.Gone {
			known[e.PeerAddress] = true
		}
	}
	var unknown []Candidate
	for _, c := range slices.Concat(m.candidates, m.lost) {
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
	m.act(ReportJoined{Alone: alone})
}

// Joined applies the answer to a CallJoin. An answer of this daemon itself is ignored.
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

// AnswerJoin answers a joining daemon with the whole table.
func (m *Machine) AnswerJoin(now time.Time, request *JoinRequest) (*JoinAnswer, []Action) {
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
		if r.Beat > 0 {
			answer.Regions = append(answer.Regions, r.RegionNote)
		}
	}
	return answer, m.end()
}
