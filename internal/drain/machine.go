// Package drain takes this VM out of service without cutting or refusing a
// request: look-ups stop naming it, it serves on until the last cached look-up
// has expired and nothing is in flight, and only then it ends.
package drain

import "time"

// Step is a step of a planned stop.
type Step string

// The steps of a planned stop, in order. StepForced can follow any of them.
const (
	StepServing   Step = "serving"   // no stop requested
	StepLeaving   Step = "leaving"   // the stop is being announced
	StepLingering Step = "lingering" // callers may still hold look-ups that name this VM
	StepFinishing Step = "finishing" // requests in flight finish
	StepEnded     Step = "ended"     // nothing is in flight
	StepForced    Step = "forced"    // requests in flight are cut
)

// Steps lists the steps of a planned stop.
func Steps() []Step {
	return []Step{StepServing, StepLeaving, StepLingering, StepFinishing, StepEnded, StepForced}
}

// eventKind is what happened.
type eventKind uint8

const (
	eventBegin     eventKind = iota // a stop was requested
	eventAnnounced                  // the other VMs know, or the time for it is over
	eventTick                       // some time has passed
	eventForce                      // the stop is to end now
)

// event is an input of the machine.
type event struct {
	kind     eventKind
	inFlight int // requests being served, for eventTick and eventForce
}

// action is an output of the machine.
type action uint8

const (
	actionAnnounce         action = iota + 1 // announce the stop to the other VMs
	actionCloseConnections                   // close the connection with each answer
	actionReport                             // log the requests in flight
	actionEnd                                // the stop is over
	actionRefuse                             // refuse further requests
)

// times are the durations a stop follows.
type times struct {
	maxAge time.Duration // how long callers may keep a look-up
	spread time.Duration // until the last VM has stopped naming this one, once neighbors know
	refuse bool          // the stop has a bound: after the linger no request is taken
	grace  time.Duration // after which what is still in flight is reported, each time it passes
}

// machine decides the steps of one stop. It does no I/O. It never cuts a
// request by itself, however long that takes: only eventForce does.
type machine struct {
	times  times
	step   Step
	began  time.Time
	linger time.Time // until when look-ups may name this VM
	report time.Time
	last   time.Time // of the last tick
	settle time.Time // until when requests that waited during a pause of the process may begin
}

func newMachine(t times) *machine { return &machine{times: t, step: StepServing} }

// next handles an event and returns the actions, in order.
func (m *machine) next(e event, now time.Time) []action {
	switch {
	case m.step == StepEnded || m.step == StepForced:
		return nil
	case e.kind == eventForce:
		return m.force(e)
	case e.kind == eventBegin && m.step == StepServing:
		m.step = StepLeaving
		m.began = now
		m.report = now.Add(m.times.grace)
		return []action{actionAnnounce}
	case e.kind == eventAnnounced && m.step == StepLeaving:
		m.step = StepLingering
		m.last = now
		m.linger = m.lingerFrom(now).Add(m.times.spread + m.times.maxAge)
		return []action{actionCloseConnections}
	case e.kind == eventTick:
		return m.tick(e, now)
	}
	return nil
}

// lingerFrom returns when the time to linger begins: with the stop where the
// stop has a bound, else when the neighbors know.
func (m *machine) lingerFrom(announced time.Time) time.Time {
	if m.times.refuse {
		return m.began
	}
	return announced
}

func (m *machine) force(e event) []action {
	m.step = StepForced
	if e.inFlight > 0 {
		return []action{actionReport, actionEnd}
	}
	return []action{actionEnd}
}

// recordPause sets when requests that callers sent while the process stood
// still, and that wait in its sockets, must have begun.
func (m *machine) recordPause(now time.Time) {
	if !m.last.IsZero() && now.Sub(m.last) > pauseLimit {
		m.settle = now.Add(settleTime)
	}
	m.last = now
}

func (m *machine) tick(e event, now time.Time) []action {
	m.recordPause(now)
	if m.step == StepLingering && !now.Before(m.linger) {
		m.step = StepFinishing
		if m.times.refuse {
			return []action{actionRefuse}
		}
	}
	if m.step == StepFinishing && e.inFlight == 0 && !now.Before(m.settle) {
		m.step = StepEnded
		return []action{actionEnd}
	}
	if m.step != StepServing && e.inFlight > 0 && now.After(m.report) {
		m.report = now.Add(m.times.grace)
		return []action{actionReport}
	}
	return nil
}
