package idempotency

import (
	"time"

	"masticturn/internal/platform"
)

// ClaimState is the state of a claim in the platform.
type ClaimState string

// The states of a claim in the platform.
const (
	ClaimRunning  ClaimState = "running"
	ClaimAnswered ClaimState = "answered"
	ClaimLost     ClaimState = "unknown"
	ClaimReleased ClaimState = "not-run"
)

// claimObject is the value of a platform.KindClaim object.
type claimObject struct {
	Token       string      `json:"token"` // of the run; unique
	VM          string      `json:"vm"`
	Incarnation uint64      `json:"incarnation"`
	Fingerprint Fingerprint `json:"fingerprint"`
	State       ClaimState  `json:"state"`
	Answer      *Answer     `json:"answer,omitempty"`
}

// ClaimStep is a step of claiming a key in the platform.
type ClaimStep string

// The steps of a claim, each a call except ClaimPause and ClaimDone.
const (
	ClaimCreate   ClaimStep = "create"    // create the claim object
	ClaimRead     ClaimStep = "read"      // read who holds the key
	ClaimTakeOver ClaimStep = "take-over" // replace a claim whose run surely did not happen
	ClaimAsk      ClaimStep = "ask"       // ask the holder's instance
	ClaimPause    ClaimStep = "pause"     // wait before reading or asking again
	ClaimDone     ClaimStep = "done"      // the verdict is there
)

// Steps lists the steps of a claim.
func Steps() []ClaimStep {
	return []ClaimStep{ClaimCreate, ClaimRead, ClaimTakeOver, ClaimAsk, ClaimPause, ClaimDone}
}

// claimEvent is what came of the step that was asked for.
type claimEvent struct {
	err     error            // of a call to the platform, typed, or of asking
	version platform.Version // written or read
	object  claimObject      // read
	verdict Verdict          // of the holder
	answer  *Answer          // of the holder
}

// claimant claims a key in the platform. It does no I/O: step tells what to do
// next, and next takes what came of it.
//
// At most one run: a run needs a claim object with its own token. Such an
// object comes by a create, which succeeds once for a name, or by a conditional
// update of an object whose run its own holder declared not run. No claim is
// taken over because of time, so that a paused holder does no harm.
type claimant struct {
	own claimObject

	step    ClaimStep
	after   ClaimStep // what follows a pause
	version platform.Version
	holder  claimObject
	// written tells that a write of ours may have taken effect, or may still.
	written bool

	verdict Verdict // when step is ClaimDone; 0: the platform can't tell now
	answer  *Answer
}

func newClaimant(own claimObject) *claimant { return &claimant{own: own, step: ClaimCreate} }

// next takes the result of the current step.
func (c *claimant) next(ev claimEvent) {
	switch c.step {
	case ClaimCreate, ClaimTakeOver:
		c.wrote(ev)
	case ClaimRead:
		c.read(ev)
	case ClaimAsk:
		c.asked(ev)
	case ClaimPause:
		c.step = c.after
	}
}

func (c *claimant) done(v Verdict, a *Answer) {
	c.step, c.verdict, c.answer = ClaimDone, v, a
}

func (c *claimant) pause(after ClaimStep) { c.step, c.after = ClaimPause, after }

func (c *claimant) wrote(ev claimEvent) {
	switch kindOf(ev.err) {
	case writeDone:
		c.version = ev.version
		c.done(VerdictRun, nil)
	case writeConflict:
		if c.step == ClaimTakeOver {
			c.pause(ClaimRead) // another was faster, or the read before was stale
			return
		}
		c.step = ClaimRead
	case writeUnknown:
		c.written = true
		c.step = ClaimRead
	default:
		c.done(0, nil)
	}
}

func (c *claimant) read(ev claimEvent) {
	switch kindOf(ev.err) {
	case writeDone:
		c.found(ev)
	case readNotFound:
		c.pause(ClaimCreate) // a stale read, or our write has no effect yet
	default:
		c.done(0, nil)
	}
}

func (c *claimant) found(ev claimEvent) {
	c.version, c.holder = ev.version, ev.object
	switch {
	case ev.object.Token == c.own.Token && ev.object.State == ClaimRunning:
		c.done(VerdictRun, nil)
	case ev.object.State == ClaimReleased:
		c.step = ClaimTakeOver
	case ev.object.Fingerprint != c.own.Fingerprint:
		c.done(VerdictMismatch, nil)
	case ev.object.State == ClaimAnswered && ev.object.Answer != nil:
		c.done(VerdictReplay, ev.object.Answer)
	case ev.object.State == ClaimLost:
		c.done(VerdictLost, nil)
	default:
		c.step = ClaimAsk
	}
}

func (c *claimant) asked(ev claimEvent) {
	switch {
	case ev.err != nil:
		c.done(0, nil)
	case ev.verdict == VerdictRun:
		c.step = ClaimTakeOver // the holder declares that its run never was
	case ev.verdict == VerdictBusy:
		c.pause(ClaimAsk)
	default:
		c.done(ev.verdict, ev.answer)
	}
}

// claimPause is the wait before a claim is read again.
const claimPause = 50 * time.Millisecond
