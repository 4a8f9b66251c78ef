package drain

import (
	"slices"
	"testing"
	"time"
)

// After a pause of the process, requests that callers sent meanwhile wait in the
// sockets and are not counted as in flight yet. The first tick after the pause
// must not end the stop.
func TestPauseDoesNotEndTheStopAtOnce(t *testing.T) {
	for _, step := range []Step{StepLingering, StepFinishing} {
		t.Run(string(step), func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := newStateMachine(stopParams{lookupMaxAge: testMaxAge, propagation: propagationTime, reportInterval: testGrace})
			m.handle(event{kind: eventStopRequested}, now)
			m.handle(event{kind: eventAnnounced}, now)
			if step == StepFinishing {
				for m.step != StepFinishing {
					now = now.Add(tickInterval)
					m.handle(event{kind: eventTick, inFlight: 1}, now)
				}
			}
			now = now.Add(time.Minute) // the pause
			if got := m.handle(event{kind: eventTick}, now); slices.Contains(got, actionEnd) {
				t.Fatal("the stop ends at the first tick after the pause")
			}
			for i := 0; ; i++ {
				now = now.Add(tickInterval)
				if slices.Contains(m.handle(event{kind: eventTick}, now), actionEnd) {
					break
				}
				if i > int(time.Minute/tickInterval) {
					t.Fatal("the stop does not end")
				}
			}
		})
	}
}

// A request that starts after a pause must finish before the stop ends, also if
// the neighbors are partitioned.
func TestPauseAndRequestsInFlight(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newStateMachine(stopParams{lookupMaxAge: testMaxAge, propagation: propagationTime, reportInterval: testGrace})
	m.handle(event{kind: eventStopRequested}, now)
	now = now.Add(maxLeaveTimeout) // the neighbors did not acknowledge
	m.handle(event{kind: eventAnnounced}, now)
	for _, inFlight := range []int{0, 1, 1, 1} {
		now = now.Add(time.Minute)
		if got := m.handle(event{kind: eventTick, inFlight: inFlight}, now); slices.Contains(got, actionEnd) {
			t.Fatalf("ended at step %s with %d in flight", m.step, inFlight)
		}
	}
}
