package placement

import "time"

// maxObjects is the maximum number of objects recorded per target. Targets cache some tens
// of objects.
const maxObjects = 64

// objects records the objects most recently requested from a target.
type objects struct {
	lastSent map[string]time.Time // by object key
}

// known reports whether an object is recorded.
func (o *objects) known(key string) bool {
	_, ok := o.lastSent[key]
	return ok
}

// add records a request for an object. If the record is full, the least recently requested
// object is evicted.
func (o *objects) add(key string, now time.Time) {
	if o.lastSent == nil {
		o.lastSent = make(map[string]time.Time)
	}
	if _, ok := o.lastSent[key]; !ok && len(o.lastSent) >= maxObjects {
		o.evictOldest()
	}
	o.lastSent[key] = now
}

func (o *objects) evictOldest() {
	oldest := ""
	for key, at := range o.lastSent {
		if oldest == "" || at.Before(o.lastSent[oldest]) {
			oldest = key
		}
	}
	delete(o.lastSent, oldest)
}
