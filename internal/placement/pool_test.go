package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/edge"
)

// site describes the targets of a service for a test.
type site struct {
	perRegion map[string]int
	slots     int
	cold      float64 // requests a second that a cold target bears
}

func (s site) view(t testing.TB) (*discovery.View, *config.ServiceIndex) {
	t.Helper()
	doc := &config.Document{Services: []config.Service{{Name: "svc", ColdRequestsPerSecond: s.cold}}}
	for region, n := range s.perRegion {
		doc.Regions = append(doc.Regions, config.Region{Name: region, Zones: []string{region + "-a"}})
		for i := range n {
			doc.Services[0].Targets = append(doc.Services[0].Targets, config.Target{
				Name: fmt.Sprintf("%s-%d", region, i), Zone: region + "-a", Slots: s.slots,
			})
		}
	}
	v := &discovery.View{
		Snapshot:  config.NewLiveSnapshot(1, doc),
		Evacuated: map[string]bool{},
		ColdUntil: map[string]time.Time{},
	}
	return v, v.Snapshot.Service("svc")
}

func testOptions(region string) Options {
	return Options{Region: region, Policy: PolicyCompletion, Rand: rand.New(rand.NewPCG(1, 1))}
}

func newTestPool(t *testing.T, region string, s site) (*Pool, *discovery.View) {
	v, svc := s.view(t)
	p := NewPool(testOptions(region))
	p.SetTargets(svc, v)
	return p, v
}

var (
	start  = time.Unix(1000, 0)
	estiba = site{perRegion: map[string]int{"ros": 6, "bb": 2, "bsas": 6}, slots: 5}
)

func ask(key string) *Request { return &Request{ID: key, Key: key, Arrived: start} }

func mustChoose(t *testing.T, p *Pool, a *Request, now time.Time) *Selection {
	t.Helper()
	at := p.Choose(a, now)
	if at == nil {
		t.Fatalf("no target for object %q", a.Key)
	}
	return at
}

// finish ends a request with an answer.
func finish(p *Pool, at *Selection, took time.Duration, now time.Time) {
	p.Release(at, Result{Latency: took}, now)
}

func TestObjectStaysAtItsTarget(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	now := start
	first := mustChoose(t, p, ask("a"), now).target.Name
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		at := mustChoose(t, p, ask("a"), now)
		p.Acquire(at, now)
		finish(p, at, 110*time.Millisecond, now.Add(110*time.Millisecond))
		if at.target.Name != first {
			t.Fatalf("the object went to %s, before to %s, though that was free", at.target.Name, first)
		}
	}
}

// All VMs of a region pick the same target for an object.
func TestVMsOfARegionAgree(t *testing.T) {
	for i := range 50 {
		key := fmt.Sprint(i)
		a, _ := newTestPool(t, "bb", estiba)
		b, _ := newTestPool(t, "bb", estiba)
		if x, y := mustChoose(t, a, ask(key), start), mustChoose(t, b, ask(key), start); x.target.Name != y.target.Name {
			t.Errorf("object %s: %s and %s", key, x.target.Name, y.target.Name)
		}
	}
}

// The share of objects in other regions depends on the region's share of the slots only.
func TestShareOfOtherRegions(t *testing.T) {
	tests := []struct {
		region    string
		low, high float64
	}{{"bb", 0.35, 0.6}, {"ros", 0.01, 0.1}}
	const objects = 2000
	for _, tt := range tests {
		p, _ := newTestPool(t, tt.region, estiba)
		remote := 0
		for i := range objects {
			if mustChoose(t, p, ask(fmt.Sprint(i)), start).target.Region != tt.region {
				remote++
			}
		}
		if share := float64(remote) / objects; share < tt.low || share > tt.high {
			t.Errorf("%s: %.2f of the objects go elsewhere, want %.2f to %.2f", tt.region, share, tt.low, tt.high)
		}
	}
}

// The loss of one target moves few objects between regions.
func TestWeightOfOtherRegionsHasNoStep(t *testing.T) {
	last := 0.0
	for n := range 13 {
		p, _ := newTestPool(t, "a", site{perRegion: map[string]int{"a": n, "b": 6, "c": 6}, slots: 3})
		if n > 0 && last-p.remoteWeight > 0.08 {
			t.Errorf("with %d targets the weight is %.3f, with one less %.3f", n, p.remoteWeight, last)
		}
		if n > 0 && p.remoteWeight > last {
			t.Errorf("with more targets the weight of other regions grows: %.3f after %.3f", p.remoteWeight, last)
		}
		last = p.remoteWeight
	}
	if last != minRemoteWeight {
		t.Errorf("with twice the others' targets the weight is %.3f", last)
	}
}

func TestAllowedRegionsBind(t *testing.T) {
	p, _ := newTestPool(t, "bb", estiba)
	rule := &config.Rule{AllowedRegions: []string{"bsas"}}
	for i := range 200 {
		a := ask(fmt.Sprint(i))
		a.Rule = rule
		if at := mustChoose(t, p, a, start); at.target.Region != "bsas" {
			t.Fatalf("object %s went to region %s", a.Key, at.target.Region)
		}
	}
	a := ask("x")
	a.Rule = &config.Rule{AllowedRegions: []string{"nowhere"}}
	if p.Choose(a, start) != nil || p.possible(a, start) {
		t.Error("a request that may run nowhere has a target")
	}
}

// A target takes one queued request per slot at most; the object's other target takes the
// overflow.
func TestFullTargetsTakeNoMore(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 3}, slots: 2})
	used := make(map[string]int)
	for {
		at := p.Choose(ask("a"), start)
		if at == nil {
			break
		}
		p.Acquire(at, start)
		used[at.target.Name]++
	}
	if len(used) != replicas {
		t.Errorf("%d targets were used, want %d", len(used), replicas)
	}
	for name, n := range used {
		if n != 4 {
			t.Errorf("%s got %d requests, want 2 that run and 2 that wait", name, n)
		}
	}
	if !p.possible(ask("a"), start) {
		t.Error("room comes back, so that a request may wait")
	}
}

// Other VMs' requests count through the target's load report until its TTL.
func TestReportedLoadCounts(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 2}, slots: 2})
	at := mustChoose(t, p, ask("a"), start)
	p.Acquire(at, start)
	p.Release(at, Result{Load: &edge.Load{Running: 2, Waiting: 3, Slots: 2}, Latency: time.Millisecond}, start)
	if other := mustChoose(t, p, ask("a"), start); other.target.Name == at.target.Name {
		t.Error("the target is full with the requests of others, yet it is chosen")
	}
	if other := mustChoose(t, p, ask("a"), start.Add(minReportTTL)); other.target.Name == at.target.Name {
		t.Error("the report does not count as long as it should")
	}
	later := start.Add(3 * minReportTTL)
	if again := mustChoose(t, p, ask("a"), later); again.target.Name != at.target.Name {
		t.Error("an old report still counts")
	}
}

// The report of a queue of long runs is valid as long as the queue runs.
func TestReportOfLongRunsCountsLonger(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 1}, slots: 3})
	const run = 400 * time.Millisecond
	first := mustChoose(t, p, ask("a"), start)
	p.Acquire(first, start)
	finish(p, first, run, start)
	at := mustChoose(t, p, ask("a"), start)
	p.Acquire(at, start)
	p.Release(at, Result{Load: &edge.Load{Running: 3, Waiting: 9, Slots: 3}, Latency: run}, start)
	life := time.Duration(reportRuns * 12 / 3 * float64(run))
	tests := map[time.Duration]int{
		0:                       12,
		minReportTTL + 1:        12,
		life:                    12,
		life + life/2:           7,
		2 * life:                4,
		6 * life:                0,
		time.Hour:               0,
		life + time.Microsecond: 12,
	}
	for after, want := range tests {
		if got := at.target.busy(start.Add(after)); got != want {
			t.Errorf("%v after the target told of 12 requests %d are believed, want %d", after, got, want)
		}
	}
}

// An object's next target needs spare slots for a run of a new object.
func TestUnknownObjectsNeedSpareSlots(t *testing.T) {
	for _, slots := range []int{1, 2, 3, 5} {
		for busy := range slots + 1 {
			p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 2}, slots: slots})
			first := mustChoose(t, p, ask("a"), start)
			first.target.own = int(float64(slots) * (1 + maxQueuedPerSlot))
			next := p.candidates(ask("a"), start)[1]
			next.own = busy
			at := p.Choose(ask("a"), start)
			if want := slots-busy >= min(spareSlots, slots); (at != nil) != want {
				t.Errorf("with %d of %d slots in use the object goes there: %v, want %v", busy, slots, at != nil, want)
			}
			next.objects.add("a", start)
			if p.Choose(ask("a"), start) == nil {
				t.Errorf("with %d of %d slots in use a known object does not go there", busy, slots)
			}
		}
	}
}

// The next targets serve an object whose first ones are all unusable.
func TestTargetsBeyondTheKeptOnesServe(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": rankedDepth + 4}, slots: 2})
	order := p.rank("a")
	p.candidates(ask("a"), start)
	for i, target := range order {
		if at := p.Choose(ask("a"), start); at == nil || at.target != target {
			t.Fatalf("with %d targets out of use the next one is not chosen", i)
		}
		target.gone = true
	}
	if at := p.Choose(ask("a"), start); at != nil {
		t.Errorf("%s is chosen though all are out of use", at.target.Name)
	}
}

// New targets get their objects at once.
func TestRankingFollowsTargets(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 2}, slots: 2})
	for i := range 50 {
		p.candidates(ask(fmt.Sprint(i)), start)
	}
	view, svc := site{perRegion: map[string]int{"ros": 8}, slots: 2}.view(t)
	p.SetTargets(svc, view)
	used := make(map[string]bool)
	for i := range 50 {
		used[p.candidates(ask(fmt.Sprint(i)), start)[0].Name] = true
	}
	if len(used) != 8 {
		t.Errorf("%d of 8 targets are the first of an object", len(used))
	}
}

func TestTargetsOutOfUse(t *testing.T) {
	tests := map[string]func(p *Pool, v *discovery.View, at *Selection){
		"its zone is evacuated": func(p *Pool, v *discovery.View, at *Selection) {
			v.Evacuated["ros-a"] = true
			p.SetTargets(v.Snapshot.Service("svc"), v)
		},
		"it leaves": func(p *Pool, v *discovery.View, at *Selection) {
			at.target.TargetIndex.Target.Leaving = true
		},
		"another instance has its address": func(p *Pool, _ *discovery.View, at *Selection) {
			p.Acquire(at, start)
			p.Release(at, Result{Gone: true}, start)
		},
		"its requests fail": func(p *Pool, _ *discovery.View, at *Selection) {
			for range barAfter {
				p.Acquire(at, start)
				p.Release(at, Result{Failed: true}, start)
			}
		},
		"it refused for want of room": func(p *Pool, _ *discovery.View, at *Selection) {
			p.Acquire(at, start)
			p.Release(at, Result{Shed: true}, start)
		},
	}
	for name, do := range tests {
		t.Run(name, func(t *testing.T) {
			p, v := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 2, "bb": 1}, slots: 2})
			at := mustChoose(t, p, ask("a"), start)
			do(p, v, at)
			if next := mustChoose(t, p, ask("a"), start); next.target.Name == at.target.Name {
				t.Error("the target still gets requests")
			}
		})
	}
}

func TestBarredTargetComesBack(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 1}, slots: 2})
	fail := func(now time.Time) {
		at := mustChoose(t, p, ask("a"), now)
		p.Acquire(at, now)
		p.Release(at, Result{Failed: true}, now)
	}
	fail(start)
	fail(start)
	if p.Choose(ask("a"), start.Add(barFirst-1)) != nil {
		t.Error("the target is in use though its requests failed")
	}
	now := start.Add(barFirst)
	fail(now)
	if p.Choose(ask("a"), now.Add(barFirst)) != nil {
		t.Error("the second time is not longer than the first")
	}
	now = now.Add(2 * barFirst)
	at := mustChoose(t, p, ask("a"), now)
	p.Acquire(at, now)
	finish(p, at, time.Millisecond, now)
	fail(now)
	if p.Choose(ask("a"), now) == nil {
		t.Error("one failure after a success bars the target")
	}
}

// A canceled request says nothing about the target's health.
func TestCallersThatLeaveDoNotBar(t *testing.T) {
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 1}, slots: 2})
	for range 2 * barAfter {
		at := mustChoose(t, p, ask("a"), start)
		p.Acquire(at, start)
		p.Release(at, Result{Failed: true, Left: true}, start)
	}
	mustChoose(t, p, ask("a"), start)
}

// A short wait at the first target beats a run at a target without the object.
func TestWaitIsWeighedAgainstAFreshRun(t *testing.T) {
	const warm, fresh = 100 * time.Millisecond, 400 * time.Millisecond
	p, _ := newTestPool(t, "ros", site{perRegion: map[string]int{"ros": 4}, slots: 2})
	p.runs = runTimes{warm: mean(warm), fresh: mean(fresh)}
	home := mustChoose(t, p, ask("a"), start)
	p.Acquire(home, start)
	p.Acquire(home, start)
	if at := mustChoose(t, p, ask("a"), start); at.target != home.target {
		t.Error("a wait of half a run is shorter than a fresh run elsewhere")
	}
	home.target.slow = slowness{factor: 10, at: start}
	if at := mustChoose(t, p, ask("a"), start); at.target == home.target {
		t.Error("a slow target keeps its object")
	}
}

func TestRunTimesDetectUncachedObjects(t *testing.T) {
	var r runTimes
	r.observe(true, 0, 100*time.Millisecond)
	for range 50 {
		r.observe(false, 0, 105*time.Millisecond)
		r.observe(false, 1, 350*time.Millisecond)
	}
	if got := r.expect(false, 0); got > 130*time.Millisecond {
		t.Errorf("first targets are prepared by others, yet a run there is expected to take %v", got)
	}
	if got := r.expect(false, 1); got < 300*time.Millisecond {
		t.Errorf("second targets are not, yet a run there is expected to take %v", got)
	}
	if got := r.expect(true, 1); got > 120*time.Millisecond {
		t.Errorf("a known object is expected to take %v", got)
	}
}

func TestSlownessIsForgotten(t *testing.T) {
	var s slowness
	for range 20 {
		s.observe(8, start)
	}
	if now := s.now(start); now < 6 {
		t.Errorf("a slow target counts as %.1f times as slow", now)
	}
	if later := s.now(start.Add(5 * slownessTTL)); later > 1.1 {
		t.Errorf("it still counts as %.1f times as slow", later)
	}
}
