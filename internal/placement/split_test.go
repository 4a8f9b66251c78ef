package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"masticturn/internal/config"
)

// unevenRegions has a quarter of the targets in region a.
var unevenRegions = targetLayout{perRegion: map[string]int{"a": 6, "b": 12, "c": 6}, slots: 4}

// regionsOf returns the region of the first target of each of n objects.
func regionsOf(p *Pool, n int) []string {
	regions := make([]string, n)
	for i := range regions {
		regions[i] = p.rank(fmt.Sprintf("object-%d", i), 1)[0].Region
	}
	return regions
}

// sharesOf returns the share of each region.
func sharesOf(regions []string) map[string]float64 {
	shares := make(map[string]float64)
	for _, r := range regions {
		shares[r] += 1 / float64(len(regions))
	}
	return shares
}

// moveFully renews a split each second until it is reached.
func moveFully(p *Pool, wanted map[string]float64, now time.Time) time.Time {
	for range 25 {
		now = now.Add(splitInterval)
		p.ApplyRegions(RegionDecision{Split: wanted}, time.Second, now)
	}
	return now
}

// Guards against shares of objects that differ from the split.
func TestSharesOfObjectsFollowTheSplit(t *testing.T) {
	for _, wanted := range []map[string]float64{
		{"a": 0.4, "b": 0.4, "c": 0.2}, {"a": 0.1, "b": 0.1, "c": 0.8}, {"b": 0.5, "c": 0.5}, {"a": 1},
	} {
		p, _ := newTestPool(t, "a", unevenRegions)
		moveFully(p, wanted, start)
		got := sharesOf(regionsOf(p, 8000))
		for _, region := range []string{"a", "b", "c"} {
			if math.Abs(got[region]-wanted[region]) > 0.025 {
				t.Errorf("split %v: region %s has %.3f of the objects", wanted, region, got[region])
			}
		}
	}
}

// Guards against moving more than 0.15 of the requests between regions from one window of 2 s to the next,
// for wanted splits that change at random at any time.
func TestFewObjectsMoveBetweenWindows(t *testing.T) {
	const (
		objects = 1500
		window  = 2 * time.Second
	)
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 7))
		p, _ := newTestPool(t, "a", unevenRegions)
		now, before := start, regionsOf(p, objects)
		wanted := map[string]float64{}
		steps := 0
		for range 60 {
			for range int(window / ReportInterval) {
				now = now.Add(ReportInterval)
				if rng.IntN(40) == 0 {
					wanted = map[string]float64{"a": rng.Float64(), "b": rng.Float64(), "c": rng.Float64()}
					normalize(wanted)
				}
				version := p.split.version
				if rng.IntN(4) > 0 { // others are lost
					p.ApplyRegions(RegionDecision{Split: wanted}, time.Second, now)
				}
				p.expireUsage(now)
				if p.split.version != version {
					steps++
				}
			}
			after := regionsOf(p, objects)
			moved := 0
			for i := range after {
				if after[i] != before[i] {
					moved++
				}
			}
			if share := float64(moved) / objects; share > 0.15 {
				t.Errorf("seed %d: %.3f of the objects moved between regions within a window", seed, share)
			}
			before = after
		}
		if steps > 121 {
			t.Errorf("seed %d: %d steps in 120 s, want one a second at most", seed, steps)
		}
	}
}

// Guards against a present split that moves by more than 0.05 a second, also when it is first set.
func TestSplitMovesByFiveHundredthsASecond(t *testing.T) {
	p, _ := newTestPool(t, "a", unevenRegions)
	now, last := start, p.shares()
	for i := range 20 * 8 {
		now = now.Add(ReportInterval)
		p.ApplyRegions(RegionDecision{Split: map[string]float64{"b": 1}}, time.Second, now)
		if i%8 != 7 {
			continue
		}
		present := p.shares()
		if d := shareDistance(last, present); d > splitStep+1e-9 {
			t.Errorf("second %d: the split moved by %.3f", i/8, d)
		}
		last = present
	}
	if last["b"] < 0.98 {
		t.Errorf("the split is %v after 20 s, want b alone", last)
	}
}

// Guards against a split that stays without being renewed, and against a default that differs from the one
// before.
func TestSplitReturnsToTheDefault(t *testing.T) {
	for name, renew := range map[string]bool{"not renewed": false, "default set": true} {
		t.Run(name, func(t *testing.T) {
			p, _ := newTestPool(t, "a", unevenRegions)
			before := regionsOf(p, 500)
			now := moveFully(p, map[string]float64{"b": 0.9, "c": 0.1}, start)
			set, version := p.shares(), p.split.version
			end := now.Add(30 * time.Second)
			for held := now.Add(splitHold); now.Before(end); {
				now = now.Add(ReportInterval)
				if renew {
					p.ApplyRegions(RegionDecision{Split: map[string]float64{}}, time.Second, now)
				}
				p.expireUsage(now)
				if !renew && !now.After(held) && p.split.version != version {
					t.Fatalf("the split moved %v before the end of the hold", held.Sub(now))
				}
				if moved := shareDistance(set, p.shares()); moved > splitStep*(1+now.Sub(held.Add(-splitHold)).Seconds()) {
					t.Fatalf("the split moved by %.3f", moved)
				}
			}
			if p.split.weights != nil {
				t.Fatalf("after 30 s the split is %v, want the default", p.shares())
			}
			for i, region := range regionsOf(p, 500) {
				if region != before[i] {
					t.Fatalf("object %d is in region %s, want %s as before", i, region, before[i])
				}
			}
		})
	}
}

// Guards against a ranking by default that differs from the weights of slot counts alone.
func TestDefaultWeightsDependOnSlotsAlone(t *testing.T) {
	p, _ := newTestPool(t, "a", unevenRegions)
	p.ApplyRegions(RegionDecision{}, time.Second, start)
	p.ApplyRegions(RegionDecision{Split: map[string]float64{}}, time.Second, start.Add(2*time.Second))
	for _, target := range p.sortedTargets {
		want := 1.0
		if target.Region != "a" {
			want = p.computeRemoteWeight()
		}
		if target.slotWeight != want {
			t.Errorf("%s has weight %v, want %v", target.Name, target.slotWeight, want)
		}
	}
}

// Guards against a split that sends requests to evacuated availability zones, or to regions that the rule
// does not allow, and against ranking the targets of a region without a share by name.
func TestSplitRespectsEvacuationAndAllowedRegions(t *testing.T) {
	p, v := newTestPool(t, "a", unevenRegions)
	now := moveFully(p, map[string]float64{"b": 1}, start)
	chosen := make(map[string]int)
	for i := range 300 {
		req := newRequest(fmt.Sprint(i))
		req.Rule = &config.Rule{AllowedRegions: []string{"a", "c"}}
		target := mustChoose(t, p, req, now).target
		if target.Region == "b" {
			t.Fatal("a request was sent to a region that its rule does not allow")
		}
		chosen[target.Name]++
	}
	if len(chosen) < 8 {
		t.Errorf("the objects are at %d targets, want them spread", len(chosen))
	}
	v.Evacuated["b-a"] = true
	p.SetTargets(v.Snapshot.Service("svc"), v)
	p.ApplyRegions(RegionDecision{Split: map[string]float64{"b": 1}}, time.Second, now.Add(time.Second))
	for i := range 300 {
		if region := mustChoose(t, p, newRequest(fmt.Sprint(i)), now).target.Region; region == "b" {
			t.Fatal("a request was sent to an evacuated availability zone")
		}
	}
}

// Guards against values of a faulty or different build.
func TestSplitOutOfRangeIsIgnored(t *testing.T) {
	for _, wanted := range []map[string]float64{
		{"a": math.NaN()},
		{"b": -1},
		{"b": 1e9},
		{"unknown": 1},
		{"b": 0},
		{"b": math.Inf(1), "a": math.NaN()},
	} {
		p, _ := newTestPool(t, "a", unevenRegions)
		before := regionsOf(p, 200)
		moveFully(p, wanted, start)
		for i, region := range regionsOf(p, 200) {
			if region != before[i] {
				t.Fatalf("split %v moves objects", wanted)
			}
		}
	}
	p, _ := newTestPool(t, "a", targetLayout{perRegion: map[string]int{"a": 4}, slots: 4})
	moveFully(p, map[string]float64{"a": 0.5, "b": 0.5}, start)
	if p.split.weights != nil {
		t.Error("a service with targets in one region has a split")
	}
}

// Guards against a region that gets the same share of requests after it has lost half of its targets, until
// the root's plan takes account of it.
func TestShareFollowsLostTargets(t *testing.T) {
	p, _ := newTestPool(t, "a", unevenRegions)
	now := moveFully(p, map[string]float64{"a": 0.2, "b": 0.6, "c": 0.2}, start)
	v, svc := targetLayout{perRegion: map[string]int{"a": 6, "b": 6, "c": 6}, slots: 4}.view(t)
	p.SetTargets(svc, v)
	if share := p.shares()["b"]; share > 0.45 {
		t.Errorf("b has a share of %.2f with half of its targets, want about 0.43", share)
	}
	p.expireUsage(now)
}
