package placement

import "time"

// maxObjects bounds the objects remembered per target. Targets cache some tens.
const maxObjects = 64

// objects holds the latest objects sent to a target.
type objects struct {
	last map[string]time.Time
}

func (o *objects) known(key string) bool {
	_, ok := o.last[key]
	return ok
}

// add records a request for an object; the least recently used one is evicted.
func (o *objects) add(key string, now time.Time) {
	if o.last == nil {
		o.last = make(map[string]time.Time)
	}
	if _, ok := o.last[key]; !ok && len(o.last) >= maxObjects {
		o.dropOldest()
	}
	o.last[key] = now
}

func (o *objects) dropOldest() {
	oldest := ""
	for key, at := range o.last {
		if oldest == "" || at.Before(o.last[oldest]) {
			oldest = key
		}
	}
	delete(o.last, oldest)
}
