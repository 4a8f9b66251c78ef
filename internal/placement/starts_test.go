package placement

import (
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
)

// oneTarget is a pool with one target, whose name identifies the instance.
type oneTarget struct {
	t    *testing.T
	pool *Pool
}

const oneTargetCold = 3 * time.Second

func newOneTarget(t *testing.T, name string) *oneTarget {
	o := &oneTarget{t: t, pool: NewPool(testOptions("r"))}
	o.pool.SetFleet(Fleet{Self: "vm", VMs: []VM{{"vm", "r"}}, ColdFactor: 1.5, ColdSlack: 5})
	o.starts(name, time.Time{})
	return o
}

// starts replaces the target by a new instance.
func (o *oneTarget) starts(name string, coldUntil time.Time) {
	doc := &config.Document{
		Regions: []config.Region{{Name: "r", Zones: []string{"r-a"}}},
		Services: []config.Service{{
			Name: "svc", ColdMS: config.Millis(oneTargetCold.Milliseconds()), ColdRequestsPerSecond: 7,
			Targets: []config.Target{{Name: name, Zone: "r-a", Slots: 6}},
		}},
	}
	v := &discovery.View{Snapshot: config.NewLiveSnapshot(1, doc), ColdUntil: map[string]time.Time{name: coldUntil}}
	o.pool.SetTargets(v.Snapshot.Service("svc"), v)
}

func (o *oneTarget) take(key string, now time.Time) *Selection {
	o.t.Helper()
	at := mustChoose(o.t, o.pool, ask(key), now)
	o.pool.Acquire(at, now)
	return at
}

// A target's state ends with the instance.
func TestNothingOutlivesAStart(t *testing.T) {
	o := newOneTarget(t, "i@1")
	now := start
	for range 5 {
		o.pool.Release(o.take("a", now), Result{Latency: 100 * time.Millisecond}, now)
	}
	running := o.take("a", now)
	o.pool.ApplyUsage(&Usage{Running: map[uint32]int{shortID("i@1"): 4}, Objects: map[uint32][]string{shortID("i@1"): {"b"}}}, time.Second, now)
	for range barAfter {
		o.pool.Release(o.take("a", now), Result{Failed: true}, now)
	}
	if o.pool.Choose(ask("a"), now) != nil {
		t.Fatal("the old start is not barred")
	}

	o.starts("i@2", time.Time{})
	at := mustChoose(t, o.pool, ask("a"), now)
	if at.known || at.own != 0 || at.others != 0 || at.target.busy(now) != 0 || at.target.objects.known("b") {
		t.Errorf("the new start has what the old one had: %+v, busy %d", at, at.target.busy(now))
	}
	// Late results of the old instance do not count for the new one.
	o.pool.Release(running, Result{Failed: true, Gone: true, Ended: true}, now)
	o.pool.ApplyUsage(&Usage{Running: map[uint32]int{shortID("i@1"): 6}, Objects: map[uint32][]string{shortID("i@1"): {"c"}}}, time.Second, now)
	at = mustChoose(t, o.pool, ask("a"), now)
	if at.target.busy(now) != 0 || at.target.objects.known("c") || at.target.cold(now) {
		t.Errorf("the new start got what was meant for the old one: busy %d, cold %v", at.target.busy(now), at.target.cold(now))
	}
}

// A new instance has a cold limit of its own.
func TestColdMeterBelongsToOneStart(t *testing.T) {
	o := newOneTarget(t, "i@1")
	o.starts("i@1", start.Add(time.Minute))
	o.take("a", start)
	if o.pool.Choose(ask("a"), start) != nil {
		t.Fatal("the cold target got two requests at once")
	}
	o.starts("i@2", start.Add(time.Minute))
	o.take("a", start)
	if o.pool.Choose(ask("a"), start) != nil {
		t.Error("the new start, cold too, got two requests at once")
	}
}

// An instance that answers after a refused connection is cold, before its entry arrives.
func TestTargetThatHadEndedIsColdWhenItAnswersAgain(t *testing.T) {
	o := newOneTarget(t, "i")
	now := start
	o.pool.Release(o.take("a", now), Result{Failed: true, Ended: true}, now)
	if sent := o.sendsWithin(now, time.Second); sent != 1 {
		t.Errorf("%d requests in a second to a target that had ended", sent)
	}
	now = now.Add(2 * time.Second)
	o.pool.Release(o.take("a", now), Result{Latency: 100 * time.Millisecond}, now)
	if sent := o.sendsWithin(now.Add(coldGap), oneTargetCold-2*coldGap); sent != 1 {
		t.Errorf("%d requests while it is still cold", sent)
	}
	if sent := o.sendsWithin(now.Add(oneTargetCold), time.Second); sent < 50 {
		t.Errorf("%d requests in a second once it is warm", sent)
	}
}

// A VM outside the senders of cold targets does not skip a restarted target for good.
func TestTargetThatHadEndedIsTriedAgainByAllInTheEnd(t *testing.T) {
	o := newOneTarget(t, "i")
	o.pool.Release(o.take("a", start), Result{Failed: true, Ended: true}, start)
	o.pool.SetFleet(Fleet{Self: "vm"})
	if o.pool.Choose(ask("a"), start.Add(time.Second)) != nil {
		t.Fatal("a VM that does not know the fleet sends to a target that may be cold")
	}
	if o.pool.Choose(ask("a"), start.Add(endedTTL)) == nil {
		t.Error("the target gets nothing any more")
	}
}

// sendsWithin counts the requests that the target gets under unlimited demand.
func (o *oneTarget) sendsWithin(from time.Time, span time.Duration) int {
	sent := 0
	for d := time.Duration(0); d < span; d += 10 * time.Millisecond {
		now := from.Add(d)
		if at := o.pool.Choose(ask("a"), now); at != nil {
			o.pool.Acquire(at, now)
			o.pool.Release(at, Result{Left: true}, now)
			sent++
		}
	}
	return sent
}
