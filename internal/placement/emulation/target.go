package emulation

import (
	"container/list"
	"time"

	"masticturn/internal/config"
)

// target emulates a target: slots, a FIFO queue and an LRU cache of objects.
type target struct {
	name       string
	region     string
	slots      int
	queueLimit int
	remembers  int
	running    int
	waiting    []*try
	gone       bool
	down       bool // crashed
	starts     int
	leaving    bool          // announced in its answers
	backoff    time.Duration // Retry-After of its refusals; 0: it takes requests
	arrivals   int

	known map[string]*list.Element
	order *list.List // of objects, the one used last in front
}

func newTarget(name string, region string, l *Load) *target {
	t := &target{name: name, region: region, slots: l.Slots, queueLimit: l.QueueLimit, remembers: l.Remembers}
	t.forget()
	return t
}

func (t *target) forget() {
	t.known = make(map[string]*list.Element)
	t.order = list.New()
}

// use records a run for an object and reports whether the object was cached.
func (t *target) use(object string) bool {
	if e, ok := t.known[object]; ok {
		t.order.MoveToFront(e)
		return true
	}
	t.known[object] = t.order.PushFront(object)
	if t.order.Len() > t.remembers {
		oldest := t.order.Back()
		delete(t.known, oldest.Value.(string))
		t.order.Remove(oldest)
	}
	return false
}

// try is one request at one target.
type try struct {
	req     *request
	vm      *vm
	target  *target
	opening time.Duration // of its connection; 0: one was open
	sent    time.Time
	running bool
	over    bool // it ended or was given up
	place   place
}

// document returns the document with the service's targets that have not left.
func document(l *Load, targets []*target) *config.Document {
	doc := &config.Document{Services: []config.Service{{Name: l.Name}}}
	for _, r := range l.Regions {
		doc.Regions = append(doc.Regions, config.Region{Name: r.Name, Zones: []string{r.Name}})
	}
	for _, t := range targets {
		if !t.gone {
			doc.Services[0].Targets = append(doc.Services[0].Targets, config.Target{Name: t.name, Zone: t.region, Slots: t.slots})
		}
	}
	return doc
}
