package placement

import "time"

// chooseInTime chooses among the targets of this VM's region that rank after the candidates of an
// object: the first one that is expected to answer within the objective; nil if there is none. It is
// used where the speeds of targets differ, as both candidates may be slow ones.
func (p *Pool) chooseInTime(req *Request, now time.Time) *Selection {
	for rank, t := range p.firstTargets(req, p.hashKey(req)) {
		if t.Region != p.region || !p.canServe(t, req, now) || t.cold(now) || p.isLimited(t) {
			continue
		}
		known, ok := p.hasRoom(t, req, rank, now)
		if ok && p.inTime(t, req, known, rank, now) {
			return p.newSelection(t, req, rank, known, now)
		}
	}
	return nil
}

// inTime reports whether a target is expected to answer a request within its objective. A request without
// an objective is in time everywhere.
func (p *Pool) inTime(t *targetState, req *Request, known bool, rank int, now time.Time) bool {
	if req.Rule == nil || req.Rule.ObjectiveMS <= 0 {
		return true
	}
	answer := p.estimateAnswer(t, req, known, rank, now) + time.Duration(p.roundTrips[t.Region])
	return now.Add(answer).Sub(req.Arrived) <= req.Rule.ObjectiveMS.Duration()
}

// isLimited reports whether a target names a rate limit.
func (p *Pool) isLimited(t *targetState) bool {
	return p.tokens.limits.Any() && p.tokens.limits.State(t.TargetIndex).Limited
}
