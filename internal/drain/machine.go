// Package drain takes this VM out of service without cutting or refusing a
// request. Look-ups stop naming the VM. It serves until the last cached look-up
// has expired and no request is in flight, and only then stops.
package drain

import "time"

// Step is a step of a planned stop.
type Step string

// The steps of a planned stop, in order. StepForced can follow any of them.
const (
	StepServing   Step = "serving"   // no stop requested
	StepLeaving   Step = "leaving"   // the stop is being announced to the other VMs
	StepLingering Step = "lingering" // callers may still use cached look-ups that name this VM
	StepFinishing Step = "finishing" // waiting for requests in flight
	StepEnded     Step = "ended"     // no request is in flight
	StepForced    Step = "forced"    // ended early; requests in flight are cut
)

// Steps returns all steps of a planned stop.
func Steps() []Step {
	return []Step{StepServing, StepLeaving, StepLingering, StepFinishing, StepEnded, StepForced}
}

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventStopRequested eventKind = iota // a stop was requested
	eventAnnounced                      // the other VMs acknowledged, or the wait timed out
	eventTick                           // a tick interval has passed
	eventForce                          // the stop must end now
)

// event is an input of the state machine.
type event struct {
	kind     eventKind
	inFlight int // number of requests in flight, for eventTick and eventForce
}

// action is an output of the state machine.
type action uint8

const (
	actionAnnounce         action = iota + 1 // announce the stop to the other VMs
	actionCloseConnections                   // close connections of callers after their next answer
	actionLogInFlight                        // log the number of requests in flight
	actionEnd                                // end the stop
	actionRefuse                             // refuse further requests
	actionStopSending                        // refuse requests that were not sent to a target yet
)

// stopParams are the parameters of a stop.
type stopParams struct {
	lookupMaxAge   time.Duration // how long callers may cache a look-up
	propagation    time.Duration // from the neighbors' acknowledgment until no VM names this one in look-ups; if bounded, the linger time
	bounded        bool          // the stop is limited in time: requests are refused after the linger time
	sendTime       time.Duration // if bounded, how long requests may be sent to targets; 0: no limit
	reportInterval time.Duration // interval of logging the requests in flight
}

// stateMachine decides the steps of one stop. It does no I/O. It waits for
// requests in flight without a limit; only eventForce ends the stop earlier.
type stateMachine struct {
	params      stopParams
	step        Step
	began       time.Time
	lingerUntil time.Time // time until which look-ups may name this VM
	sendUntil   time.Time // time until which requests may be sent to targets; zero: no limit, or it is over
	nextReport  time.Time
	lastTick    time.Time // time of the last tick
	settleUntil time.Time // time until which requests that waited during a pause of the process may start
}

func newStateMachine(p stopParams) *stateMachine {
	return &stateMachine{params: p, step: StepServing}
}

// handle applies an event and returns the actions to take, in order.
func (m *stateMachine) handle(e event, now time.Time) []action {
	switch {
	case m.step == StepEnded || m.step == StepForced:
		return nil
	case e.kind == eventForce:
		return m.force(e)
	case e.kind == eventStopRequested && m.step == StepServing:
		m.step = StepLeaving
		m.began = now
		m.nextReport = now.Add(m.params.reportInterval)
		return []action{actionAnnounce}
	case e.kind == eventAnnounced && m.step == StepLeaving:
		m.step = StepLingering
		m.lastTick = now
		m.lingerUntil = m.lingerStart(now).Add(m.params.propagation + m.params.lookupMaxAge)
		return []action{actionCloseConnections}
	case e.kind == eventTick:
		return m.tick(e, now)
	}
	return nil
}

// lingerStart returns the start of the linger time: that of the stop if it is
// bounded, else the time when the neighbors acknowledged.
func (m *stateMachine) lingerStart(announced time.Time) time.Time {
	if m.params.bounded {
		return m.began
	}
	return announced
}

func (m *stateMachine) force(e event) []action {
	m.step = StepForced
	if e.inFlight > 0 {
		return []action{actionLogInFlight, actionEnd}
	}
	return []action{actionEnd}
}

// detectPause detects a pause of the process from a gap between ticks. Requests
// sent during a pause wait in the sockets and are not counted as in flight yet,
// so it sets the time until which they may start.
func (m *stateMachine) detectPause(now time.Time) {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > maxTickGap {
		m.settleUntil = now.Add(settleTime)
	}
	m.lastTick = now
}

func (m *stateMachine) tick(e event, now time.Time) []action {
	m.detectPause(now)
	if m.step == StepLingering && !now.Before(m.lingerUntil) {
		m.step = StepFinishing
		if m.params.bounded {
			if m.params.sendTime > 0 {
				m.sendUntil = m.began.Add(m.params.sendTime)
			}
			return []action{actionRefuse}
		}
	}
	if m.step == StepFinishing && e.inFlight == 0 && !now.Before(m.settleUntil) {
		m.step = StepEnded
		return []action{actionEnd}
	}
	if m.step == StepFinishing && !m.sendUntil.IsZero() && !now.Before(m.sendUntil) {
		m.sendUntil = time.Time{}
		return []action{actionStopSending}
	}
	if m.step != StepServing && e.inFlight > 0 && now.After(m.nextReport) {
		m.nextReport = now.Add(m.params.reportInterval)
		return []action{actionLogInFlight}
	}
	return nil
}
