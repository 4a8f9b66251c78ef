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

// vm is a VM that callers may still be sent to.
type vm struct {
	inFlight atomic.Int64
	closing  atomic.Bool
	left     atomic.Bool
	mute     bool // neighbors never acknowledge
}

func (v *vm) InFlight() int     { return int(v.inFlight.Load()) }
func (v *vm) CloseConnections() { v.closing.Store(true) }

func (v *vm) Refuse() {}
func (v *vm) Leave(ctx context.Context) error {
	v.left.Store(true)
	if v.mute {
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
	return NewService(Deps{Members: v, Callers: v, Config: fixedConfig{snap}, Clock: kernel.SystemClock{}, Logger: telemetry.Discard()})
}

// serve serves one request that begins and ends at these times.
func (v *vm) serve(begin, length time.Duration) {
	time.Sleep(begin)
	v.inFlight.Add(1)
	time.Sleep(length)
	v.inFlight.Add(-1)
}

func TestDrainCutsAndRefusesNothing(t *testing.T) {
	tests := []struct {
		name          string
		mute          bool
		begin, length time.Duration // of the last request
		atLeast       time.Duration
	}{
		{"idle", false, 0, 0, spreadTime + testMaxAge},
		{"a request by a cached look-up", false, testMaxAge + spreadTime - time.Millisecond, time.Second, testMaxAge + spreadTime + time.Second},
		{"an upload of half a minute", false, 0, 30 * time.Second, 30 * time.Second},
		{"one longer than the grace", false, 0, 3 * testGrace, 3 * testGrace},
		{"neighbors cut off", true, 0, 0, leaveTimeout + spreadTime + testMaxAge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := &vm{mute: tt.mute}
				start := time.Now()
				go v.serve(tt.begin, tt.length)
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
					t.Error("the others were not told, or connections were kept")
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

// Every event at every step: the machine ends only when nothing is in flight
// and no look-up names this VM, or when it is forced.
func TestMachineAtEveryStep(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, step := range Steps() {
		for kind := eventBegin; kind <= eventForce; kind++ {
			for _, inFlight := range []int{0, 1} {
				for _, lingered := range []bool{false, true} {
					m := newMachine(times{maxAge: testMaxAge, spread: spreadTime, grace: testGrace})
					m.step, m.report = step, now
					m.linger = now.Add(time.Second)
					if lingered {
						m.linger = now
					}
					got := m.next(event{kind: kind, inFlight: inFlight}, now)
					ended := slices.Contains(got, actionEnd)
					over := step == StepEnded || step == StepForced
					free := inFlight == 0 && (step == StepFinishing || step == StepLingering && lingered)
					want := !over && (kind == eventForce || kind == eventTick && free)
					if ended != want {
						t.Errorf("step %s, event %d, in flight %d, lingered %v: ended %v", step, kind, inFlight, lingered, ended)
					}
				}
			}
		}
	}
}
