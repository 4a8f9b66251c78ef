package repository

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// oursKey marks the context of the call of Apply that meets the faults.
type oursKey struct{}

// strike is one fault of one call to the store: what happens before it, and
// what comes of it.
type strike struct {
	wait  time.Duration
	rival bool // another operator's document is accepted meanwhile
	fault platformtest.Fault
}

// stepFault is a fault of the first calls of a step. dead refuses all later
// calls, as if the process had ended.
type stepFault struct {
	name    string
	strikes []strike
	dead    bool
}

func stepFaults() []stepFault {
	const callTimeout = 3 * time.Second
	return []stepFault{
		{"pause", []strike{{wait: 2 * ApplyTimeout}}, false},
		{"pause, another document", []strike{{wait: 2 * ApplyTimeout, rival: true}}, false},
		{"delay", []strike{{wait: time.Second}}, false},
		{"delay, another document", []strike{{wait: time.Second, rival: true}}, false},
		{"silent, lost", []strike{{wait: callTimeout, fault: platformtest.FaultLostRequest}}, false},
		{"silent, done", []strike{{wait: callTimeout, fault: platformtest.FaultLostResponse}}, false},
		{"lost request", []strike{{fault: platformtest.FaultLostRequest}}, false},
		{"lost answer", []strike{{fault: platformtest.FaultLostResponse}}, false},
		{"late and doubled", []strike{{fault: platformtest.FaultDelayedEffect}}, false},
		{"outage", []strike{{fault: platformtest.FaultUnavailable}, {fault: platformtest.FaultUnavailable}}, false},
		{"lost answer, then another document", []strike{{fault: platformtest.FaultLostResponse}, {rival: true}}, false},
		{"late, then another document", []strike{{fault: platformtest.FaultDelayedEffect}, {rival: true}}, false},
		{"crash", []strike{{}}, true},
	}
}

// stepOf returns the step of a call of ours; false for calls of no step.
func stepOf(c platformtest.Call, wrote bool) (Step, bool) {
	switch {
	case c.Kind == platform.KindConfigChunk && c.Op == platform.OpCreate:
		return StepChunks, true
	case c.Kind != platform.KindConfig:
		return 0, false
	case c.Op == platform.OpUpdate:
		return StepWrite, true
	case wrote:
		return StepReread, true
	}
	return StepRead, true
}

// applyFault applies documents while the store's calls of one step go wrong.
type applyFault struct {
	*rig
	step     Step
	fault    stepFault
	next     int // strike
	wrote    bool
	dead     atomic.Bool
	rivalErr error
	rivals   int
}

// hook lets the faults come at the calls of ours.
func (a *applyFault) hook(ctx context.Context, c platformtest.Call) platformtest.Fault {
	if ctx.Value(oursKey{}) == nil {
		if a.dead.Load() {
			return platformtest.FaultUnavailable // nobody cleans up after a crash
		}
		return platformtest.FaultNone
	}
	if a.dead.Load() {
		return platformtest.FaultUnavailable
	}
	step, ok := stepOf(c, a.wrote)
	first := step == StepWrite && !a.wrote
	a.wrote = a.wrote || step == StepWrite
	if !ok || step != a.step {
		if first && a.step == StepReread {
			return platformtest.FaultLostResponse // there is no reread without it
		}
		return platformtest.FaultNone
	}
	if a.next == len(a.fault.strikes) {
		a.dead.Store(a.fault.dead)
		if a.fault.dead {
			return platformtest.FaultUnavailable
		}
		return platformtest.FaultNone
	}
	s := a.fault.strikes[a.next]
	a.next++
	if s.rival {
		a.rival()
	}
	time.Sleep(s.wait)
	return s.fault
}

func (a *applyFault) rival() {
	a.rivals++
	_, a.rivalErr = a.Apply(context.Background(), Proposal{Document: document(a.t, 3000), Base: 1, Comment: "rival"})
}

func (a *applyFault) run() {
	a.chunkBytes = 8 << 10
	a.mustApply(0, 1000)
	ours := document(a.t, 2000)
	ours.ClientBlocks = append(ours.ClientBlocks, randomBlocks(1200)...)
	a.store.SetHook(a.hook)
	_, err := a.Apply(context.WithValue(context.Background(), oursKey{}, true), Proposal{Document: ours, Base: 1, Comment: "ours"})
	a.store.SetHook(nil)
	a.store.ReleaseDelayed()
	a.judge(err)
	a.mustGoOn()
}

// judge checks that what was told is true, that at most one of two documents
// on the same base was accepted, and that all that is kept can be read.
func (a *applyFault) judge(err error) {
	a.t.Helper()
	head, _, readErr := a.Head(context.Background())
	if readErr != nil {
		a.t.Fatal(readErr)
	}
	times := make(map[string]int)
	for _, rec := range append([]Record{head.Current}, head.History...) {
		times[rec.Comment]++
		a.expectReadable(&rec)
	}
	var unknown *UnknownError
	switch n := times["ours"]; {
	case err == nil && n != 1, errors.As(err, &unknown) && n > 1, err != nil && !errors.As(err, &unknown) && n > 0:
		a.t.Errorf("told %v, and it is in the history %d times", err, n)
	}
	if a.rivals > 0 && (a.rivalErr == nil) != (times["rival"] == 1) {
		a.t.Errorf("the other was told %v, and it is in the history %d times", a.rivalErr, times["rival"])
	}
	if times["ours"]+times["rival"] > 1 {
		a.t.Error("two documents on the same base were accepted")
	}
	if a.rivals == 0 && !a.fault.dead && a.fault.strikes[0].wait < ApplyTimeout && err != nil {
		a.t.Errorf("not accepted although the store works again: %v", err)
	}
}

// mustGoOn applies another document on what is in force.
func (a *applyFault) mustGoOn() {
	a.t.Helper()
	before, _ := a.current()
	if next := a.mustApply(before, 4000); next.Record.Generation != before+1 {
		a.t.Errorf("generation %d after %d", next.Record.Generation, before)
	}
	if gen, age := a.current(); gen != before+1 || age != config.Millis(4000) {
		a.t.Errorf("store holds generation %d, age %d", gen, age)
	}
}

// TestApplyUnderEachFaultAtEachStep applies a document with client blocks in
// chunks, on the same base as another operator's where there is one.
func TestApplyUnderEachFaultAtEachStep(t *testing.T) {
	for _, step := range Steps() {
		for _, fault := range stepFaults() {
			t.Run(fmt.Sprintf("%v/%s", step, fault.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := &applyFault{rig: newRig(t), step: step, fault: fault}
					a.run()
					if a.next == 0 {
						t.Error("the step was not reached")
					}
				})
			})
		}
	}
}
