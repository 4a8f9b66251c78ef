package steering

import "testing"

// TestEjectedTargetIsOnTrial follows one target that fails until its third
// trial, next to healthy ones.
func TestEjectedTargetIsOnTrial(t *testing.T) {
	e, now := NewEjector(), epoch
	for _, name := range []string{"bad", "good1", "good2", "good3"} {
		e.SetSlots(name, 4)
	}
	for range ejectAfterAlone {
		e.Observe("bad", "vm", false, 0, now)
	}
	length := ejectFirst
	for trial := range 3 {
		if !e.Ejected("bad", now) || e.OnTrial("bad", now) {
			t.Fatalf("trial %d: not ejected", trial)
		}
		e.Observe("bad", "vm", true, 0, now) // of a request sent before the ejection
		now = now.Add(length)
		if e.Ejected("bad", now) || !e.OnTrial("bad", now) {
			t.Fatalf("trial %d: not on trial after %v", trial, length)
		}
		if !e.Observe("bad", "vm", false, 0, now) {
			t.Fatalf("trial %d: one failure did not eject", trial)
		}
		length *= 2
	}
	now = now.Add(length)
	if e.Observe("bad", "vm", true, 0, now); e.OnTrial("bad", now) {
		t.Error("still on trial after a success")
	}
	if e.Observe("bad", "vm", false, 0, now) {
		t.Error("one failure after the trial ejected")
	}
}
