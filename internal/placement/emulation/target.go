package emulation

import (
	"container/list"
	"time"

	"masticturn/internal/config"
)

// target is a simulated target with slots, a FIFO queue and an LRU cache of objects.
type target struct {
	name       string
	region     string
	slots      int
	queueLimit int
	cacheSize  int
	running    int
	queue      []*attempt
	removed    bool
	down       bool // crashed and not yet restarted
	restarts   int
	leaving    bool          // announces in its answers that it is leaving
	backoff    time.Duration // Retry-After of its refusals; 0: accepts requests
	workFactor float64       // run times there now, in multiples of the usual ones
	slowness   float64       // run times there, in multiples of those of usual targets
	arrivals   int

	cached map[string]*list.Element
	lru    *list.List // of objects, the most recently used first
}

func newTarget(name string, region string, w *Workload) *target {
	t := &target{name: name, region: region, slots: w.Slots, queueLimit: w.QueueLimit, cacheSize: w.CacheSize, workFactor: 1, slowness: 1}
	t.clearCache()
	return t
}

func (t *target) clearCache() {
	t.cached = make(map[string]*list.Element)
	t.lru = list.New()
}

// accessObject looks up an object, caches it if necessary, and reports whether it was cached.
func (t *target) accessObject(object string) bool {
	if e, ok := t.cached[object]; ok {
		t.lru.MoveToFront(e)
		return true
	}
	t.cached[object] = t.lru.PushFront(object)
	if t.lru.Len() > t.cacheSize {
		oldest := t.lru.Back()
		delete(t.cached, oldest.Value.(string))
		t.lru.Remove(oldest)
	}
	return false
}

// attempt is the sending of a request to one target.
type attempt struct {
	req         *request
	vm          *vm
	target      *target
	connectTime time.Duration // time to open a connection; 0: none was opened
	sentAt      time.Time
	running     bool
	done        bool // ended or canceled
	entry       queueEntry
}

// buildDocument returns a document with the service and its targets that have not been removed.
func buildDocument(w *Workload, targets []*target) *config.Document {
	doc := &config.Document{Services: []config.Service{{Name: w.Name}}}
	for _, r := range w.Regions {
		doc.Regions = append(doc.Regions, config.Region{Name: r.Name, Zones: []string{r.Name}})
	}
	for _, t := range targets {
		if !t.removed {
			doc.Services[0].Targets = append(doc.Services[0].Targets, config.Target{Name: t.name, Zone: t.region, Slots: t.slots})
		}
	}
	return doc
}
