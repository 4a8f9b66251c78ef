package admission

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/measure"
	"masticturn/internal/outcome"
	"masticturn/internal/steering"
)

var answered = Result{Outcome: outcome.Answered, Step: outcome.StepComplete, Status: 200, InFlight: -1}

// runLocal runs f in a bubble with a running Local.
func runLocal(t *testing.T, d Deps, f func(t *testing.T, l *Local)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := NewLocal(d)
		go l.Run(ctx)
		f(t, l)
		cancel()
		synctest.Wait()
	})
}

func TestLocalPoliciesFillEverySlotOnce(t *testing.T) {
	for _, policy := range steering.Policies() {
		t.Run(string(policy), func(t *testing.T) {
			d := testDeps(testDocument(string(policy), 3))
			runLocal(t, d, func(t *testing.T, l *Local) {
				const slots = 6
				taken := make(map[string]int)
				var permits []Permit
				for range slots {
					p, err := l.Acquire(t.Context(), testRequest(d, "read", time.Second))
					if err != nil {
						t.Fatal(err)
					}
					if p.Target().Region == "east" {
						taken[p.Target().Name]++
					}
					permits = append(permits, p)
				}
				for name, n := range taken {
					if n > 2 {
						t.Errorf("%s got %d permits for 2 slots", name, n)
					}
				}
				go func() {
					time.Sleep(15 * time.Millisecond)
					permits[0].Release(answered)
				}()
				p, err := l.Acquire(t.Context(), testRequest(d, "read", time.Second))
				if err != nil {
					t.Fatal(err)
				}
				if p.Target().Name != permits[0].Target().Name {
					t.Errorf("got %s, freed was %s", p.Target().Name, permits[0].Target().Name)
				}
			})
		})
	}
}

func TestLocalRefusesEarlyWithAdvice(t *testing.T) {
	d := testDeps(testDocument("p2c", 1))
	runLocal(t, d, func(t *testing.T, l *Local) {
		for range 2 {
			if _, err := l.Acquire(t.Context(), testRequest(d, "read", time.Minute)); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 60 {
			go func() { _, _ = l.Acquire(ctx, testRequest(d, "read", time.Minute)) }()
		}
		synctest.Wait()
		start := time.Now()
		_, err := l.Acquire(ctx, testRequest(d, "read", time.Minute))
		var e *outcome.Error
		if !errors.As(err, &e) {
			t.Fatalf("got %v, want a refusal", err)
		}
		if e.Outcome != outcome.NotRun || e.Step != outcome.StepAdmit || e.RetryAfter <= 0 {
			t.Errorf("refusal %+v", e)
		}
		if waited := time.Since(start); waited != 0 {
			t.Errorf("the refusal came after %v, want at once", waited)
		}
	})
}

func TestLocalCancelFreesTheQueue(t *testing.T) {
	d := testDeps(testDocument("p2c", 1))
	runLocal(t, d, func(t *testing.T, l *Local) {
		var held []Permit
		for range 2 {
			p, _ := l.Acquire(t.Context(), testRequest(d, "read", time.Second))
			held = append(held, p)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := l.Acquire(ctx, testRequest(d, "read", time.Second)); err == nil {
			t.Fatal("a permit beyond the slots")
		}
		if n := l.pools["plan"].core.pool.Waiting(); n != 0 {
			t.Errorf("%d requests wait after the caller left", n)
		}
		for _, p := range held {
			p.Release(answered)
			p.Release(answered)
		}
		if n := l.pools["plan"].core.pool.InFlight(); n != 0 {
			t.Errorf("%d permits out after all were released", n)
		}
	})
}

func TestLocalLeavesLeavingAndDownTargets(t *testing.T) {
	d := testDeps(testDocument("p2c", 2))
	runLocal(t, d, func(t *testing.T, l *Local) {
		d.Targets.(*fakeTargets).set(measure.TargetState{Target: "east-ta", Health: measure.Down, MeasuredAt: time.Now()})
		p, err := l.Acquire(t.Context(), testRequest(d, "read", time.Second))
		if err != nil || p.Target().Name != "east-tb" {
			t.Fatalf("got %v, %v; want east-tb", p, err)
		}
		p.Release(Result{Outcome: outcome.Answered, Status: 200, Draining: true})
		if _, err := l.Acquire(t.Context(), testRequest(d, "read", time.Second)); err == nil {
			t.Error("a permit at a target that said it leaves")
		}
		if seen := d.Targets.(*fakeTargets).seen; len(seen) != 1 || !seen[0].Draining {
			t.Errorf("observations %+v", seen)
		}
	})
}

func TestLocalLeavesTargetsThatWantNothingForAWhile(t *testing.T) {
	const pause = 3 * time.Second
	d := testDeps(testDocument("p2c", 2))
	runLocal(t, d, func(t *testing.T, l *Local) {
		p, err := l.Acquire(t.Context(), testRequest(d, "read", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		paused, began := p.Target().Name, time.Now()
		p.Release(Result{Outcome: outcome.NotRun, Step: outcome.StepReceive, ShedByPeer: true, Backoff: pause, InFlight: -1})
		used := false
		for time.Since(began) < pause+time.Second {
			p, err := l.Acquire(t.Context(), testRequest(d, "read", time.Second))
			if err != nil {
				t.Fatal(err)
			}
			again := p.Target().Name == paused
			if again && time.Since(began) < pause {
				t.Errorf("used %v after it wanted nothing for %v", time.Since(began), pause)
			}
			used = used || again
			p.Release(answered)
			time.Sleep(20 * time.Millisecond)
		}
		if !used {
			t.Error("not used again")
		}
	})
}

func TestLocalEjectsByOwnOutcomes(t *testing.T) {
	d := testDeps(testDocument("p2c", 4))
	runLocal(t, d, func(t *testing.T, l *Local) {
		failed := 0
		for range 200 {
			p, err := l.Acquire(t.Context(), testRequest(d, "read", time.Second))
			if err != nil {
				t.Fatal(err)
			}
			r := answered
			if p.Target().Name == "east-ta" {
				failed++
				r = Result{Outcome: outcome.Unknown, Step: outcome.StepWait, InFlight: -1}
			}
			p.Release(r)
		}
		if failed > 10 {
			t.Errorf("%d requests went to a target that never answers", failed)
		}
	})
}

func TestLocalFollowsNewDocuments(t *testing.T) {
	d := testDeps(testDocument("p2c", 1))
	runLocal(t, d, func(t *testing.T, l *Local) {
		for range 2 {
			if _, err := l.Acquire(t.Context(), testRequest(d, "read", time.Minute)); err != nil {
				t.Fatal(err)
			}
		}
		got := make(chan Permit, 1)
		go func() {
			p, _ := l.Acquire(t.Context(), testRequest(d, "read", time.Minute))
			got <- p
		}()
		synctest.Wait()
		d.Config.(*fakeConfig).set(mustSnapshot(2, testDocument("p2c", 2)))
		p, err := l.Acquire(t.Context(), testRequest(d, "read", time.Minute))
		if err != nil || p.Target().Name != "east-tb" {
			t.Fatalf("got %v, %v; want the new target", p, err)
		}
		if p := <-got; p.Target().Name != "east-tb" {
			t.Errorf("the waiting request got %s", p.Target().Name)
		}
	})
}
