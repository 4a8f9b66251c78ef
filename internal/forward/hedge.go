package forward

import (
	"errors"
	"sync"
	"time"
)

var errHedged = errors.New("another attempt was faster")

// hedge starts a second attempt at another target if the first one's answer is late. The first good
// head wins; the other attempt is canceled. Only repeatable requests with a kept body are hedged,
// within the retry budget.
type hedge struct {
	first  *attempt
	number int // of the second attempt
	timer  *time.Timer
	ended  chan struct{} // closed when the second attempt has its result

	mu     sync.Mutex
	second *attempt   // nil until it starts
	end    attemptEnd // of its head
	over   bool       // the first has won
	done   bool       // the second has its result
}

// armHedge starts the timer of a hedge. It is called on sending, once the headers are final.
func (a *attempt) armHedge() {
	x := a.x
	after := x.snap.Document.Retry.HedgeAfterMS.Duration()
	if after <= 0 || a.hedged || !x.repeatable || x.stream != nil || x.dispatch.attempts >= x.dispatch.rule.maxAttempts {
		return
	}
	h := &hedge{first: a, number: x.dispatch.attempts + 1, ended: make(chan struct{})}
	a.hedge = h
	h.timer = time.AfterFunc(after, h.run)
}

// run makes the second attempt, up to the head of its answer.
func (h *hedge) run() {
	if !h.begin() {
		return
	}
	end := h.second.head()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end, h.done = end, true
	if h.over {
		h.second.lose(&h.end)
		return
	}
	if end.Fault == FaultNone {
		h.first.cancel(errHedged)
	}
	close(h.ended)
}

// begin spends the budget and creates the second attempt.
func (h *hedge) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.first.x
	if h.over || !x.spend(h.first.target.Name) {
		h.done = true
		close(h.ended)
		return false
	}
	x.h.series.hedges.Inc()
	h.second = x.newAttempt(h.first.parent, h.number, []string{h.first.target.Name})
	h.second.hedged = true
	h.second.fresh = h.first.fresh
	return true
}

// join is called at the end of the first head. It returns the second attempt if that one replaces
// the first, else nil.
func (h *hedge) join(firstFault Fault) (*attempt, attemptEnd) {
	if h.timer.Stop() || firstFault == FaultNone && h.drop() {
		return nil, attemptEnd{}
	}
	<-h.ended
	return h.second, h.end
}

// drop ends the second attempt, as the first has won; false if the second has won before.
func (h *hedge) drop() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.second == nil:
	case !h.done:
		h.second.cancel(errHedged)
	case h.end.Fault == FaultNone:
		return false
	default:
		h.second.lose(&h.end)
	}
	h.over = true
	return true
}

// lose releases an attempt whose answer is not needed.
func (a *attempt) lose(end *attemptEnd) {
	if end.Fault == FaultNone {
		end.Fault, end.Sent = FaultCallerGone, true
	}
	a.finish(end)
	a.cancel(nil)
}
