package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/edge"
	"masticturn/internal/settings"
)

// targetLayout describes the targets of a service for a test.
type targetLayout struct {
	perRegion map[string]int
	slots     int
	coldRate  float64 // rate limit of a cold target, requests/s; 0: none
}

func (s targetLayout) view(t testing.TB) (*discovery.View, *config.ServiceIndex) {
	t.Helper()
	doc := &config.Document{Services: []config.Service{{Name: "svc", ColdRequestsPerSecond: s.coldRate}}}
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

// allOverloadControl enables all parts of overload control.
var allOverloadControl = settings.Overload{Admission: true, Speeds: true, Regions: true, Returns: true}

func testOptions(region string) Options {
	return Options{Region: region, Policy: PolicyCompletion, Rand: rand.New(rand.NewPCG(1, 1)), Overload: allOverloadControl}
}

func newTestPool(t *testing.T, region string, s targetLayout) (*Pool, *discovery.View) {
	v, svc := s.view(t)
	p := NewPool(testOptions(region))
	p.SetTargets(svc, v)
	return p, v
}

var (
	start        = time.Unix(1000, 0)
	threeRegions = targetLayout{perRegion: map[string]int{"ros": 6, "bb": 2, "bsas": 6}, slots: 5}
)

func newRequest(key string) *Request { return &Request{ID: key, Key: key, Arrived: start} }

func mustChoose(t *testing.T, p *Pool, req *Request, now time.Time) *Selection {
	t.Helper()
	sel := p.Choose(req, now)
	if sel == nil {
		t.Fatalf("no target for object %q", req.Key)
	}
	return sel
}

// complete ends a request with a successful answer.
func complete(p *Pool, sel *Selection, took time.Duration, now time.Time) {
	p.Release(sel, Result{Latency: took}, now)
}

func TestObjectKeepsItsTarget(t *testing.T) {
	p, _ := newTestPool(t, "ros", threeRegions)
	now := start
	first := mustChoose(t, p, newRequest("a"), now).target.Name
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		sel := mustChoose(t, p, newRequest("a"), now)
		p.Acquire(sel, now)
		complete(p, sel, 110*time.Millisecond, now.Add(110*time.Millisecond))
		if sel.target.Name != first {
			t.Fatalf("the object was sent to %s, want %s as before", sel.target.Name, first)
		}
	}
}

// All VMs of a region choose the same target for an object.
func TestVMsOfARegionChooseTheSameTarget(t *testing.T) {
	for i := range 50 {
		key := fmt.Sprint(i)
		a, _ := newTestPool(t, "bb", threeRegions)
		b, _ := newTestPool(t, "bb", threeRegions)
		if x, y := mustChoose(t, a, newRequest(key), start), mustChoose(t, b, newRequest(key), start); x.target.Name != y.target.Name {
			t.Errorf("object %s: VMs chose %s and %s", key, x.target.Name, y.target.Name)
		}
	}
}

// The share of objects that a region sends to other regions depends only on its share of the
// slots.
func TestShareOfObjectsInOtherRegions(t *testing.T) {
	tests := []struct {
		region    string
		low, high float64
	}{{"bb", 0.35, 0.6}, {"ros", 0.01, 0.1}}
	const objects = 2000
	for _, tt := range tests {
		p, _ := newTestPool(t, tt.region, threeRegions)
		remote := 0
		for i := range objects {
			if mustChoose(t, p, newRequest(fmt.Sprint(i)), start).target.Region != tt.region {
				remote++
			}
		}
		if share := float64(remote) / objects; share < tt.low || share > tt.high {
			t.Errorf("%s: %.2f of the objects are sent to other regions, want %.2f to %.2f", tt.region, share, tt.low, tt.high)
		}
	}
}

// The loss of one target must move only few objects between regions, so the weight of other
// regions must not change in large steps.
func TestRemoteWeightChangesGradually(t *testing.T) {
	last := 0.0
	for n := range 13 {
		p, _ := newTestPool(t, "a", targetLayout{perRegion: map[string]int{"a": n, "b": 6, "c": 6}, slots: 3})
		if n > 0 && last-p.remoteWeight > 0.08 {
			t.Errorf("weight of other regions with %d targets: %.3f, with one less: %.3f", n, p.remoteWeight, last)
		}
		if n > 0 && p.remoteWeight > last {
			t.Errorf("weight of other regions grows with the number of targets: %.3f after %.3f", p.remoteWeight, last)
		}
		last = p.remoteWeight
	}
	if last != minRemoteWeight {
		t.Errorf("weight with twice the targets of other regions: %.3f, want minRemoteWeight", last)
	}
}

func TestAllowedRegionsAreRespected(t *testing.T) {
	p, _ := newTestPool(t, "bb", threeRegions)
	rule := &config.Rule{AllowedRegions: []string{"bsas"}}
	for i := range 200 {
		req := newRequest(fmt.Sprint(i))
		req.Rule = rule
		if sel := mustChoose(t, p, req, start); sel.target.Region != "bsas" {
			t.Fatalf("object %s was sent to region %s", req.Key, sel.target.Region)
		}
	}
	req := newRequest("x")
	req.Rule = &config.Rule{AllowedRegions: []string{"nowhere"}}
	if p.Choose(req, start) != nil || p.hasUsableTarget(req, start) {
		t.Error("a request without an allowed region has a target")
	}
}

// A target gets at most one queued request per slot. The object's other target takes the
// overflow.
func TestFullTargetsAreNotChosen(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 3}, slots: 2})
	used := make(map[string]int)
	for {
		sel := p.Choose(newRequest("a"), start)
		if sel == nil {
			break
		}
		p.Acquire(sel, start)
		used[sel.target.Name]++
	}
	if len(used) != replicas {
		t.Errorf("%d targets were used, want %d", len(used), replicas)
	}
	for name, n := range used {
		if n != 4 {
			t.Errorf("%s got %d requests, want 2 running and 2 queued", name, n)
		}
	}
	if !p.hasUsableTarget(newRequest("a"), start) {
		t.Error("hasUsableTarget = false for full targets, want true as slots become free again")
	}
}

// The requests of other VMs in a target's load report count until its TTL.
func TestReportedLoadCounts(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 2}, slots: 2})
	sel := mustChoose(t, p, newRequest("a"), start)
	p.Acquire(sel, start)
	p.Release(sel, Result{Load: &edge.Load{Running: 2, Waiting: 3, Slots: 2}, Latency: time.Millisecond}, start)
	if other := mustChoose(t, p, newRequest("a"), start); other.target.Name == sel.target.Name {
		t.Error("a target full of other VMs' requests is chosen")
	}
	if other := mustChoose(t, p, newRequest("a"), start.Add(minReportTTL)); other.target.Name == sel.target.Name {
		t.Error("the report expired too early")
	}
	later := start.Add(3 * minReportTTL)
	if again := mustChoose(t, p, newRequest("a"), later); again.target.Name != sel.target.Name {
		t.Error("an expired report still counts")
	}
}

// A report of a long queue is valid as long as the queue takes to run, and decays afterwards.
func TestReportTTLGrowsWithQueue(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: 3})
	const runTime = 400 * time.Millisecond
	first := mustChoose(t, p, newRequest("a"), start)
	p.Acquire(first, start)
	complete(p, first, runTime, start)
	sel := mustChoose(t, p, newRequest("a"), start)
	p.Acquire(sel, start)
	p.Release(sel, Result{Load: &edge.Load{Running: 3, Waiting: 9, Slots: 3}, Latency: runTime}, start)
	ttl := time.Duration(reportTTLRuns * 12 / 3 * float64(runTime))
	tests := map[time.Duration]int{
		0:                      12,
		minReportTTL + 1:       12,
		ttl:                    12,
		ttl + ttl/2:            7,
		2 * ttl:                4,
		6 * ttl:                0,
		time.Hour:              0,
		ttl + time.Microsecond: 12,
	}
	for after, want := range tests {
		if got := sel.target.load(start.Add(after)); got != want {
			t.Errorf("%v after a report of 12 requests the load is %d, want %d", after, got, want)
		}
	}
}

// An object that is new to its next target is sent there only if enough slots are free.
func TestNewObjectsNeedSpareSlots(t *testing.T) {
	for _, slots := range []int{1, 2, 3, 5} {
		for busy := range slots + 1 {
			p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 2}, slots: slots})
			first := mustChoose(t, p, newRequest("a"), start)
			first.target.ownRequests = int(float64(slots) * (1 + maxQueuedPerSlot))
			next := p.candidates(newRequest("a"), start)[1]
			next.ownRequests = busy
			sel := p.Choose(newRequest("a"), start)
			if want := slots-busy >= min(minSpareSlots, slots); (sel != nil) != want {
				t.Errorf("new object, %d of %d slots in use: chosen %v, want %v", busy, slots, sel != nil, want)
			}
			next.objects.add("a", start)
			if p.Choose(newRequest("a"), start) == nil {
				t.Errorf("known object, %d of %d slots in use: not chosen", busy, slots)
			}
		}
	}
}

// If the cached targets of an object are unusable, those that rank after them are chosen.
func TestTargetsBeyondTheCachedRankingAreChosen(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": maxCachedTargets + 4}, slots: 2})
	order := p.rank("a", len(p.sortedTargets))
	p.candidates(newRequest("a"), start)
	for i, target := range order {
		if sel := p.Choose(newRequest("a"), start); sel == nil || sel.target != target {
			t.Fatalf("with %d unusable targets the next one is not chosen", i)
		}
		target.replaced = true
	}
	if sel := p.Choose(newRequest("a"), start); sel != nil {
		t.Errorf("%s is chosen though all targets are unusable", sel.target.Name)
	}
}

// New targets are chosen for their objects at once, in spite of cached rankings.
func TestRankingFollowsTargets(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 2}, slots: 2})
	for i := range 50 {
		p.candidates(newRequest(fmt.Sprint(i)), start)
	}
	view, svc := targetLayout{perRegion: map[string]int{"ros": 8}, slots: 2}.view(t)
	p.SetTargets(svc, view)
	used := make(map[string]bool)
	for i := range 50 {
		used[p.candidates(newRequest(fmt.Sprint(i)), start)[0].Name] = true
	}
	if len(used) != 8 {
		t.Errorf("%d targets rank first for an object, want 8", len(used))
	}
}

func TestUnusableTargetsAreNotChosen(t *testing.T) {
	tests := map[string]func(p *Pool, v *discovery.View, sel *Selection){
		"its availability zone is evacuated": func(p *Pool, v *discovery.View, sel *Selection) {
			v.Evacuated["ros-a"] = true
			p.SetTargets(v.Snapshot.Service("svc"), v)
		},
		"it is leaving": func(p *Pool, v *discovery.View, sel *Selection) {
			sel.target.TargetIndex.Target.Leaving = true
		},
		"another instance has its address": func(p *Pool, _ *discovery.View, sel *Selection) {
			p.Acquire(sel, start)
			p.Release(sel, Result{Misdirected: true}, start)
		},
		"its requests fail": func(p *Pool, _ *discovery.View, sel *Selection) {
			for range failuresToEject {
				p.Acquire(sel, start)
				p.Release(sel, Result{Failed: true}, start)
			}
		},
		"it refused a request as it was full": func(p *Pool, _ *discovery.View, sel *Selection) {
			p.Acquire(sel, start)
			p.Release(sel, Result{Shed: true}, start)
		},
	}
	for name, makeUnusable := range tests {
		t.Run(name, func(t *testing.T) {
			p, v := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 2, "bb": 1}, slots: 2})
			sel := mustChoose(t, p, newRequest("a"), start)
			makeUnusable(p, v, sel)
			if other := mustChoose(t, p, newRequest("a"), start); other.target.Name == sel.target.Name {
				t.Error("the target still gets requests")
			}
		})
	}
}

func TestEjectedTargetReturns(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: 2})
	fail := func(now time.Time) {
		sel := mustChoose(t, p, newRequest("a"), now)
		p.Acquire(sel, now)
		p.Release(sel, Result{Failed: true}, now)
	}
	fail(start)
	fail(start)
	if p.Choose(newRequest("a"), start.Add(baseEjection-1)) != nil {
		t.Error("the target is chosen during its ejection")
	}
	now := start.Add(baseEjection)
	fail(now)
	if p.Choose(newRequest("a"), now.Add(baseEjection)) != nil {
		t.Error("the second ejection is not longer than the first")
	}
	now = now.Add(2 * baseEjection)
	sel := mustChoose(t, p, newRequest("a"), now)
	p.Acquire(sel, now)
	complete(p, sel, time.Millisecond, now)
	fail(now)
	if p.Choose(newRequest("a"), now) == nil {
		t.Error("the target is ejected after one failure that follows a success")
	}
}

// Requests canceled by the caller say nothing about the target's health.
func TestCanceledRequestsDoNotEject(t *testing.T) {
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 1}, slots: 2})
	for range 2 * failuresToEject {
		sel := mustChoose(t, p, newRequest("a"), start)
		p.Acquire(sel, start)
		p.Release(sel, Result{Failed: true, Canceled: true}, start)
	}
	mustChoose(t, p, newRequest("a"), start)
}

// A short wait at the object's first target is preferred to a run at a target that has not
// cached the object, unless the first target is slow.
func TestWaitIsWeighedAgainstAnUncachedRun(t *testing.T) {
	const cached, uncached = 100 * time.Millisecond, 400 * time.Millisecond
	p, _ := newTestPool(t, "ros", targetLayout{perRegion: map[string]int{"ros": 4}, slots: 2})
	p.runTimes = runTimes{cached: movingAverage(cached), uncached: movingAverage(uncached)}
	first := mustChoose(t, p, newRequest("a"), start)
	p.Acquire(first, start)
	p.Acquire(first, start)
	if sel := mustChoose(t, p, newRequest("a"), start); sel.target != first.target {
		t.Error("a wait of half a run is not preferred to an uncached run elsewhere")
	}
	first.target.slowness = slowness{factor: 10, measuredAt: start}
	if sel := mustChoose(t, p, newRequest("a"), start); sel.target == first.target {
		t.Error("the object is still sent to a slow target")
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
		t.Errorf("objects are cached at first targets, but a run there is expected to take %v", got)
	}
	if got := r.expect(false, 1); got < 300*time.Millisecond {
		t.Errorf("objects are not cached at second targets, but a run there is expected to take %v", got)
	}
	if got := r.expect(true, 1); got > 120*time.Millisecond {
		t.Errorf("a run of a known object is expected to take %v", got)
	}
}

func TestSlownessDecays(t *testing.T) {
	var s slowness
	for range 20 {
		s.observe(8, start)
	}
	if now := s.factorAt(start); now < 6 {
		t.Errorf("slowness after ratios of 8: %.1f, want 6 or more", now)
	}
	if later := s.factorAt(start.Add(5 * slownessDecay)); later > 1.1 {
		t.Errorf("slowness after five times its decay time: %.1f, want 1.1 or less", later)
	}
}
