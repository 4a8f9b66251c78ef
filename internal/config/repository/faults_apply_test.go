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

// underTestKey marks the context of the Apply call under test, whose store calls
// are made to fail.
type underTestKey struct{}

// callFault is the fault injected into one store call: a delay, an optional
// competing write and the result of the call.
type callFault struct {
	wait      time.Duration
	competing bool // another operator applies a document before the call
	fault     platformtest.Fault
}

// stepFault lists the faults of the first calls of a step. With crash set, all
// later calls fail as if the process had ended.
type stepFault struct {
	name  string
	calls []callFault
	crash bool
}

func stepFaults() []stepFault {
	const callTimeout = 3 * time.Second
	return []stepFault{
		{"pause", []callFault{{wait: 2 * ApplyTimeout}}, false},
		{"pause, another document", []callFault{{wait: 2 * ApplyTimeout, competing: true}}, false},
		{"delay", []callFault{{wait: time.Second}}, false},
		{"delay, another document", []callFault{{wait: time.Second, competing: true}}, false},
		{"no response, request lost", []callFault{{wait: callTimeout, fault: platformtest.FaultLostRequest}}, false},
		{"no response, request executed", []callFault{{wait: callTimeout, fault: platformtest.FaultLostResponse}}, false},
		{"lost request", []callFault{{fault: platformtest.FaultLostRequest}}, false},
		{"lost answer", []callFault{{fault: platformtest.FaultLostResponse}}, false},
		{"delayed and duplicated", []callFault{{fault: platformtest.FaultDelayedEffect}}, false},
		{"outage", []callFault{{fault: platformtest.FaultUnavailable}, {fault: platformtest.FaultUnavailable}}, false},
		{"lost answer, then another document", []callFault{{fault: platformtest.FaultLostResponse}, {competing: true}}, false},
		{"delayed, then another document", []callFault{{fault: platformtest.FaultDelayedEffect}, {competing: true}}, false},
		{"crash", []callFault{{}}, true},
	}
}

// stepOf returns the step that a store call belongs to, or false if there is
// none.
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

// faultInjector applies documents while the store calls of one step fail.
type faultInjector struct {
	*harness
	step             Step
	fault            stepFault
	next             int // index of the next fault to inject
	wrote            bool
	crashed          atomic.Bool
	competingErr     error
	competingApplies int
}

// hook injects the faults into the store calls of the Apply call under test.
func (f *faultInjector) hook(ctx context.Context, c platformtest.Call) platformtest.Fault {
	if ctx.Value(underTestKey{}) == nil {
		if f.crashed.Load() {
			return platformtest.FaultUnavailable // no clean-up after a crash
		}
		return platformtest.FaultNone
	}
	if f.crashed.Load() {
		return platformtest.FaultUnavailable
	}
	step, ok := stepOf(c, f.wrote)
	first := step == StepWrite && !f.wrote
	f.wrote = f.wrote || step == StepWrite
	if !ok || step != f.step {
		if first && f.step == StepReread {
			return platformtest.FaultLostResponse // required to reach StepReread
		}
		return platformtest.FaultNone
	}
	if f.next == len(f.fault.calls) {
		f.crashed.Store(f.fault.crash)
		if f.fault.crash {
			return platformtest.FaultUnavailable
		}
		return platformtest.FaultNone
	}
	s := f.fault.calls[f.next]
	f.next++
	if s.competing {
		f.applyCompeting()
	}
	time.Sleep(s.wait)
	return s.fault
}

func (f *faultInjector) applyCompeting() {
	f.competingApplies++
	_, f.competingErr = f.Apply(context.Background(), Proposal{Document: document(f.t, 3000), Base: 1, Comment: "competing"})
}

func (f *faultInjector) run() {
	f.chunkBytes = 8 << 10
	f.mustApply(0, 1000)
	ours := document(f.t, 2000)
	ours.ClientBlocks = append(ours.ClientBlocks, randomBlocks(1200)...)
	f.store.SetHook(f.hook)
	_, err := f.Apply(context.WithValue(context.Background(), underTestKey{}, true), Proposal{Document: ours, Base: 1, Comment: "ours"})
	f.store.SetHook(nil)
	f.store.ReleaseDelayed()
	f.checkOutcome(err)
	f.mustApplyNext()
}

// checkOutcome checks that the result of Apply agrees with the history, that at
// most one of two documents on the same base was accepted, and that all kept
// documents can be read.
func (f *faultInjector) checkOutcome(err error) {
	f.t.Helper()
	head, _, readErr := f.Head(context.Background())
	if readErr != nil {
		f.t.Fatal(readErr)
	}
	times := make(map[string]int)
	for _, rec := range append([]Record{head.Current}, head.History...) {
		times[rec.Comment]++
		f.expectReadable(&rec)
	}
	var unknown *UnknownOutcomeError
	switch n := times["ours"]; {
	case err == nil && n != 1, errors.As(err, &unknown) && n > 1, err != nil && !errors.As(err, &unknown) && n > 0:
		f.t.Errorf("Apply returned %v, but the document is in the history %d times", err, n)
	}
	if f.competingApplies > 0 && (f.competingErr == nil) != (times["competing"] == 1) {
		f.t.Errorf("the competing Apply returned %v, but its document is in the history %d times", f.competingErr, times["competing"])
	}
	if times["ours"]+times["competing"] > 1 {
		f.t.Error("two documents on the same base were accepted")
	}
	if f.competingApplies == 0 && !f.fault.crash && f.fault.calls[0].wait < ApplyTimeout && err != nil {
		f.t.Errorf("not accepted although the store has recovered: %v", err)
	}
}

// mustApplyNext applies another document based on the one in force.
func (f *faultInjector) mustApplyNext() {
	f.t.Helper()
	before, _ := f.current()
	if next := f.mustApply(before, 4000); next.Record.Generation != before+1 {
		f.t.Errorf("generation %d after %d", next.Record.Generation, before)
	}
	if gen, age := f.current(); gen != before+1 || age != config.Millis(4000) {
		f.t.Errorf("store holds generation %d, age %d", gen, age)
	}
}

// TestApplyUnderEachFaultAtEachStep injects each fault at each step while a
// document with chunked client blocks is applied. In some cases, another operator
// applies a document on the same base. Guards against wrong results of Apply, two
// accepted documents on one base and documents that cannot be read back.
func TestApplyUnderEachFaultAtEachStep(t *testing.T) {
	for _, step := range Steps() {
		for _, fault := range stepFaults() {
			t.Run(fmt.Sprintf("%v/%s", step, fault.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := &faultInjector{harness: newHarness(t), step: step, fault: fault}
					a.run()
					if a.next == 0 {
						t.Error("the step was not reached")
					}
				})
			})
		}
	}
}
