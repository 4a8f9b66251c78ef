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
		m.becomeMember("")
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
		if m.phase == PhaseJoining {
			m.asked[c.Address] = now
		}
		m.emit(CallJoin{Candidate: c, Request: JoinRequest{Record: m.self.Record}})
	}
}

// joinAnswerTimeout is how long a candidate may take to answer until another one is asked: two round trips to
// another region of 55 ms one way. While a whole fleet starts, candidates whose process isn't running yet do not answer,
// and asking several at once would multiply the transfers of tables.
const joinAnswerTimeout = 250 * time.Millisecond

// HandleJoinFailed records that the last join request has failed.
func (m *StateMachine) HandleJoinFailed(now time.Time) []Action {
	m.begin(now)
	m.joinPending = time.Time{}
	return m.end()
}

// pickCandidate returns a random one of the candidates outside the view that this VM has not asked to join,
// or the one that it asked first: those asked since have not answered either.
func (m *StateMachine) pickCandidate() (Candidate, bool) {
	known := make(map[string]bool)
	for _, e := range m.table {
		if !e.Gone {
			known[e.PeerAddress] = true
		}
	}
	var earliest []Candidate
	for _, c := range slices.Concat(m.candidates, m.forgotten) {
		if known[c.Address] {
			continue
		}
		if len(earliest) > 0 {
			if order := m.asked[c.Address].Compare(m.asked[earliest[0].Address]); order > 0 {
				continue
			} else if order < 0 {
				earliest = earliest[:0]
			}
		}
		earliest = append(earliest, c)
	}
	if len(earliest) == 0 {
		return Candidate{}, false
	}
	return earliest[m.random.IntN(len(earliest))], true
}

// becomeMember ends joining, with the table of another daemon or with none ("").
func (m *StateMachine) becomeMember(responder string) {
	m.phase, m.asked = PhaseMember, nil
	m.emit(ReportJoined{Alone: responder == "", Peer: responder, Members: len(m.table)})
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
		m.becomeMember(response.Name)
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
