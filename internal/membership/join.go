package membership

import (
	"slices"
	"time"
)

// SetCandidates sets the daemons that may be sent join requests, from the seeds and the platform's
// list. A candidate becomes a member only through its own record.
func (m *StateMachine) SetCandidates(candidates []Candidate) {
	m.candidates = candidates
}

// callCandidate sends a join request to a candidate outside the view: every JoinInterval while
// joining, and every MergeInterval as a member, so that a partitioned fleet merges again.
func (m *StateMachine) callCandidate(now time.Time) {
	if m.phase == PhaseJoining && now.Sub(m.started) >= m.opts.JoinTimeout {
		m.becomeMember(true)
	}
	joining := !m.joinPending.IsZero() && now.Sub(m.joinPending) < joinAnswerTimeout
	if now.Before(m.nextJoin) || m.phase > PhaseMember || joining {
		return
	}
	m.nextJoin = now.Add(m.opts.JoinInterval)
	if m.phase == PhaseMember {
		m.nextJoin = now.Add(m.jitter(m.opts.MergeInterval))
	}
	if c, ok := m.pickCandidate(); ok {
		m.joinPending = now
		m.emit(CallJoin{Candidate: c, Request: JoinRequest{Record: m.self.Record}})
	}
}

// joinAnswerTimeout is how long a candidate may take to answer until another one is asked. Asking several at
// once would multiply the transfers of tables while a whole fleet starts.
const joinAnswerTimeout = 500 * time.Millisecond

// HandleJoinFailed records that the last join request has failed.
func (m *StateMachine) HandleJoinFailed(now time.Time) []Action {
	m.begin(now)
	m.joinPending = time.Time{}
	return m.end()
}

// pickCandidate returns a random candidate outside the view.
func (m *StateMachine) pickCandidate() (Candidate, bool) {
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

func (m *StateMachine) becomeMember(alone bool) {
	m.phase = PhaseMember
	m.emit(ReportJoined{Alone: alone})
}

// HandleJoinResponse applies the response to a CallJoin. A response from this daemon itself is ignored.
func (m *StateMachine) HandleJoinResponse(now time.Time, response *JoinResponse) []Action {
	m.begin(now)
	m.joinPending = time.Time{}
	if response.Name == m.self.Name {
		return m.end()
	}
	for i := range response.Records {
		m.merge(&response.Records[i], nil, now)
	}
	for i := range response.Regions {
		m.applyRegion(&response.Regions[i], nil, now)
	}
	if m.phase == PhaseJoining {
		m.becomeMember(false)
	}
	m.sendDue(now)
	return m.end()
}

// HandleJoin returns the whole table in response to a joining daemon's request.
func (m *StateMachine) HandleJoin(now time.Time, request *JoinRequest) (*JoinResponse, []Action) {
	m.begin(now)
	response := &JoinResponse{Name: m.self.Name}
	if m.phase != PhaseLeft {
		m.merge(&request.Record, nil, now)
		m.sendDue(now)
	}
	for _, e := range m.table {
		response.Records = append(response.Records, e.Record)
	}
	for _, r := range m.regions {
		if r.Counter > 0 {
			response.Regions = append(response.Regions, r.RegionSummary)
		}
	}
	return response, m.end()
}
