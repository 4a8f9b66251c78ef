package steering

import "time"

// Bounds of ejection.
const (
	ejectAfter      = 5                // failures in a row that eject a target
	ejectFailures   = 0.5              // part of failed outcomes that ejects a target
	ejectMinCount   = 10               // outcomes before that part counts
	ejectSmoothing  = 0.1              // weight of a new outcome in the part
	ejectFirst      = time.Second      // first ejection; doubled each time
	ejectLongest    = 30 * time.Second // longest ejection
	ejectForget     = time.Minute      // without ejection the length starts anew
	maxEjectedSlots = 0.5              // part of the slots that may be ejected at once
)

// Ejector takes targets out of use by what happened to requests sent there.
// These outcomes outweigh what a target reports about itself.
//
// Property (panic rule): the slots of the ejected targets are never more than
// half of all slots, and an ejection that would leave fewer slots than permits
// are out is not done.
type Ejector struct {
	records map[string]*ejectRecord
	total   int // slots of all targets
}

type ejectRecord struct {
	slots    int
	inRow    int
	count    int
	failures float64
	until    time.Time
	last     time.Time
	length   time.Duration
}

// NewEjector returns an ejector for targets without outcomes.
func NewEjector() *Ejector { return &Ejector{records: make(map[string]*ejectRecord)} }

// SetSlots tells a target's slots; 0 forgets the target.
func (e *Ejector) SetSlots(target string, slots int) {
	r := e.records[target]
	if r == nil {
		r = &ejectRecord{}
		e.records[target] = r
	}
	e.total += slots - r.slots
	r.slots = slots
	if slots == 0 {
		delete(e.records, target)
	}
}

// Observe takes in an outcome; inUse is how many permits of all targets are
// out. It reports whether the target was ejected by it.
func (e *Ejector) Observe(target string, ok bool, inUse int, now time.Time) bool {
	r := e.records[target]
	if r == nil {
		return false
	}
	r.observe(ok)
	if !r.bad() || now.Before(r.until) {
		return false
	}
	ejected := e.EjectedSlots(now) + r.slots
	if float64(ejected) > maxEjectedSlots*float64(e.total) || e.total-ejected < inUse {
		return false
	}
	r.eject(now)
	return true
}

// Ejected reports whether the target is out of use.
func (e *Ejector) Ejected(target string, now time.Time) bool {
	r := e.records[target]
	return r != nil && now.Before(r.until)
}

// EjectedSlots returns the slots of all ejected targets.
func (e *Ejector) EjectedSlots(now time.Time) int {
	n := 0
	for _, r := range e.records {
		if now.Before(r.until) {
			n += r.slots
		}
	}
	return n
}

func (r *ejectRecord) observe(ok bool) {
	r.count++
	if ok {
		r.inRow = 0
		r.failures -= ejectSmoothing * r.failures
		return
	}
	r.inRow++
	r.failures += ejectSmoothing * (1 - r.failures)
}

func (r *ejectRecord) bad() bool {
	return r.inRow >= ejectAfter || (r.count >= ejectMinCount && r.failures > ejectFailures)
}

func (r *ejectRecord) eject(now time.Time) {
	if r.length == 0 || now.Sub(r.last) > ejectForget {
		r.length = ejectFirst
	} else {
		r.length = min(2*r.length, ejectLongest)
	}
	r.last = now
	r.until = now.Add(r.length)
	r.inRow, r.count, r.failures = 0, 0, 0
}
