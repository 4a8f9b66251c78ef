package drain

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/telemetry"
)

// A stop with a bound takes requests for a part of its time, then tells further
// ones to go elsewhere, and ends when nothing is in flight; it cuts nothing by
// itself.
func TestBoundedStop(t *testing.T) {
	const linger = 3 * time.Second
	now := time.Unix(1000, 0)
	m := newMachine(times{spread: linger, grace: time.Minute, refuse: true})
	m.next(event{kind: eventBegin}, now)
	if got := m.next(event{kind: eventAnnounced}, now); !slices.Equal(got, []action{actionCloseConnections}) {
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

// silentMembers are neighbors that never say that they know.
type silentMembers struct{}

func (silentMembers) Leave(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// idleCallers are callers without a request in flight.
type idleCallers struct{ refused bool }

func (*idleCallers) InFlight() int     { return 0 }
func (*idleCallers) CloseConnections() {}
func (c *idleCallers) Refuse()         { c.refused = true }

// noDocument is a source that has none.
type noDocument struct{}

func (noDocument) Current() *config.Snapshot { return nil }
func (noDocument) Subscribe(func(*config.Snapshot)) (cancel func()) {
	return func() {}
}

// A stop with a bound does not spend it on neighbors that are dead or cut off:
// further requests are refused on time, so that those in flight can end.
func TestBoundedStopWithSilentNeighbors(t *testing.T) {
	const grace = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		callers := &idleCallers{}
		s := NewService(Deps{
			Members: silentMembers{}, Callers: callers, Config: noDocument{}, Grace: grace,
			Clock: kernel.SystemClock{}, Logger: telemetry.Discard(),
		})
		began := time.Now()
		if err := s.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		if took, most := time.Since(began), grace/2+2*tickTime; took > most || !callers.refused {
			t.Errorf("the stop took %v, want %v at most; further requests were refused: %v", took, most, callers.refused)
		}
	})
}
