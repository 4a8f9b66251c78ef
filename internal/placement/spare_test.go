package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"masticturn/internal/config"
)

// fillOwnRegion makes all targets of region a full.
func fillOwnRegion(p *Pool) {
	for _, t := range p.sortedTargets {
		if t.Region == "a" {
			t.ownRequests = t.maxRequests()
		}
	}
}

// poolWithoutCapacity returns a pool of the i-th VM of n whose own region is full and which sends no object elsewhere
// by its ranking.
func poolWithoutCapacity(t *testing.T, i, n int) *Pool {
	t.Helper()
	p, _ := newTestPool(t, "a", unevenRegions)
	p.remoteWeight = 0
	p.applyWeights()
	fillOwnRegion(p)
	f := Fleet{Self: fmt.Sprintf("vm-%03d", i)}
	for _, name := range vmNames(n) {
		f.VMs = append(f.VMs, VM{name, "a"})
	}
	p.SetFleet(f)
	return p
}

// sendSpare places requests of different objects until none is placed any more, and returns their number.
func sendSpare(p *Pool, now time.Time) (n int, sels []*Selection) {
	for i := range 200 {
		sel := p.Choose(newRequest(fmt.Sprint(i)), now)
		if sel == nil {
			continue
		}
		p.Acquire(sel, now)
		sels = append(sels, sel)
		n++
	}
	return n, sels
}

// Guards against VMs that together use much more than the free slots of a region, or leave them unused.
func TestVMsShareSpareSlots(t *testing.T) {
	const vms = 24
	for _, free := range []float64{4, 7, 24, 40} {
		for step := range 7 {
			now := start.Add(time.Duration(step) * 300 * time.Millisecond)
			total := 0
			for i := range vms {
				p := poolWithoutCapacity(t, i, vms)
				p.ApplyRegions(RegionDecision{Spare: map[string]float64{"b": free / vms}}, time.Second, now)
				n, _ := sendSpare(p, now)
				if n > int(math.Ceil(free/vms)) {
					t.Errorf("%v free slots: a VM uses %d", free, n)
				}
				total += n
			}
			if math.Abs(float64(total)-free) > 2 {
				t.Errorf("%v free slots, %v after the start: the VMs use %d", free, now.Sub(start), total)
			}
		}
	}
}

// Guards against spare slots that are used after their TTL, by a VM that does not know the fleet, beyond a free
// slot at the target, while a candidate has capacity, or by a rule that does not allow the region.
func TestWhenSpareSlotsAreUsed(t *testing.T) {
	decision := RegionDecision{Spare: map[string]float64{"b": 2, "x": 5, "a": 5, "c": math.NaN()}}
	onlyA := newRequest("k")
	onlyA.Rule = &config.Rule{AllowedRegions: []string{"a"}}
	for _, tt := range []struct {
		name   string
		change func(p *Pool)
		req    *Request
		after  time.Duration
		want   bool
	}{
		{"both candidates full", func(*Pool) {}, newRequest("k"), 0, true},
		{"TTL passed", func(*Pool) {}, newRequest("k"), time.Second + 1, false},
		{"fleet not known", func(p *Pool) { p.SetFleet(Fleet{Self: "vm-000"}) }, newRequest("k"), 0, false},
		{"no free slots there", func(p *Pool) {
			for _, target := range p.otherTargets {
				target.ownRequests = target.Slots
			}
		}, newRequest("k"), 0, false},
		{"evacuated", func(p *Pool) {
			for _, target := range p.otherTargets {
				target.evacuated = true
			}
		}, newRequest("k"), 0, false},
		{"region not allowed", func(*Pool) {}, onlyA, 0, false},
	} {
		p := poolWithoutCapacity(t, 0, 3)
		p.ApplyRegions(decision, time.Second, start)
		tt.change(p)
		sel := p.Choose(tt.req, start.Add(tt.after))
		if (sel != nil) != tt.want || sel != nil && (sel.target.Region != "b" || !sel.usesSpare) {
			t.Errorf("%s: chose %+v, want a target of b: %v", tt.name, sel, tt.want)
		}
	}
	p, _ := newTestPool(t, "a", unevenRegions)
	p.SetFleet(Fleet{Self: "vm-000", VMs: []VM{{"vm-000", "a"}}})
	p.ApplyRegions(decision, time.Second, start)
	if sel := mustChoose(t, p, newRequest("k"), start); sel.usesSpare {
		t.Error("spare slots are used although the candidates have capacity")
	}
}

// Guards against spare slots that count as used after their requests have ended.
func TestSpareSlotsAreReturned(t *testing.T) {
	p := poolWithoutCapacity(t, 0, 3)
	p.ApplyRegions(RegionDecision{Spare: map[string]float64{"b": 3}}, time.Hour, start)
	now := start
	for round := range 3 {
		n, sels := sendSpare(p, now)
		if n != 3 {
			t.Fatalf("round %d: %d requests, want 3", round, n)
		}
		for _, sel := range sels {
			complete(p, sel, 100*time.Millisecond, now)
		}
		now = now.Add(sparePeriod) // the same turn
	}
	if len(p.spare.running) != 0 {
		t.Errorf("%v requests count as running", p.spare.running)
	}
}
