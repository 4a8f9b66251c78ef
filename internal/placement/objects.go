package placement

import "time"

// objectsMost is how many objects a VM remembers to have sent to one target.
// Targets remember some tens themselves.
const objectsMost = 64

// objects remembers which objects were sent to a target, the latest ones.
type objects struct {
	last map[string]time.Time
}

func (o *objects) known(key string) bool {
	_, ok := o.last[key]
	return ok
}

// add notes a request about an object; the one that was not asked for longest
// makes room.
func (o *objects) add(key string, now time.Time) {
	if o.last == nil {
		o.last = make(map[string]time.Time)
	}
	if _, ok := o.last[key]; !ok && len(o.last) >= objectsMost {
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
