package placement

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/edge"
	"masticturn/internal/peer"
)

// sharingFleet returns a fleet of n VMs in a region.
func sharingFleet(region string, n int) Fleet {
	f := Fleet{Self: "vm-0"}
	for i := range n {
		f.VMs = append(f.VMs, VM{fmt.Sprintf("vm-%d", i), region})
	}
	return f
}

// sharingPools returns the pools of n VMs of one region.
func sharingPools(t *testing.T, n int, layout targetLayout) []*Pool {
	pools := make([]*Pool, n)
	for i := range pools {
		pools[i], _ = newTestPool(t, "ros", layout)
		pools[i].SetFleet(sharingFleet("ros", n))
	}
	return pools
}

// runAt runs a request of a class without an object at a target.
func runAt(p *Pool, s *targetState, class string, took time.Duration, now time.Time) {
	sel := p.newSelection(s, &Request{Class: class}, 0, true, now)
	p.Acquire(sel, now)
	complete(p, sel, took, now)
}

// newRoot returns the aggregator of the first of n VMs, whose children are the others.
func newRoot(n int) *Aggregator {
	root := NewAggregator()
	var children []string
	for i := range n - 1 {
		children = append(children, fmt.Sprint(i))
	}
	root.SetPosition(TreePosition{Children: children})
	return root
}

// shareUsage sends the reports of the VMs to the root and applies the total at all of them.
func shareUsage(root *Aggregator, pools []*Pool, now time.Time) {
	report := func(p *Pool) *LoadReport {
		return &LoadReport{Services: map[string]*Usage{"svc": p.ReportUsage()}, TTL: time.Second}
	}
	for i, p := range pools[1:] {
		root.Receive(fmt.Sprint(i), report(p), now)
	}
	total := root.merge(report(pools[0]), now)
	for _, p := range pools {
		p.ApplyUsage(total.Services["svc"], time.Second, now)
	}
}

// playSpeeds lets VMs run requests at random targets and share their usage for some intervals. A run takes
// 100 ms x factor of the target x 0.9 to 1.1.
func playSpeeds(pools []*Pool, factor func(target int) float64, intervals int, now time.Time) time.Time {
	random := rand.New(rand.NewPCG(7, 7))
	root := newRoot(len(pools))
	for range intervals {
		now = now.Add(ReportInterval)
		for _, p := range pools {
			for range 4 {
				i := random.IntN(len(p.sortedTargets))
				took := time.Duration(factor(i) * (0.9 + 0.2*random.Float64()) * float64(100*time.Millisecond))
				runAt(p, p.sortedTargets[i], "look-up", took, now)
			}
		}
		shareUsage(root, pools, now)
	}
	return now
}

// slowFrom makes the targets of an even or odd index three times slower.
func slowFrom(first int) func(int) float64 {
	return func(i int) float64 {
		if i%2 == first {
			return 3
		}
		return 1
	}
}

func checkSlowHalf(t *testing.T, pools []*Pool, first int, now time.Time) {
	t.Helper()
	for vm, p := range pools {
		for i, s := range p.sortedTargets {
			want, got := slowFrom(first)(i)/1.5, s.slowness.shared.at(now) // harmonic mean of 1 and 3
			if got < 0.75*want || got > 1.25*want {
				t.Errorf("VM %d: slowness of target %d is %.2f, want %.2f", vm, i, got, want)
			}
		}
	}
}

// All VMs must know a slow half of the targets from each other's runs, also after the other half has
// become the slow one, and forget it once the targets are alike.
func TestSharedSlownessFollowsTargets(t *testing.T) {
	for _, tt := range []struct{ vms, targets int }{{3, 6}, {30, 60}} {
		t.Run(fmt.Sprint(tt.vms, " VMs"), func(t *testing.T) {
			pools := sharingPools(t, tt.vms, targetLayout{perRegion: map[string]int{"ros": tt.targets}, slots: 4})
			now := playSpeeds(pools, slowFrom(0), 60, start)
			checkSlowHalf(t, pools, 0, now)
			now = playSpeeds(pools, slowFrom(1), 60, now)
			checkSlowHalf(t, pools, 1, now)
			playSpeeds(pools, func(int) float64 { return 1 }, 90, now)
			for _, p := range pools {
				if p.speeds.differ {
					t.Error("speeds are said to differ though all targets are alike")
				}
			}
		})
	}
}

// The estimate of a run must be that of the target's speed and the class, whatever the mean was learned
// from: without a common reference, means and speeds drift together when the slow half changes.
func TestEstimatesDoNotDriftWithSpeeds(t *testing.T) {
	pools := sharingPools(t, 4, targetLayout{perRegion: map[string]int{"ros": 8}, slots: 4})
	now := start
	for i := range 8 {
		now = playSpeeds(pools, slowFrom(i%2), 60, now)
	}
	p := pools[0]
	for i, s := range p.sortedTargets {
		want := slowFrom(1)(i) * float64(100*time.Millisecond)
		if got := float64(p.estimateAnswer(s, &Request{Class: "look-up"}, true, 0, now)); got < 0.75*want || got > 1.3*want {
			t.Errorf("run at target %d: expected %v, want %v", i, time.Duration(got), time.Duration(want))
		}
	}
}

// Equal targets must give the same decisions with and without shared samples, so that a service without
// differences in speed is served as before.
func TestEqualSpeedsChangeNoDecision(t *testing.T) {
	for _, targets := range []int{6, 60} {
		layout := targetLayout{perRegion: map[string]int{"ros": targets, "bb": targets / 2}, slots: 4}
		sharing, alone := sharingPools(t, 2, layout), sharingPools(t, 1, layout)[0]
		now := start
		root := newRoot(len(sharing))
		for i := range 400 {
			now = now.Add(20 * time.Millisecond)
			req := newTimedRequest(fmt.Sprint(i%50), 1, now)
			withClass := *req
			withClass.Class = "look-up"
			a, b := mustChoose(t, sharing[0], &withClass, now), mustChoose(t, alone, req, now)
			if a.target.Name != b.target.Name || a.rank != b.rank || a.queued != b.queued {
				t.Fatalf("%d targets, request %d: %s with shared samples, %s without", targets, i, a.target.Name, b.target.Name)
			}
			if x, y := sharing[0].waitUntil(&withClass), alone.waitUntil(req); !x.Equal(y) {
				t.Fatalf("%d targets, request %d: may wait until %v with shared samples, %v without", targets, i, x, y)
			}
			took := time.Duration(90+i%21) * time.Millisecond
			for p, sel := range map[*Pool]*Selection{sharing[0]: a, alone: b} {
				p.Acquire(sel, now)
				complete(p, sel, took, now)
			}
			if i%6 == 0 {
				shareUsage(root, sharing, now)
			}
		}
		if sharing[0].timesOf("look-up").expect(true, 0) != alone.runTimes.expect(true, 0) || len(alone.speeds.newSamples) > 0 {
			t.Errorf("%d targets: the means differ, or a VM without others collects samples", targets)
		}
	}
}

// Two classes of 440 and 1,360 ms on one service must have their own estimates, and the longer one must not
// make targets look slow. Queues are estimated by the mean of all.
func TestClassesHaveTheirOwnRunTimes(t *testing.T) {
	const lookUp, upload = 440 * time.Millisecond, 1360 * time.Millisecond
	pools := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 2}, slots: 4})
	p := pools[0]
	if p.timesOf("look-up").expect(true, 0) != 0 {
		t.Error("a run time is expected though none has been measured")
	}
	runAt(p, p.sortedTargets[0], "upload", upload, start)
	if got := p.timesOf("look-up").expect(true, 0); got != upload {
		t.Errorf("a class without measurements is expected to take %v, want the service's mean", got)
	}
	runAt(p, p.sortedTargets[1], "look-up", lookUp, start)
	if got := p.sortedTargets[1].slowness.factorAt(start); got != 1 {
		t.Errorf("slowness %.2f after the first run of a class, which was compared with another class", got)
	}
	for i := range 60 {
		runAt(p, p.sortedTargets[i%2], "look-up", lookUp, start)
		runAt(p, p.sortedTargets[(i+1)%2], "upload", upload, start)
	}
	shareUsage(newRoot(len(pools)), pools, start)
	for _, s := range p.sortedTargets {
		if got := s.slowness.factorAt(start); math.Abs(got-1) > 0.01 {
			t.Errorf("slowness %.2f of a target whose runs took the time of their classes", got)
		}
		for class, want := range map[string]time.Duration{"look-up": lookUp, "upload": upload} {
			if got := p.estimateAnswer(s, &Request{Class: class}, true, 0, start); (got - want).Abs() > 10*time.Millisecond {
				t.Errorf("%s: expected to take %v, want %v", class, got, want)
			}
		}
	}
	mean := p.runTimes.expect(true, 0)
	if mean <= lookUp || mean >= upload {
		t.Errorf("mean of the service: %v, want a value between the classes", mean)
	}
	if got := p.timeToAnswer(&Request{Class: "look-up"}); got != lookUp+mean {
		t.Errorf("time to answer of a look-up: %v, want its run and one of the service's mean before it: %v", got, lookUp+mean)
	}
}

// The table of classes must stay bounded, whatever names documents have had.
func TestClassTimesAreBounded(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: 4})
	p.SetFleet(sharingFleet("ros", 2))
	for i := range 3 * maxClasses {
		runAt(p, p.sortedTargets[0], fmt.Sprint(i), time.Second, start)
	}
	if len(p.classTimes) > maxClasses || len(p.speeds.references) > maxClasses {
		t.Errorf("%d classes, %d references, want %d at most", len(p.classTimes), len(p.speeds.references), maxClasses)
	}
}

// sampleFor returns a usage with runs of a ratio at a target.
func sampleFor(s *targetState, runs uint32, ratio float64) *Usage {
	u := newUsage()
	u.Speeds = map[uint32]SpeedSample{s.id: {Runs: runs, Ratio: uint32(100 * ratio * float64(runs))}}
	return u
}

// A VM's own runs must count in shared slowness only as part of the region's total, and each run once.
func TestOwnRunsCountOnce(t *testing.T) {
	pools := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 4}, slots: 4})
	p := pools[0]
	slow := p.sortedTargets[0]
	for i := range 40 {
		runAt(p, p.sortedTargets[1+i%3], "c", 100*time.Millisecond, start)
	}
	p.ReportUsage()
	runAt(p, slow, "c", 300*time.Millisecond, start)
	if slow.slowness.shared.factor != 0 {
		t.Error("an own run changes the shared slowness before the total has it")
	}
	first, second := p.ReportUsage(), p.ReportUsage()
	if s := first.Speeds[slow.id]; s.Runs != 1 || s.Ratio != 300 || len(second.Speeds) > 0 {
		t.Errorf("reported %+v, then %+v; want the run once", first.Speeds, second.Speeds)
	}
	p.ApplyUsage(first, time.Second, start)
	if got, want := slow.slowness.shared.factorAt(start), 1+2*speedWeight; math.Abs(got-want) > 0.01 {
		t.Errorf("shared slowness %.3f after one run three times as long, want %.3f", got, want)
	}
}

// Where samples are lost, or an older build that sends none is the root, what is known must fade, and a
// target of which nothing is known must count as one of mean speed.
func TestSharedSlownessFades(t *testing.T) {
	p := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 4}, slots: 4})[0]
	slow, unknown := p.sortedTargets[0], p.sortedTargets[1]
	if changes := p.ApplyUsage(sampleFor(slow, 40, 4), time.Second, start); len(changes) != 1 || changes[0].Target != slow.Name || changes[0].Before != 1 || changes[0].Slowness < 2 {
		t.Fatalf("changes %+v, want one of the slow target", changes)
	}
	if got := unknown.slowness.shared.factorAt(start); got != 1 {
		t.Errorf("factor %.2f of an unknown target, want 1", got)
	}
	before := slow.slowness.shared.at(start)
	soon := start.Add(slownessDecay)
	p.ApplyUsage(newUsage(), time.Second, soon) // a total without samples
	if got := slow.slowness.shared.at(soon); got < 0.85*before {
		t.Errorf("slowness %.2f after %v without samples, want about %.2f", got, slownessDecay, before)
	}
	var last []SpeedChange
	now := start
	for range 90 { // no totals at all
		now = now.Add(speedUpdateInterval)
		if changes := p.expireUsage(now); len(changes) > 0 {
			last = changes
		}
	}
	if p.speeds.differ || len(last) != 1 || last[0].Slowness != 1 || slow.weight != float64(slow.Slots) {
		t.Errorf("after %v without reports: last changes %+v, weight %.2f, speeds differ %v", now.Sub(start), last, slow.weight, p.speeds.differ)
	}
}

// Single slow runs, and those of less than powerHold, must move no objects.
func TestBriefDifferencesMoveNoObjects(t *testing.T) {
	p := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 4}, slots: 4})[0]
	s := p.sortedTargets[0]
	now := start
	if changes := p.ApplyUsage(sampleFor(s, 4, 2.2), time.Second, now); len(changes) > 0 {
		t.Errorf("four runs that took 2.2 times as long: %+v", changes)
	}
	for _, ratio := range []float64{1, 1, 1, 1, 2.2} {
		now = now.Add(powerHold / 2)
		if changes := p.ApplyUsage(sampleFor(s, 4, ratio), time.Second, now); len(changes) > 0 {
			t.Errorf("runs that took %.1f times as long: %+v", ratio, changes)
		}
	}
	p.ApplyUsage(sampleFor(s, 8, 2.2), time.Second, now.Add(powerHold/2))
	if changes := p.ApplyUsage(sampleFor(s, 8, 2.2), time.Second, now.Add(2*powerHold)); len(changes) != 1 {
		t.Errorf("a lasting difference is not detected: %+v", changes)
	}
}

// Objects must leave slow targets and no others, and the share of objects in other regions must remain.
func TestSlowTargetsGetFewerObjects(t *testing.T) {
	for _, n := range []int{6, 60} {
		p := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": n, "bb": n}, slots: 4})[0]
		first := func() map[string]*targetState {
			targets := make(map[string]*targetState)
			for i := range 3000 {
				key := fmt.Sprint(i)
				targets[key] = p.rank(key, 1)[0]
			}
			return targets
		}
		before := first()
		total := newUsage()
		total.Speeds = make(map[uint32]SpeedSample)
		for i, s := range p.sortedTargets {
			if i%2 == 0 && s.Region == "ros" {
				total.Speeds[s.id] = SpeedSample{Runs: 200, Ratio: 200 * 300}
			}
		}
		p.ApplyUsage(total, time.Second, start)
		slow := func(s *targetState) bool { return s.slowness.shared.power > 0 }
		counts, remoteBefore, remoteAfter := map[bool]int{}, 0, 0
		for key, s := range first() {
			if s.Region != p.region {
				remoteAfter++
			} else {
				counts[slow(s)]++
			}
			if before[key].Region != p.region {
				remoteBefore++
			}
			if slow(s) && before[key] != s {
				t.Errorf("%d targets: object %s moved to the slow %s", n, key, s.Name)
			}
		}
		if counts[true] == 0 || 4*counts[true] > 3*counts[false] {
			t.Errorf("%d targets: %d objects at slow targets, %d at others", n, counts[true], counts[false])
		}
		weight, slots := 0.0, 0
		for _, s := range p.sortedTargets {
			if s.Region == p.region {
				weight += s.weight
				slots += s.Slots
			}
		}
		if math.Abs(weight-float64(slots)) > 1e-6 {
			t.Errorf("%d targets: the region has a weight of %v, want that of its %d slots", n, weight, slots)
		}
		if d := remoteAfter - remoteBefore; d < -60 || d > 60 {
			t.Errorf("%d targets: %d of 3000 objects in the other region, %d before", n, remoteAfter, remoteBefore)
		}
	}
}

// If both targets of an object would miss the objective because they are slow, the next ones of the region
// must be considered, but only where speeds differ.
func TestFurtherTargetsAreConsidered(t *testing.T) {
	p := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 6, "bb": 6}, slots: 4})[0]
	p.runTimes = runTimes{cached: movingAverage(200 * time.Millisecond), uncached: movingAverage(200 * time.Millisecond)}
	req := newTimedRequest("a", 1, start)
	for _, s := range p.candidates(req, start) {
		s.slowness.factor, s.slowness.measuredAt = 4, start
	}
	if sel := mustChoose(t, p, req, start); sel.rank >= replicas {
		t.Errorf("rank %d is chosen though no shared speeds differ", sel.rank)
	}
	for _, s := range p.candidates(req, start) {
		p.ApplyUsage(sampleFor(s, 200, 4), time.Second, start)
	}
	slow := func(s *targetState) bool { return s.slowness.shared.power > 0 }
	found := 0
	for i := range 200 {
		req := newTimedRequest(fmt.Sprint(i), 1, start)
		candidates := p.candidates(req, start)
		if !slow(candidates[0]) || !slow(candidates[1]) {
			continue
		}
		found++
		sel := mustChoose(t, p, req, start)
		if slow(sel.target) || sel.target.Region != p.region || sel.rank < replicas {
			t.Errorf("object %d is sent to %s of rank %d", i, sel.target.Name, sel.rank)
		}
		withoutObjective := *req
		withoutObjective.Rule = nil
		if sel := mustChoose(t, p, &withoutObjective, start); sel.rank >= replicas {
			t.Errorf("object %d without an objective is sent to rank %d", i, sel.rank)
		}
	}
	if found == 0 {
		t.Fatal("no object has two slow targets")
	}
}

// A run that waited in a target's queue must not make it look slow, while one that the queue cannot explain
// must; work factors that were reported lately may explain it too.
func TestWaitsAreNotTakenForSlowness(t *testing.T) {
	for _, tt := range []struct {
		took    time.Duration
		waiting int
		percent int // largest work factor before
		want    bool
	}{
		{100 * time.Millisecond, 0, 100, true},
		{100 * time.Millisecond, 2, 100, false}, // says nothing about a target that is no slower
		{170 * time.Millisecond, 3, 100, false},
		{600 * time.Millisecond, 3, 100, true},
		{600 * time.Millisecond, 3, 400, false},
	} {
		p := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 2}, slots: 4})[0]
		for range minSpeedRuns {
			runAt(p, p.sortedTargets[1], "", 100*time.Millisecond, start)
		}
		answer(p, p.sortedTargets[1], edge.Load{Slots: 4, WorkPercent: tt.percent}, 100*time.Millisecond, start)
		s := p.sortedTargets[0]
		answer(p, s, edge.Load{Slots: 4, Running: 4, Waiting: tt.waiting, WorkPercent: 100}, tt.took, start)
		if _, got := p.ReportUsage().Speeds[s.id]; got != tt.want {
			t.Errorf("run of %v, %d waiting, work factor %d%% before: sample %v, want %v", tt.took, tt.waiting, tt.percent, got, tt.want)
		}
	}
}

// Runs in a region to which the time of the way is unknown would make its targets look slow.
func TestRunsOverAnUnknownWayAreNotShared(t *testing.T) {
	p := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 2, "bb": 1}, slots: 4})[0]
	far := p.targets["bb-0"]
	for range 2 * minSpeedRuns {
		runAt(p, far, "", 300*time.Millisecond, start)
	}
	if u := p.ReportUsage(); len(u.Speeds) > 0 {
		t.Errorf("samples %+v, want none", u.Speeds)
	}
	p.recordRoundTrip("bb", 110*time.Millisecond)
	for range 2 * minSpeedRuns {
		runAt(p, far, "", 300*time.Millisecond, start)
	}
	if u := p.ReportUsage(); len(u.Speeds) != 1 {
		t.Errorf("samples %+v, want those of one target", u.Speeds)
	}
}

// Values of other VMs that are out of range must be clamped, and unknown targets ignored.
func TestSamplesAreClamped(t *testing.T) {
	for _, sample := range []SpeedSample{{0, 0}, {0, 500}, {1, math.MaxUint32}, {math.MaxUint32, 0}, {math.MaxUint32, math.MaxUint32}, {7, 0}} {
		p := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 2}, slots: 4})[0]
		u := newUsage()
		u.Speeds = map[uint32]SpeedSample{p.sortedTargets[0].id: sample, 12345: sample}
		buffers := make(speedBuffers)
		for range 3 {
			buffers.add("svc", u.Speeds, start)
			buffers.add("svc", u.Speeds, start)
			merged := &LoadReport{Services: make(map[string]*Usage)}
			buffers.forward(merged, start)
			p.ApplyUsage(u, time.Second, start)
			if m := merged.Services["svc"]; m != nil {
				p.ApplyUsage(m, time.Second, start)
			}
		}
		factor := p.sortedTargets[0].slowness.shared.factorAt(start)
		if math.IsNaN(factor) || factor < 1/maxSlowness || factor > maxSlowness {
			t.Errorf("sample %+v: factor %v", sample, factor)
		}
		if w := p.sortedTargets[0].weight; math.IsNaN(w) || w <= 0 {
			t.Errorf("sample %+v: weight %v", sample, w)
		}
	}
}

// The samples of many targets must be forwarded within a report's size, each once.
func TestSamplesAreForwardedInTurns(t *testing.T) {
	const targets, rounds = 200, 10
	a := NewAggregator()
	a.SetPosition(TreePosition{Parent: "top", Children: []string{"x"}})
	u := newUsage()
	u.Speeds = make(map[uint32]SpeedSample)
	for id := range uint32(targets) {
		u.Speeds[id<<20] = SpeedSample{Runs: 1, Ratio: 300}
	}
	a.Receive("x", &LoadReport{Services: map[string]*Usage{"svc": u}, TTL: time.Second}, start)
	runs := make(map[uint32]uint32)
	for i := range rounds {
		out := a.Next(func() *LoadReport { return &LoadReport{Services: make(map[string]*Usage)} }, start.Add(time.Duration(i)*ReportInterval))
		if out.Report == nil || out.Report.Empty() {
			continue
		}
		speeds := out.Report.Services["svc"].Speeds
		if len(speeds) > maxReportSpeeds {
			t.Errorf("report %d has the samples of %d targets, want %d at most", i, len(speeds), maxReportSpeeds)
		}
		raw, err := peer.Encode(out.Report)
		if err != nil || len(raw) > out.Report.size() {
			t.Errorf("report %d: %d bytes, error %v; want %d bytes at most", i, len(raw), err, out.Report.size())
		}
		for id, s := range speeds {
			runs[id] += s.Runs
		}
	}
	if len(runs) != targets {
		t.Errorf("the samples of %d targets were forwarded, want %d", len(runs), targets)
	}
	for id, n := range runs {
		if n != 1 {
			t.Errorf("%d runs at target %d were forwarded, want 1", n, id)
		}
	}
}

// A VM that was suspended must not forward what it received before.
func TestOldSamplesAreDropped(t *testing.T) {
	a := NewAggregator()
	a.SetPosition(TreePosition{Parent: "top", Children: []string{"x"}})
	r := testReport(1)
	r.Services["svc"].Speeds = map[uint32]SpeedSample{1: {Runs: 1, Ratio: 300}}
	a.Receive("x", r, start)
	own := func() *LoadReport { return testReport(1) }
	if out := a.Next(own, start.Add(maxReportTTL+1)); len(out.Report.Services["svc"].Speeds) > 0 {
		t.Error("samples are forwarded after maxReportTTL")
	}
	p := sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 1}, slots: 4})[0]
	for range 2 * minSpeedRuns {
		runAt(p, p.sortedTargets[0], "", 100*time.Millisecond, start)
	}
	runAt(p, p.sortedTargets[0], "", 100*time.Millisecond, start.Add(maxReportTTL+1))
	if got := p.ReportUsage().Speeds[p.sortedTargets[0].id].Runs; got != 1 {
		t.Errorf("%d runs are reported, want the last one", got)
	}
}

// Operators must see how many targets are slow.
func TestSpeedChangesAreCounted(t *testing.T) {
	set := metrics.NewSet()
	a := &Admitter{metrics: newDecisionMetrics(set), aggregator: NewAggregator()}
	a.aggregator.SetPosition(TreePosition{Parent: "top"})
	p := &servicePool{Pool: sharingPools(t, 2, targetLayout{perRegion: map[string]int{"ros": 4}, slots: 4})[0], name: "svc"}
	a.recordSpeedChanges(p, nil)
	var text bytes.Buffer
	if set.WritePrometheus(&text); text.Len() > 0 {
		t.Errorf("metrics without differences in speed: %s", text.String())
	}
	a.recordSpeedChanges(p, p.ApplyUsage(sampleFor(p.sortedTargets[0], 200, 3), time.Second, start))
	text.Reset()
	set.WritePrometheus(&text)
	for _, want := range []string{`masticturn_targets_by_slowness{service="svc",slowness="2"} 1`, `masticturn_targets_by_slowness{service="svc",slowness="1"} 3`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("metrics lack %s:\n%s", want, text.String())
		}
	}
}
