package placement

import (
	"cmp"
	"slices"
	"time"

	"masticturn/internal/admission"
)

// maxNotices is the maximum number of notices of targets without an entry. The oldest are
// dropped.
const maxNotices = 4096

// notice holds what a target instance has announced in its answers.
type notice struct {
	leaving      bool
	backoffUntil time.Time // latest end of a Retry-After that came with a refusal
	receivedAt   time.Time // time of the last announcement; zero: none
}

// accepting reports whether the target accepts requests now, by its notice.
func (n *notice) accepting(now time.Time) bool { return !n.leaving && !now.Before(n.backoffUntil) }

// notices holds the notices of target instances by name. They are kept when an instance's
// entry disappears, as the entry may expire in an outage and come back.
type notices map[string]*notice

// get returns the notice of a target, creating it if needed.
func (ns notices) get(name string) *notice {
	n := ns[name]
	if n == nil {
		n = &notice{}
		ns[name] = n
	}
	return n
}

// prune drops the notices of targets without an entry: all empty ones, and the oldest others
// beyond maxNotices.
func (ns notices) prune(targets map[string]*targetState) {
	var absent []string
	for name, n := range ns {
		switch {
		case targets[name] != nil:
		case n.receivedAt.IsZero():
			delete(ns, name)
		default:
			absent = append(absent, name)
		}
	}
	if len(absent) <= maxNotices {
		return
	}
	slices.SortFunc(absent, func(a, b string) int {
		return cmp.Or(ns[a].receivedAt.Compare(ns[b].receivedAt), cmp.Compare(a, b))
	})
	for _, name := range absent[:len(absent)-maxNotices] {
		delete(ns, name)
	}
}

// RecordNotice records a target's announcement. It reports whether the target stops accepting
// requests because of it.
func (p *Pool) RecordNotice(name string, announced admission.Notice, now time.Time) bool {
	n := p.notices.get(name)
	n.receivedAt = now
	stopped := announced.Leaving && !n.leaving
	n.leaving = n.leaving || announced.Leaving
	if until := now.Add(announced.Backoff); announced.Backoff > 0 && until.After(n.backoffUntil) {
		stopped = stopped || n.accepting(now)
		n.backoffUntil = until
	}
	return stopped
}

// Accepting reports whether a target accepts requests now, by its notice.
func (p *Pool) Accepting(name string, now time.Time) bool {
	n := p.notices[name]
	return n == nil || n.accepting(now)
}

// availableAt returns the earliest time at which no backoff or ejection keeps an eligible
// target from taking the request; false if no target is eligible.
func (p *Pool) availableAt(req *Request, now time.Time) (at time.Time, ok bool) {
	for _, t := range p.sortedTargets {
		if !p.eligible(t, req) {
			continue
		}
		available := later(t.notice.backoffUntil, t.ejectedUntil)
		if !now.Before(available) {
			return now, true
		}
		if !ok || available.Before(at) {
			at, ok = available, true
		}
	}
	return at, ok
}

// backoffEnd returns the earliest end of a backoff; false if not all eligible targets have
// asked for one, or none is eligible.
func (p *Pool) backoffEnd(req *Request, now time.Time) (at time.Time, ok bool) {
	for _, t := range p.sortedTargets {
		if !p.eligible(t, req) {
			continue
		}
		if t.notice.accepting(now) {
			return time.Time{}, false
		}
		if !ok || t.notice.backoffUntil.Before(at) {
			at, ok = t.notice.backoffUntil, true
		}
	}
	return at, ok
}

// Notice returns what a target has announced: whether it is leaving, and what is left of its Retry-After.
func (p *Pool) Notice(name string, now time.Time) (leaving bool, backoff time.Duration) {
	n := p.notices[name]
	if n == nil {
		return false, 0
	}
	return n.leaving, max(n.backoffUntil.Sub(now), 0)
}
