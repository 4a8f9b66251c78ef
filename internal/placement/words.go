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
	heard   time.Time // zero: it has said nothing
}

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
	if !said.Leaving || w.leaving {
		return false
	}
	w.leaving, w.heard = true, now
	return true
}

// Wanted reports whether a target has not said that it wants no request.
func (p *Pool) Wanted(name string) bool {
	w := p.words[name]
	return w == nil || !w.leaving
}
