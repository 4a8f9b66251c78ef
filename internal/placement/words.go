package placement

import (
	"cmp"
	"slices"
	"time"

	"masticturn/internal/admission"
)

// wordsMost is how many targets' words are kept beyond those of the targets there
// are. When there are more, the oldest are forgotten.
const wordsMost = 4096

// word is what a target has said of itself in answers.
type word struct {
	leaving bool
	pause   time.Time // until then it wants nothing
	heard   time.Time // zero: it has said nothing
}

// wanted reports whether the target has not said that it wants no request now.
func (w *word) wanted(now time.Time) bool { return !w.leaving && !now.Before(w.pause) }

// words holds them by the name of a target's start, also while its entry is away: an
// entry may lapse in an outage and come back.
type words map[string]*word

// of returns the word of a target.
func (ws words) of(name string) *word {
	w := ws[name]
	if w == nil {
		w = &word{}
		ws[name] = w
	}
	return w
}

// forget drops the words of targets that are not there and have said nothing, and the
// oldest ones when there are too many.
func (ws words) forget(targets map[string]*targetState) {
	var away []string
	for name, w := range ws {
		switch {
		case targets[name] != nil:
		case w.heard.IsZero():
			delete(ws, name)
		default:
			away = append(away, name)
		}
	}
	if len(away) <= wordsMost {
		return
	}
	slices.SortFunc(away, func(a, b string) int {
		return cmp.Or(ws[a].heard.Compare(ws[b].heard), cmp.Compare(a, b))
	})
	for _, name := range away[:len(away)-wordsMost] {
		delete(ws, name)
	}
}

// NoteWord takes in what a target says of itself. It reports whether that is news.
func (p *Pool) NoteWord(name string, said admission.Word, now time.Time) bool {
	w := p.words.of(name)
	w.heard = now
	news := said.Leaving && !w.leaving
	w.leaving = w.leaving || said.Leaving
	if until := now.Add(said.Pause); said.Pause > 0 && until.After(w.pause) {
		news = news || w.wanted(now)
		w.pause = until
	}
	return news
}

// Wanted reports whether a target has not said that it wants no request now.
func (p *Pool) Wanted(name string, now time.Time) bool {
	w := p.words[name]
	return w == nil || w.wanted(now)
}

// opens returns when some target may take a request; false when none will as far as is
// known.
func (p *Pool) opens(a *Ask, now time.Time) (at time.Time, ok bool) {
	for _, t := range p.order {
		if !p.couldServe(t, a) {
			continue
		}
		free := later(t.word.pause, t.barredUntil)
		if !now.Before(free) {
			return now, true
		}
		if !ok || free.Before(at) {
			at, ok = free, true
		}
	}
	return at, ok
}

// pausedUntil returns when the first target wants requests again, where all that
// could serve one have said that they want none now.
func (p *Pool) pausedUntil(a *Ask, now time.Time) (at time.Time, ok bool) {
	for _, t := range p.order {
		if !p.couldServe(t, a) {
			continue
		}
		if t.word.wanted(now) {
			return time.Time{}, false
		}
		if !ok || t.word.pause.Before(at) {
			at, ok = t.word.pause, true
		}
	}
	return at, ok
}
