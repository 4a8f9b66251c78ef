package steering

import "time"

// Bounds of ejection.
const (
	ejectAfter      = 5                // failures in a row, of more than one VM, that eject a target
	ejectAfterAlone = 10               // failures in a row of one VM, whose own network may be at fault
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
// After its ejection a target is on trial: it is to get one request at a time,
// a failure ejects it again for twice as long, where the panic rule allows, and
// a success ends the trial.
//
// Property (panic rule): the slots of the ejected targets are never more than
// half of all slots, and a target that still answers some requests is not
// ejected when fewer slots than there are permits out would be left.
type Ejector struct {
	records map[string]*ejectRecord
	total   int // slots of all targets
}

type ejectRecord struct {
	slots    int
	inRow    int
	vm       string // of the last failure
	several  bool   // the failures in a row are of more than one VM
	count    int
	failures float64
	until    time.Time
	last     time.Time
	length   time.Duration
	trial    bool // ejected, and nothing has succeeded since
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

// Observe takes in an outcome of a VM; inUse is how many permits of all targets
// are out. It reports whether the target was ejected by it.
func (e *Ejector) Observe(target, vm string, ok bool, inUse int, now time.Time) bool {
	r := e.records[target]
	if r == nil {
		return false
	}
	r.observe(vm, ok)
	if now.Before(r.until) {
		return false
	}
	failedTrial := r.trial && !ok
	r.trial = r.trial && !ok
	if !failedTrial && !r.bad() {
		return false
	}
	ejected := e.EjectedSlots(now) + r.slots
	if float64(ejected) > maxEjectedSlots*float64(e.total) {
		return false
	}
	if !r.failsAll() && e.total-ejected < inUse {
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

// OnTrial reports whether the target was ejected and has not answered since.
func (e *Ejector) OnTrial(target string, now time.Time) bool {
	r := e.records[target]
	return r != nil && r.trial && !now.Before(r.until)
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

func (r *ejectRecord) observe(vm string, ok bool) {
	r.count++
	if ok {
		r.inRow, r.several, r.vm = 0, false, ""
		r.failures -= ejectSmoothing * r.failures
		return
	}
	r.several = r.several || (r.inRow > 0 && r.vm != vm)
	r.vm = vm
	r.inRow++
	r.failures += ejectSmoothing * (1 - r.failures)
}

// failsAll reports whether nothing succeeds any more.
func (r *ejectRecord) failsAll() bool {
	return r.inRow >= ejectAfterAlone || (r.several && r.inRow >= ejectAfter)
}

func (r *ejectRecord) bad() bool {
	return r.failsAll() || (r.count >= ejectMinCount && r.failures > ejectFailures)
}

func (r *ejectRecord) eject(now time.Time) {
	if r.length == 0 || now.Sub(r.last) > ejectForget {
		r.length = ejectFirst
	} else {
		r.length = min(2*r.length, ejectLongest)
	}
	r.last = now
	r.until = now.Add(r.length)
	r.trial = true
	r.inRow, r.several, r.count, r.failures = 0, false, 0, 0
}
