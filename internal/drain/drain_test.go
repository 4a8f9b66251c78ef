package drain

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/telemetry"
)

const (
	testMaxAge = 5 * time.Second
	testGrace  = 20 * time.Second
)

type fixedConfig struct{ snap *config.Snapshot }

func (c fixedConfig) Current() *config.Snapshot               { return c.snap }
func (c fixedConfig) Subscribe(func(*config.Snapshot)) func() { return func() {} }

// vm implements Leaver and Listener for a VM that is being stopped.
type vm struct {
	inFlight       atomic.Int64
	closing        atomic.Bool
	left           atomic.Bool
	unacknowledged bool // neighbors never acknowledge
}

func (v *vm) InFlight() int     { return int(v.inFlight.Load()) }
func (v *vm) CloseConnections() { v.closing.Store(true) }

func (v *vm) Refuse()      {}
func (v *vm) StopSending() {}
func (v *vm) Leave(ctx context.Context) error {
	v.left.Store(true)
	if v.unacknowledged {
		<-ctx.Done()
	}
	return ctx.Err()
}

func newService(t *testing.T, v *vm) *Service {
	t.Helper()
	doc := &config.Document{
		Lookup: config.Lookup{MaxAgeMS: config.Millis(testMaxAge.Milliseconds())},
		Drain:  config.Drain{GraceMS: config.Millis(testGrace.Milliseconds())},
	}
	snap, err := config.NewSnapshot(1, doc)
	if err != nil {
		t.Fatal(err)
	}
	return NewService(Deps{Membership: v, Callers: v, Config: fixedConfig{snap}, Clock: kernel.SystemClock{}, Logger: telemetry.Discard()})
}

// serve serves one request that starts after delay and takes duration.
func (v *vm) serve(delay, duration time.Duration) {
	time.Sleep(delay)
	v.inFlight.Add(1)
	time.Sleep(duration)
	v.inFlight.Add(-1)
}

func TestDrainCutsAndRefusesNothing(t *testing.T) {
	tests := []struct {
		name            string
		unacknowledged  bool
		delay, duration time.Duration // start and duration of the last request
		atLeast         time.Duration
	}{
		{"idle", false, 0, 0, propagationTime + testMaxAge},
		{"a request after a cached look-up", false, testMaxAge + propagationTime - time.Millisecond, time.Second, testMaxAge + propagationTime + time.Second},
		{"an upload of half a minute", false, 0, 30 * time.Second, 30 * time.Second},
		{"a request longer than drain.grace_ms", false, 0, 3 * testGrace, 3 * testGrace},
		{"partitioned neighbors", true, 0, 0, maxLeaveTimeout + propagationTime + testMaxAge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := &vm{unacknowledged: tt.unacknowledged}
				start := time.Now()
				go v.serve(tt.delay, tt.duration)
				if err := newService(t, v).Drain(t.Context()); err != nil {
					t.Fatal(err)
				}
				if v.InFlight() != 0 {
					t.Error("a request was in flight when the drain ended")
				}
				if took := time.Since(start); took < tt.atLeast || took > tt.atLeast+time.Second {
					t.Errorf("took %v, want %v", took, tt.atLeast)
				}
				if !v.left.Load() || !v.closing.Load() {
					t.Error("the stop was not announced, or connections were kept")
				}
			})
		})
	}
}

func TestForcedDrainSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &vm{}
		go v.serve(0, time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := newService(t, v).Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
		time.Sleep(time.Minute)
	})
}

// For every event at every step, the stop ends only when no request is in flight
// and no look-up names this VM, or when it is forced.
func TestMachineAtEveryStep(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, step := range Steps() {
		for kind := eventStopRequested; kind <= eventForce; kind++ {
			for _, inFlight := range []int{0, 1} {
				for _, lingerOver := range []bool{false, true} {
					m := newStateMachine(stopParams{lookupMaxAge: testMaxAge, propagation: propagationTime, reportInterval: testGrace})
					m.step, m.nextReport = step, now
					m.lingerUntil = now.Add(time.Second)
					if lingerOver {
						m.lingerUntil = now
					}
					got := m.handle(event{kind: kind, inFlight: inFlight}, now)
					ended := slices.Contains(got, actionEnd)
					finished := step == StepEnded || step == StepForced
					canEnd := inFlight == 0 && (step == StepFinishing || step == StepLingering && lingerOver)
					want := !finished && (kind == eventForce || kind == eventTick && canEnd)
					if ended != want {
						t.Errorf("step %s, event %d, in flight %d, linger over %v: ended %v", step, kind, inFlight, lingerOver, ended)
					}
				}
			}
		}
	}
}
