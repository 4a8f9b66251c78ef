package drain

import (
	"slices"
	"testing"
	"time"
)

// TestPauseDoesNotEndTheStopAtOnce lets a long time pass between two looks at
// what is in flight, as for a process that stood still: what callers sent
// meanwhile waits in its sockets and is not counted yet.
func TestPauseDoesNotEndTheStopAtOnce(t *testing.T) {
	for _, step := range []Step{StepLingering, StepFinishing} {
		t.Run(string(step), func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := newMachine(times{maxAge: testMaxAge, spread: spreadTime, grace: testGrace})
			m.next(event{kind: eventBegin}, now)
			m.next(event{kind: eventAnnounced}, now)
			if step == StepFinishing {
				for m.step != StepFinishing {
					now = now.Add(tickTime)
					m.next(event{kind: eventTick, inFlight: 1}, now)
				}
			}
			now = now.Add(time.Minute) // the pause
			if got := m.next(event{kind: eventTick}, now); slices.Contains(got, actionEnd) {
				t.Fatal("the stop ends at the first look after the pause")
			}
			for i := 0; ; i++ {
				now = now.Add(tickTime)
				if slices.Contains(m.next(event{kind: eventTick}, now), actionEnd) {
					break
				}
				if i > int(time.Minute/tickTime) {
					t.Fatal("the stop does not end")
				}
			}
		})
	}
}

// TestPauseAndRequestsInFlight lets a request come in after the pause, and the
// neighbors be cut off as well: it goes to its end.
func TestPauseAndRequestsInFlight(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMachine(times{maxAge: testMaxAge, spread: spreadTime, grace: testGrace})
	m.next(event{kind: eventBegin}, now)
	now = now.Add(leaveTimeout) // the neighbors did not answer
	m.next(event{kind: eventAnnounced}, now)
	for _, inFlight := range []int{0, 1, 1, 1} {
		now = now.Add(time.Minute)
		if got := m.next(event{kind: eventTick, inFlight: inFlight}, now); slices.Contains(got, actionEnd) {
			t.Fatalf("ended at step %s with %d in flight", m.step, inFlight)
		}
	}
}
