package placement

import (
	"cmp"
	"slices"
	"time"

	"masticturn/internal/admission"
)

// maxNotices bounds the notices of targets without an entry; the oldest are dropped.
const maxNotices = 4096

// notice is what a target instance has announced in answers.
type notice struct {
	leaving      bool
	backoffUntil time.Time // Retry-After of its last refusal
	receivedAt   time.Time // zero: none
}

// accepting reports whether the notice allows requests now.
func (w *notice) accepting(now time.Time) bool { return !w.leaving && !now.Before(w.backoffUntil) }

// notices holds notices by target instance. They outlive the instance's entry, which may
// lapse in an outage and return.
type notices map[string]*notice

// of returns the notice of a target.
func (ws notices) of(name string) *notice {
	w := ws[name]
	if w == nil {
		w = &notice{}
		ws[name] = w
	}
	return w
}

// forget drops empty notices of targets without an entry, and the oldest others beyond
// the bound.
func (ws notices) forget(targets map[string]*targetState) {
	var away []string
	for name, w := range ws {
		switch {
		case targets[name] != nil:
		case w.receivedAt.IsZero():
			delete(ws, name)
		default:
			away = append(away, name)
		}
	}
	if len(away) <= maxNotices {
		return
	}
	slices.SortFunc(away, func(a, b string) int {
		return cmp.Or(ws[a].receivedAt.Compare(ws[b].receivedAt), cmp.Compare(a, b))
	})
	for _, name := range away[:len(away)-maxNotices] {
		delete(ws, name)
	}
}

// RecordNotice records what a target announces. It reports whether the target has
// stopped accepting requests by it.
func (p *Pool) RecordNotice(name string, said admission.Notice, now time.Time) bool {
	w := p.notices.of(name)
	w.receivedAt = now
	news := said.Leaving && !w.leaving
	w.leaving = w.leaving || said.Leaving
	if until := now.Add(said.Backoff); said.Backoff > 0 && until.After(w.backoffUntil) {
		news = news || w.accepting(now)
		w.backoffUntil = until
	}
	return news
}

// Accepting reports whether a target's notice allows requests now.
func (p *Pool) Accepting(name string, now time.Time) bool {
	w := p.notices[name]
	return w == nil || w.accepting(now)
}

// availableAt returns the earliest time at which a target may take the request; false if
// no such time is known.
func (p *Pool) availableAt(a *Request, now time.Time) (at time.Time, ok bool) {
	for _, t := range p.order {
		if !p.eligible(t, a) {
			continue
		}
		free := later(t.notice.backoffUntil, t.barredUntil)
		if !now.Before(free) {
			return now, true
		}
		if !ok || free.Before(at) {
			at, ok = free, true
		}
	}
	return at, ok
}

// backoffEnd returns the earliest end of a backoff if all eligible targets have asked for
// one.
func (p *Pool) backoffEnd(a *Request, now time.Time) (at time.Time, ok bool) {
	for _, t := range p.order {
		if !p.eligible(t, a) {
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
