package forward

import (
	"errors"
	"sync"
	"time"
)

var errHedged = errors.New("another attempt was faster")

// hedge starts a second attempt at another target if the response to the first one is late, or the VM that carries
// the first one is. The first good response head wins, and the other attempt is canceled. Only repeatable requests
// without a streamed body are hedged, within the retry budget.
type hedge struct {
	first    *attempt
	number   int           // attempt number of the second attempt
	disarmed chan struct{} // closed when the second attempt must no longer start
	resolved chan struct{} // closed when secondResult is set

	mu           sync.Mutex
	started      bool          // the second attempt has started, or was not allowed
	second       *attempt      // nil until it starts
	secondResult attemptResult // of the second attempt, up to the response head
	firstWon     bool          // the first attempt has won
	secondEnded  bool          // the second attempt has ended, or was not started
}

// armHedge prepares a hedge. It is called on sending, when the headers are final.
func (a *attempt) armHedge() {
	x := a.x
	after, overdue := x.snap.Document.Retry.HedgeAfterMS.Duration(), a.conn.Overdue()
	if after <= 0 && overdue == nil {
		return
	}
	if a.hedge != nil || a.hedged || !x.repeatable || x.stream != nil || x.dispatch.attempts >= x.dispatch.policy.maxAttempts {
		return
	}
	a.hedge = &hedge{
		first: a, number: x.dispatch.attempts + 1,
		disarmed: make(chan struct{}), resolved: make(chan struct{}),
	}
	go a.hedge.await(after, overdue)
}

// await makes the second attempt after a time, unless it is 0, or when the carrier of the first one is overdue.
func (h *hedge) await(after time.Duration, overdue <-chan struct{}) {
	var late <-chan time.Time
	if after > 0 {
		timer := time.NewTimer(after)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-late:
	case <-overdue:
	case <-h.disarmed:
		return
	}
	h.run()
}

// run makes the second attempt, up to the head of its response.
func (h *hedge) run() {
	if !h.start() {
		return
	}
	result := h.second.roundTrip()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.secondResult, h.secondEnded = result, true
	if h.firstWon {
		h.second.discard(&h.secondResult)
		return
	}
	if result.Fault == FaultNone {
		h.first.cancel(errHedged)
	}
	close(h.resolved)
}

// start creates the second attempt if the retry budget allows it.
func (h *hedge) start() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.disarmed:
		return false
	default:
	}
	h.started = true
	x := h.first.x
	if !x.withdrawRetry(h.first.target.Name) {
		h.secondEnded = true
		close(h.resolved)
		return false
	}
	x.h.series.hedges.Inc()
	h.second = x.newAttempt(h.first.requestCtx, h.number, []string{h.first.target.Name})
	h.second.hedged = true
	h.second.newConnOnly = h.first.newConnOnly
	return true
}

// resolve is called when the first attempt has its response head or has failed. It returns the second
// attempt if that one replaces the first, else nil.
func (h *hedge) resolve(firstFault Fault) (*attempt, attemptResult) {
	if h.disarm() || firstFault == FaultNone && h.cancelSecond() {
		return nil, attemptResult{}
	}
	<-h.resolved
	if h.second != nil && h.second.target == nil { // it got no room
		h.second.discard(&h.secondResult)
		return nil, attemptResult{}
	}
	return h.second, h.secondResult
}

// disarm prevents the second attempt; false if it is too late for that.
func (h *hedge) disarm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.started {
		return false
	}
	close(h.disarmed)
	return true
}

// cancelSecond cancels the second attempt because the first has won; false if the second had already
// won.
func (h *hedge) cancelSecond() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.second == nil:
	case !h.secondEnded:
		h.second.cancel(errHedged)
	case h.secondResult.Fault == FaultNone:
		return false
	default:
		h.second.discard(&h.secondResult)
	}
	h.firstWon = true
	return true
}

// discard releases an attempt whose response is not needed.
func (a *attempt) discard(result *attemptResult) {
	if result.Fault == FaultNone {
		result.Fault, result.Sent = FaultCallerGone, true
	}
	a.finish(result)
	a.cancel(nil)
}
