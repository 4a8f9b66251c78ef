package drain

import (
	"slices"
	"testing"
	"time"
)

// A stop with a bound takes requests for a part of its time, then tells further
// ones to go elsewhere, and ends when nothing is in flight; it cuts nothing by
// itself.
func TestBoundedStop(t *testing.T) {
	const linger = 3 * time.Second
	now := time.Unix(1000, 0)
	m := newMachine(times{spread: linger, grace: time.Minute, refuse: true})
	m.next(event{kind: eventBegin}, now)
	if got := m.next(event{kind: eventTold}, now); !slices.Equal(got, []action{actionCloseConnections}) {
		t.Errorf("told: %v", got)
	}
	for ; now.Before(time.Unix(1000, 0).Add(linger)); now = now.Add(tickTime) {
		if got := m.next(event{kind: eventTick, inFlight: 1}, now); got != nil {
			t.Fatalf("%v into the stop: %v", now.Sub(time.Unix(1000, 0)), got)
		}
	}
	if got := m.next(event{kind: eventTick, inFlight: 1}, now); !slices.Equal(got, []action{actionRefuse}) {
		t.Errorf("after the linger: %v", got)
	}
	now = now.Add(tickTime)
	if got := m.next(event{kind: eventTick, inFlight: 1}, now); got != nil || m.step != StepFinishing {
		t.Errorf("with a request in flight: %v at %s", got, m.step)
	}
	if got := m.next(event{kind: eventTick}, now); !slices.Equal(got, []action{actionEnd}) {
		t.Errorf("with nothing in flight: %v", got)
	}
}
