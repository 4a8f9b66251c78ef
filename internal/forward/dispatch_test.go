package forward

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"masticturn/internal/outcome"
)

const propertySeed = 20260101

// unlimitedPolicy returns a policy with unlimited budget and five attempts.
func unlimitedPolicy(repeatable bool) retryPolicy {
	return retryPolicy{
		repeatable:  repeatable,
		maxAttempts: 5,
		deadline:    time.Unix(1000, 0),
		withdraw:    func(string) bool { return true },
		backoff:     func() time.Duration { return 0 },
	}
}

// The decision after every fault at every step, with all combinations of the other
// fields, keeps the guarantees of the request.
func TestDispatchDecidesForEveryFaultAtEveryStep(t *testing.T) {
	bits := []bool{false, true}
	for _, step := range Steps() {
		for _, fault := range Faults() {
			for _, repeatable := range bits {
				for _, sent := range bits {
					for _, consumed := range bits {
						for _, relayed := range bits {
							d := &dispatch{policy: unlimitedPolicy(repeatable)}
							d.startAttempt()
							a := attemptResult{Step: step, Fault: fault, Sent: sent, Consumed: consumed, Relayed: relayed}
							checkDecision(t, d, a)
						}
					}
				}
			}
		}
	}
}

func checkDecision(t *testing.T, d *dispatch, a attemptResult) {
	t.Helper()
	mayHaveRun := a.Sent && a.Fault != FaultShed
	got := d.decide(a, time.Unix(0, 0))
	switch {
	case a.Fault == FaultNone:
		if got.action != actionDone {
			t.Errorf("%+v: got %v, want done", a, got)
		}
	case a.Relayed:
		if got.action != actionAbort {
			t.Errorf("%+v: a part was sent to the caller, got %v", a, got)
		}
	case got.action == actionRetry:
		if a.Consumed || !d.policy.repeatable && mayHaveRun {
			t.Errorf("%+v repeatable=%v: must not be retried", a, d.policy.repeatable)
		}
	case got.action != actionFail:
		t.Errorf("%+v: got %v", a, got)
	case mayHaveRun != (got.err.Outcome == outcome.Unknown):
		t.Errorf("%+v: the reported outcome is %s", a, got.err.Outcome)
	}
}

// For any sequence of attempts, a request that is not repeatable reaches at most one
// target that may run it, and the outcome is NotRun only if no target may have run
// it.
func TestDispatchProperties(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(propertySeed)
	p.MinSuccessfulTests = 500
	properties := gopter.NewProperties(p)
	attempt := gen.Struct(attemptResultType, map[string]gopter.Gen{
		"Step":     gen.OneConstOf(outcome.StepAdmit, outcome.StepConnect, outcome.StepSend, outcome.StepWait, outcome.StepReceive),
		"Fault":    gen.UInt8Range(uint8(FaultRefused), uint8(faultCount)-1).Map(func(n uint8) Fault { return Fault(n) }),
		"Sent":     gen.Bool(),
		"Consumed": gen.Bool(),
	})
	properties.Property("at most one run and the correct outcome", prop.ForAll(
		func(repeatable bool, ends []attemptResult) bool {
			d := &dispatch{policy: unlimitedPolicy(repeatable)}
			mayHaveRun := 0
			for _, a := range ends {
				d.startAttempt()
				if a.Sent && a.Fault != FaultShed {
					mayHaveRun++
				}
				got := d.decide(a, time.Unix(0, 0))
				if !repeatable && mayHaveRun > 1 {
					return false
				}
				if got.action == actionFail {
					return (got.err.Outcome == outcome.NotRun) == (mayHaveRun == 0)
				}
			}
			return d.attempts <= d.policy.maxAttempts
		},
		gen.Bool(), gen.SliceOf(attempt),
	))
	properties.TestingRun(t)
}

func TestRetryNeedsBudgetAndTime(t *testing.T) {
	a := attemptResult{Step: outcome.StepWait, Fault: FaultConnectionBroken, Sent: true}
	tests := []struct {
		name   string
		change func(*retryPolicy)
		want   action
	}{
		{"both available", func(*retryPolicy) {}, actionRetry},
		{"no budget", func(r *retryPolicy) { r.withdraw = func(string) bool { return false } }, actionFail},
		{"no time", func(r *retryPolicy) { r.deadline = time.Unix(0, 0) }, actionFail},
		{"no attempt left", func(r *retryPolicy) { r.maxAttempts = 1 }, actionFail},
	}
	for _, tt := range tests {
		d := &dispatch{policy: unlimitedPolicy(true)}
		tt.change(&d.policy)
		d.startAttempt()
		if got := d.decide(a, time.Unix(0, 0)); got.action != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got.action, tt.want)
		}
	}
}
