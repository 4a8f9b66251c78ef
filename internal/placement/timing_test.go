package placement

import (
	"math"
	"testing"
	"time"

	"masticturn/internal/edge"
)

// twoReplicas returns a pool with the two targets of an object, in rank order. Runs at both take 200 ms.
func twoReplicas(t *testing.T) (p *Pool, first, second *targetState) {
	p, _ = newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 2}, slots: 4})
	for range 40 {
		sel := mustChoose(t, p, newRequest("warm-up"), start)
		p.Acquire(sel, start)
		complete(p, sel, 200*time.Millisecond, start)
	}
	ranked := p.rank("a", 2)
	for _, s := range ranked {
		s.objects.add("a", start)
	}
	return p, ranked[0], ranked[1]
}

// answer ends a request at a target with an answer that carries a load report.
func answer(p *Pool, s *targetState, load edge.Load, took time.Duration, now time.Time) {
	sel := p.newSelection(s, newRequest("a"), 0, true, now)
	p.Acquire(sel, now)
	p.Release(sel, Result{Load: &load, Latency: took}, now)
}

// A target that reports that work takes several times as long as usual gets no requests while another one
// can answer sooner. It gets requests again soon after, as the report holds only for a moment.
func TestReportedWorkFactorMovesRequests(t *testing.T) {
	p, first, second := twoReplicas(t)
	answer(p, first, edge.Load{Slots: 4, WorkPercent: 400}, 800*time.Millisecond, start)
	if got := mustChoose(t, p, newRequest("a"), start).target; got != second {
		t.Errorf("the request was sent to %s, at which work takes four times as long", got.Name)
	}
	later := start.Add(6 * workFactorDecay)
	if got := mustChoose(t, p, newRequest("a"), later).target; got != first {
		t.Errorf("the request was sent to %s %v after the report", got.Name, 6*workFactorDecay)
	}
}

// A run that was slow because of the reported work factor must not count as slowness of the target, which
// is remembered for seconds.
func TestWorkFactorIsNotTakenForSlowness(t *testing.T) {
	p, first, _ := twoReplicas(t)
	before := first.slowness.factorAt(start)
	answer(p, first, edge.Load{Slots: 4, WorkPercent: 400}, 800*time.Millisecond, start)
	if got := first.slowness.factorAt(start); got > 1.1*before {
		t.Errorf("slowness %.2f after a run whose time the work factor explains, want about %.2f", got, before)
	}
	answer(p, first, edge.Load{Slots: 4}, 800*time.Millisecond, start)
	if got := first.slowness.factorAt(start); got < 1.5*before {
		t.Errorf("slowness %.2f after a run four times as long without a reported cause, want more", got)
	}
}

// A report without a work factor, or an extreme one, must leave the estimate within its bounds.
func TestWorkFactorIsBounded(t *testing.T) {
	var f workFactor
	for percent, want := range map[int]float64{0: 1, -5: 1, 100: 1, 1: 1 / maxSlowness, 1_000_000: maxSlowness} {
		f.report(percent, start)
		if got := f.at(start); math.Abs(got-want) > 1e-9 {
			t.Errorf("%d percent: factor %v, want %v", percent, got, want)
		}
	}
}
