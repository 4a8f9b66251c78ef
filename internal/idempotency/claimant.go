package idempotency

import (
	"time"

	"masticturn/internal/platform"
)

// ClaimState is the state of a claim object in the platform store.
type ClaimState string

// The states of a claim object.
const (
	ClaimRunning  ClaimState = "running"
	ClaimAnswered ClaimState = "answered"
	ClaimUnknown  ClaimState = "unknown" // the outcome of the run is unknown
	ClaimReleased ClaimState = "not-run" // the key may be claimed again
)

// claimObject is the value of a platform.KindClaim object.
type claimObject struct {
	Token       string      `json:"token"` // unique ID of the run
	VM          string      `json:"vm"`
	Incarnation uint64      `json:"incarnation"`
	Fingerprint Fingerprint `json:"fingerprint"`
	State       ClaimState  `json:"state"`
	Response    *Response   `json:"answer,omitempty"`
}

// ClaimStep is a step of claiming a key in the platform store.
type ClaimStep string

// The steps of a claim. All except ClaimPause and ClaimDone make a call.
const (
	ClaimCreate   ClaimStep = "create"    // create the claim object
	ClaimRead     ClaimStep = "read"      // read the existing claim object
	ClaimTakeOver ClaimStep = "take-over" // replace a claim whose holder declared that it did not run
	ClaimQuery    ClaimStep = "ask"       // query the holder's instance for the state of its run
	ClaimPause    ClaimStep = "pause"     // wait before retrying a step
	ClaimDone     ClaimStep = "done"      // the verdict is available
)

// Steps returns the steps of a claim.
func Steps() []ClaimStep {
	return []ClaimStep{ClaimCreate, ClaimRead, ClaimTakeOver, ClaimQuery, ClaimPause, ClaimDone}
}

// stepResult is the result of a step.
type stepResult struct {
	err      error            // from the store or from the query to the holder
	version  platform.Version // of the object that was written or read
	object   claimObject      // that was read
	verdict  Verdict          // returned by the holder
	response *Response        // returned by the holder
}

// claimant is the state machine that claims a key in the platform store. It does no
// I/O: the caller performs the current step and passes its result to next.
//
// A key runs at most once because a run requires a claim object with the token of the
// run. The object is written by a create, which succeeds once per name, or by a
// conditional update of an object whose holder declared that it did not run. Claims
// never time out, so a paused holder cannot cause a second run.
type claimant struct {
	own claimObject

	step       ClaimStep
	afterPause ClaimStep // the step that follows ClaimPause
	version    platform.Version
	holder     claimObject
	// writeUncertain is set if the outcome of a write is unknown: it may have taken effect or
	// may do so later.
	writeUncertain bool

	verdict  Verdict // set at ClaimDone; 0: the platform cannot decide now
	response *Response
}

func newClaimant(own claimObject) *claimant { return &claimant{own: own, step: ClaimCreate} }

// next advances the state machine with the result of the current step.
func (c *claimant) next(result stepResult) {
	switch c.step {
	case ClaimCreate, ClaimTakeOver:
		c.handleWrite(result)
	case ClaimRead:
		c.handleRead(result)
	case ClaimQuery:
		c.handleQuery(result)
	case ClaimPause:
		c.step = c.afterPause
	}
}

func (c *claimant) finish(v Verdict, a *Response) {
	c.step, c.verdict, c.response = ClaimDone, v, a
}

func (c *claimant) pause(after ClaimStep) { c.step, c.afterPause = ClaimPause, after }

func (c *claimant) handleWrite(result stepResult) {
	switch classify(result.err) {
	case callSucceeded:
		c.version = result.version
		c.finish(VerdictRun, nil)
	case callConflict:
		if c.step == ClaimTakeOver {
			c.pause(ClaimRead) // another VM took over first, or the previous read was stale
			return
		}
		c.step = ClaimRead
	case callUnknown:
		c.writeUncertain = true
		c.step = ClaimRead
	default:
		c.finish(0, nil)
	}
}

func (c *claimant) handleRead(result stepResult) {
	switch classify(result.err) {
	case callSucceeded:
		c.handleObject(result)
	case callNotFound:
		c.pause(ClaimCreate) // the read was stale, or the write has not taken effect yet
	default:
		c.finish(0, nil)
	}
}

func (c *claimant) handleObject(result stepResult) {
	c.version, c.holder = result.version, result.object
	switch {
	case result.object.Token == c.own.Token && result.object.State == ClaimRunning:
		c.finish(VerdictRun, nil)
	case result.object.State == ClaimReleased:
		c.step = ClaimTakeOver
	case result.object.Fingerprint != c.own.Fingerprint:
		c.finish(VerdictMismatch, nil)
	case result.object.State == ClaimAnswered && result.object.Response != nil:
		c.finish(VerdictReplay, result.object.Response)
	case result.object.State == ClaimUnknown:
		c.finish(VerdictUnknown, nil)
	default:
		c.step = ClaimQuery
	}
}

func (c *claimant) handleQuery(result stepResult) {
	switch {
	case result.err != nil:
		c.finish(0, nil)
	case result.verdict == VerdictRun:
		c.step = ClaimTakeOver // the holder declared that it did not run
	case result.verdict == VerdictBusy:
		c.pause(ClaimQuery)
	default:
		c.finish(result.verdict, result.response)
	}
}

// claimRetryDelay is the delay before a step of a claim is retried.
const claimRetryDelay = 50 * time.Millisecond
