package forward

import "sync"

// unanswered holds the attempts of repeatable requests that wait for a response on a direct connection.
type unanswered struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
}

func newUnanswered() *unanswered { return &unanswered{attempts: make(map[*attempt]struct{})} }

// add adds an attempt, if it may be abandoned; the caller must call the returned function at its end.
func (u *unanswered) add(a *attempt) (remove func()) {
	if !a.x.repeatable || a.carrier != "" {
		return func() {}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts[a] = struct{}{}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.attempts, a)
	}
}

// AbandonUnanswered ends the attempts of repeatable requests that wait for a response on a direct connection.
// They are retried if their limits allow it. It is called when this VM has lost its ways to targets.
func (h *Handler) AbandonUnanswered() {
	h.unanswered.mu.Lock()
	defer h.unanswered.mu.Unlock()
	for a := range h.unanswered.attempts {
		a.cancel(errTargetTimeout)
	}
}
