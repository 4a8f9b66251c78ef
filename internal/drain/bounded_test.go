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

// A bounded stop accepts requests for a part of its time, then refuses further
// ones, and ends when no request is in flight. It cuts no request by itself.
func TestBoundedStop(t *testing.T) {
	const linger = 3 * time.Second
	now := time.Unix(1000, 0)
	m := newStateMachine(stopParams{propagation: linger, reportInterval: time.Minute, bounded: true})
	m.handle(event{kind: eventStopRequested}, now)
	if got := m.handle(event{kind: eventAnnounced}, now); !slices.Equal(got, []action{actionCloseConnections}) {
		t.Errorf("after the announcement: %v", got)
	}
	for ; now.Before(time.Unix(1000, 0).Add(linger)); now = now.Add(tickInterval) {
		if got := m.handle(event{kind: eventTick, inFlight: 1}, now); got != nil {
			t.Fatalf("%v into the stop: %v", now.Sub(time.Unix(1000, 0)), got)
		}
	}
	if got := m.handle(event{kind: eventTick, inFlight: 1}, now); !slices.Equal(got, []action{actionRefuse}) {
		t.Errorf("after the linger time: %v", got)
	}
	now = now.Add(tickInterval)
	if got := m.handle(event{kind: eventTick, inFlight: 1}, now); got != nil || m.step != StepFinishing {
		t.Errorf("with a request in flight: %v at %s", got, m.step)
	}
	if got := m.handle(event{kind: eventTick}, now); !slices.Equal(got, []action{actionEnd}) {
		t.Errorf("with no request in flight: %v", got)
	}
}

// silentMembers are neighbors that never acknowledge.
type silentMembers struct{}

func (silentMembers) Leave(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// idleCallers is a listener without requests in flight.
type idleCallers struct{ refused bool }

func (*idleCallers) InFlight() int     { return 0 }
func (*idleCallers) CloseConnections() {}
func (c *idleCallers) Refuse()         { c.refused = true }
func (*idleCallers) StopSending()      {}

// noDocument is a config.Source without a document.
type noDocument struct{}

func (noDocument) Current() *config.Snapshot { return nil }
func (noDocument) Subscribe(func(*config.Snapshot)) (cancel func()) {
	return func() {}
}

// A bounded stop must not use up its time waiting for neighbors that have
// crashed or are partitioned: it refuses further requests in time, so that
// those in flight can finish.
func TestBoundedStopWithSilentNeighbors(t *testing.T) {
	const grace = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		callers := &idleCallers{}
		s := NewService(Deps{
			Membership: silentMembers{}, Callers: callers, Config: noDocument{}, StopGrace: grace,
			Clock: kernel.SystemClock{}, Logger: telemetry.Discard(),
		})
		began := time.Now()
		if err := s.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		if took, limit := time.Since(began), grace/2+2*tickInterval; took > limit || !callers.refused {
			t.Errorf("the stop took %v, want %v at most; further requests were refused: %v", took, limit, callers.refused)
		}
	})
}

// busyCallers is a listener with a request that never ends. It records when it was told to refuse.
type busyCallers struct {
	idleCallers
	refusedAt, stoppedAt time.Time
}

func (*busyCallers) InFlight() int  { return 1 }
func (c *busyCallers) Refuse()      { c.refusedAt = time.Now() }
func (c *busyCallers) StopSending() { c.stoppedAt = time.Now() }

// Guards against requests that wait until the end of a bounded stop and are then passed on.
func TestBoundedStopLeavesTimeToRequestsThatWereSent(t *testing.T) {
	const grace = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		callers := &busyCallers{}
		s := NewService(Deps{
			Membership: silentMembers{}, Callers: callers, Config: noDocument{}, StopGrace: grace,
			Clock: kernel.SystemClock{}, Logger: telemetry.Discard(),
		})
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), grace)
		defer cancel()
		if err := s.Drain(ctx); err == nil {
			t.Error("the stop ended by itself")
		}
		refused, stopped := callers.refusedAt.Sub(began), callers.stoppedAt.Sub(began)
		if refused > grace/2 || stopped < refused || stopped > grace*2/3+tickInterval {
			t.Errorf("further requests were refused after %v, those not sent after %v", refused, stopped)
		}
	})
}
