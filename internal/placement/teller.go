package placement

import (
	"slices"
	"time"

	"masticturn/internal/rendezvous"
)

// The VMs of a region form a tree, the same in the eyes of all with the same
// view. Each tells the one above it what it and those below it have at targets; the
// topmost tells the sum, which is passed down. So each hears of all others with two
// messages a VM and turn, however many there are.
const (
	// SharePeriod is how often a VM tells at least while there is something to tell.
	SharePeriod = 125 * time.Millisecond
	// RelayGap is how long a VM gathers what those below it tell before it tells on.
	RelayGap = 40 * time.Millisecond
	// treeWidth is how many VMs are below one: each gets the sum from it, whose size
	// follows the region, so that few leave it bytes to tell the sum often. With 155
	// VMs in a region the sum takes seven steps.
	treeWidth = 2
	// shareBytes is what a VM may send each second to pass the sum down, in bytes. The
	// sum is told less often where it is larger than that allows.
	shareBytes = 12_000
	// shareLives is for how many periods a word counts: two may be lost. No word
	// counts for longer than wordLifeMost, whatever it says.
	shareLives   = 3
	wordLifeMost = 10 * time.Second
)

// Word is what is told of the targets of all services, by name of the service.
type Word struct {
	Services map[string]*Use `msgpack:"s"`
	Life     time.Duration   `msgpack:"l"` // for which it counts
}

// Empty reports whether there is nothing to tell.
func (w *Word) Empty() bool { return len(w.Services) == 0 }

// Parts of a word on the wire, in bytes, roughly.
const (
	wordBytes  = 64 // with the headers below it
	entryBytes = 6
	keyBytes   = 6
)

// size is about how many bytes the word takes.
func (w *Word) size() int {
	n := wordBytes
	for _, u := range w.Services {
		n += entryBytes * len(u.Running)
		for _, keys := range u.Objects {
			n += entryBytes + keyBytes*len(keys)
		}
	}
	return n
}

// use returns the word's part of a service.
func (w *Word) use(service string) *Use {
	u := w.Services[service]
	if u == nil {
		u = newUse()
		w.Services[service] = u
	}
	return u
}

// Position is a VM's place in the tree of its region.
type Position struct {
	Above string   // "" at the top
	Below []string // the VMs that tell this one, and hear from it
}

// PositionOf returns the position of a VM among those of its region, itself
// included; false when it is not among them.
func PositionOf(self string, vms []string) (Position, bool) {
	order := rendezvous.Top("what VMs have at targets", vms, len(vms), func(name string) string { return name })
	at := slices.Index(order, self)
	if at < 0 {
		return Position{}, false
	}
	var p Position
	if at > 0 {
		p.Above = order[(at-1)/treeWidth]
	}
	first := min(treeWidth*at+1, len(order))
	p.Below = order[first:min(first+treeWidth, len(order))]
	return p, true
}

// heardWord is the last word of a VM below.
type heardWord struct {
	word *Word
	at   time.Time
}

// Teller decides what a VM tells to whom. It does no I/O and is not safe for
// concurrent use.
type Teller struct {
	position Position
	below    map[string]heardWord
	news     map[string]*Use // by service: objects that VMs below told and that are not told on yet
	next     time.Time       // when the sum is due
	quiet    bool            // the last word told nothing
}

// NewTeller returns a teller without a position: it tells nobody.
func NewTeller() *Teller {
	return &Teller{below: make(map[string]heardWord), news: make(map[string]*Use), quiet: true}
}

// SetPosition tells where the VM stands in the tree now.
func (t *Teller) SetPosition(p Position) { t.position = p }

// Told takes in the word of a VM below. It reports whether this VM shall tell on
// after RelayGap: one that is not below by this VM's own view counts for nothing,
// so that nothing is summed up twice in a circle.
func (t *Teller) Told(from string, w *Word, now time.Time) bool {
	if !slices.Contains(t.position.Below, from) {
		return false
	}
	t.below[from] = heardWord{w, now}
	for service, u := range w.Services {
		if u == nil {
			delete(w.Services, service)
			continue
		}
		if t.news[service] == nil {
			t.news[service] = newUse()
		}
		t.news[service].addObjects(u)
	}
	return t.position.Above != ""
}

// Turn is what a VM tells now.
type Turn struct {
	Word *Word
	To   []string // none: nothing is told
	Sum  bool     // the word is the sum of all, which the VM itself hears too
}

// Take takes a turn, by what the VM itself has, which is asked for only when
// something is told. The word goes up, or, at the top, is the sum and goes down.
func (t *Teller) Take(own func() *Word, now time.Time) Turn {
	top := t.position.Above == ""
	if top && (len(t.position.Below) == 0 || now.Before(t.next)) {
		return Turn{}
	}
	w := t.sum(own(), now)
	if w.Empty() && t.quiet {
		return Turn{}
	}
	t.quiet = w.Empty()
	period := SharePeriod
	if top {
		period = max(period, time.Duration(w.size()*len(t.position.Below))*time.Second/shareBytes)
		t.next = now.Add(period)
	}
	w.Life = shareLives * period
	if top {
		return Turn{w, t.position.Below, true}
	}
	return Turn{w, []string{t.position.Above}, false}
}

// Below returns the VMs to which a sum is passed that came from another VM; false
// when that is not the one above.
func (t *Teller) Below(from string) ([]string, bool) {
	return t.position.Below, from != "" && from == t.position.Above
}

// sum adds what the VMs below told to a word.
func (t *Teller) sum(w *Word, now time.Time) *Word {
	for vm, h := range t.below {
		if now.Sub(h.at) > min(h.word.Life, wordLifeMost) || !slices.Contains(t.position.Below, vm) {
			delete(t.below, vm)
			continue
		}
		for service, u := range h.word.Services {
			w.use(service).addRunning(u)
		}
	}
	for service, u := range t.news {
		w.use(service).addObjects(u)
	}
	clear(t.news)
	return w
}
