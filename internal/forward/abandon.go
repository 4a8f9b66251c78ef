package forward

import "sync"

// attemptSet holds attempts that may have to be canceled together. The zero value is ready to use.
type attemptSet struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
}

// add adds an attempt; the caller must call the returned function at its end.
func (s *attemptSet) add(a *attempt) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts = make(map[*attempt]struct{})
	}
	s.attempts[a] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.attempts, a)
	}
}

// cancel cancels the attempts.
func (s *attemptSet) cancel(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.attempts {
		a.cancel(cause)
	}
}

// awaitResponse adds an attempt to those that wait for a response and may be abandoned: those of repeatable requests on
// a direct connection. The caller must call the returned function at its end.
func (a *attempt) awaitResponse() (done func()) {
	if !a.x.repeatable || a.carrier != "" {
		return func() {}
	}
	return a.x.h.unanswered.add(a)
}

// AbandonUnanswered ends the attempts of repeatable requests that wait for a response on a direct connection.
// They are retried if their limits allow it. It is called when this VM has lost its ways to targets.
func (h *Handler) AbandonUnanswered() { h.unanswered.cancel(errTargetTimeout) }
