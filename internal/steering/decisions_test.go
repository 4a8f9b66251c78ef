package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"masticturn/internal/measure"
)

func TestSlowStartRisesToAllSlots(t *testing.T) {
	for slots := 1; slots <= 5; slots++ {
		last := 0
		for ms := 0; ms <= 1000; ms += 10 {
			n := SlowStartSlots(slots, time.Duration(ms)*time.Millisecond, time.Second)
			if n < 1 || n > slots || n < last {
				t.Fatalf("%d of %d slots after %d ms, %d before", n, slots, ms, last)
			}
			last = n
		}
		if last != slots {
			t.Errorf("%d of %d slots at the end", last, slots)
		}
	}
}

func TestAdvantageIsMonotonic(t *testing.T) {
	props := gopter.NewProperties(parameters(500))
	c := Comparison{HeadroomWeight: 0.5, HeadroomKeep: 0.2}
	place := func(waitMS, util int) Place {
		return Place{
			Wait: time.Duration(waitMS) * time.Millisecond, Service: 20 * time.Millisecond,
			Utilisation: float64(util) / 100, OneWay: 12 * time.Millisecond,
		}
	}
	props.Property("worse here or better there never lowers it", prop.ForAll(
		func(w1, w2, u1, u2, more int) bool {
			base := c.Advantage(place(w1, u1), place(w2, u2))
			return c.Advantage(place(w1+more, u1), place(w2, u2)) >= base &&
				c.Advantage(place(w1, u1+more), place(w2, u2)) >= base &&
				c.Advantage(place(w1, u1), place(w2+more, u2)) <= base &&
				c.Advantage(place(w1, u1), place(w2, u2+more)) <= base
		},
		gen.IntRange(0, 500), gen.IntRange(0, 500), gen.IntRange(0, 100), gen.IntRange(0, 100), gen.IntRange(0, 100),
	))
	props.TestingRun(t)
}

func TestShiftPaysWhenTheWaitIsLongerThanTheWay(t *testing.T) {
	c := Comparison{}
	there := Place{OneWay: 55 * time.Millisecond, Service: 20 * time.Millisecond}
	for wait, want := range map[time.Duration]bool{100 * time.Millisecond: false, 120 * time.Millisecond: true} {
		here := Place{Wait: wait, Service: 20 * time.Millisecond, Utilisation: 1}
		if got := c.Advantage(here, there) > 0; got != want {
			t.Errorf("wait %v: shift %v, want %v", wait, got, want)
		}
	}
}

func TestHysteresisHolds(t *testing.T) {
	h := Hysteresis{Hold: time.Second}
	const band = 5 * time.Millisecond
	now := epoch
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		advantage := 20 * time.Millisecond
		if i%2 == 0 {
			advantage = -advantage
		}
		h.Update(advantage, band, now)
	}
	if h.Changes() > 3 {
		t.Errorf("%d changes in 3 s with a hold of 1 s", h.Changes())
	}
}

func TestLinkShareKeepsItsLimits(t *testing.T) {
	l := NewLinkShare(time.Millisecond, 400, 4e6, 4)
	requests := 0
	for ms := range 10000 {
		if l.Take(100, epoch.Add(time.Duration(ms)*time.Millisecond)) {
			requests++
		}
	}
	if requests > 1010 || requests < 950 {
		t.Errorf("%d requests in 10 s on a quarter of 400/s", requests)
	}
	l = NewLinkShare(time.Millisecond, 1e6, 4e6, 4)
	bytes := 0
	for ms := range 10000 {
		if l.Take(1e6, epoch.Add(time.Duration(ms)*time.Millisecond)) {
			bytes += 1e6
		}
	}
	if bytes > 11e6 || bytes < 9e6 {
		t.Errorf("%d bytes in 10 s on a quarter of 4 MB/s", bytes)
	}
}

func TestEjectorKeepsHalfOfTheSlots(t *testing.T) {
	props := gopter.NewProperties(parameters(200))
	props.Property("panic rule", prop.ForAll(
		func(outcomes []int) bool {
			e := NewEjector()
			for i := range 6 {
				e.SetSlots(fmt.Sprint(i), 3)
			}
			now := epoch
			inRow := make(map[string]int)
			for _, o := range outcomes {
				now = now.Add(10 * time.Millisecond)
				before := e.EjectedSlots(now)
				target, ok, inUse := fmt.Sprint(o%6), o%5 == 0, o%18
				inRow[target]++
				if ok {
					inRow[target] = 0
				}
				e.Observe(target, fmt.Sprint(o/7%2), ok, inUse, now)
				after := e.EjectedSlots(now)
				tooFew := after > before && 18-after < inUse && inRow[target] < ejectAfter
				if after > 9 || tooFew {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(300, gen.IntRange(0, 1000)),
	))
	props.TestingRun(t)
}

func TestOneVMAloneEjectsLate(t *testing.T) {
	for vms, want := range map[int]int{1: ejectAfterAlone, 2: ejectAfter} {
		e := NewEjector()
		e.SetSlots("a", 3)
		e.SetSlots("b", 3)
		n := 1
		for !e.Observe("a", fmt.Sprint(n%vms), false, 5, epoch) {
			n++
		}
		if n != want {
			t.Errorf("%d VMs: ejected after %d failures, want %d", vms, n, want)
		}
	}
}

func TestAllowancesOnlyShrinkWithAge(t *testing.T) {
	gains := func(a, b Allowance) bool {
		return (b.Believe && !a.Believe) || (b.KeepShift && !a.KeepShift) ||
			(b.GrowShift && !a.GrowShift) || (b.Grant && !a.Grant)
	}
	for _, in := range Inputs() {
		for b := AgeFresh; b < AgeNever; b++ {
			if Allowed(in, b).Use == "" || Allowed(in, b+1).Use == "" {
				t.Errorf("%v: no entry for %v or the next", in, b)
			}
			if gains(Allowed(in, b), Allowed(in, b+1)) {
				t.Errorf("%v gains by growing older than %v", in, b)
			}
		}
	}
}

func TestUsableSlots(t *testing.T) {
	now := epoch.Add(time.Hour)
	c := Caution{Stale: time.Second, Cold: 10 * time.Second}
	state := func(h measure.Health, age time.Duration, slots int) measure.TargetState {
		return measure.TargetState{Health: h, MeasuredAt: now.Add(-age), Slots: slots, ColdSince: now.Add(-age)}
	}
	tests := []struct {
		name    string
		leaving bool
		state   measure.TargetState
		want    int
	}{
		{"healthy", false, state(measure.Healthy, 0, 0), 4},
		{"leaving by the document", true, state(measure.Healthy, 0, 0), 0},
		{"draining, old", false, state(measure.Draining, time.Minute, 0), 0},
		{"down", false, state(measure.Down, 0, 0), 0},
		{"down long ago", false, state(measure.Down, time.Minute, 0), 1},
		{"cold", false, state(measure.Cold, 0, 0), 1},
		{"reports fewer slots", false, state(measure.Healthy, 0, 2), 2},
		{"reported fewer slots long ago", false, state(measure.Healthy, time.Minute, 2), 4},
		{"claims more slots", false, state(measure.Healthy, 0, 100), 4},
		{"never measured", false, measure.TargetState{}, 4},
	}
	for _, tt := range tests {
		if got := UsableSlots(4, tt.leaving, tt.state, c, now); got != tt.want {
			t.Errorf("%s: %d slots, want %d", tt.name, got, tt.want)
		}
	}
}

func TestOwnOutcomesOutweighProbes(t *testing.T) {
	now := epoch.Add(time.Hour)
	down := measure.TargetState{Health: measure.Down, MeasuredAt: now}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := []struct {
		name             string
		success, failure time.Time
		want             int
	}{
		{"no outcomes", time.Time{}, time.Time{}, 0},
		{"a success just now", ago(time.Second), time.Time{}, 4},
		{"a success long ago", ago(time.Minute), time.Time{}, 0},
		{"a failure after the success", ago(time.Second), ago(time.Millisecond), 0},
	}
	for _, tt := range tests {
		e := NewEvidence()
		if !tt.success.IsZero() {
			e.Observe("t", true, tt.success)
		}
		if !tt.failure.IsZero() {
			e.Observe("t", false, tt.failure)
		}
		if got := e.Weigh("t", down, 0, 4, now); got != tt.want {
			t.Errorf("%s: %d slots, want %d", tt.name, got, tt.want)
		}
	}
	draining := measure.TargetState{Health: measure.Draining, MeasuredAt: now}
	e := NewEvidence()
	e.Observe("t", true, now)
	if got := e.Weigh("t", draining, 0, 4, now); got != 0 {
		t.Errorf("a leaving target got %d slots", got)
	}
}

func TestTrialsTakeTurns(t *testing.T) {
	var trials Trials
	down := []string{"a", "b"}
	var got string
	for range 4 {
		got += trials.Next(down, true, epoch)
		got += trials.Next(down, true, epoch.Add(trialEvery/2))
		epoch := epoch.Add(trialEvery)
		got += trials.Next(down, true, epoch)
		trials = Trials{}
	}
	if got != "aabaabaabaab" {
		t.Errorf("turns %s", got)
	}
	if trials.Next(down, false, epoch) != "" || trials.Next(nil, true, epoch) != "" {
		t.Error("a trial while few are down, or with none to try")
	}
}
