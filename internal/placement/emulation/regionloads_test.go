package emulation

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/placement"
)

// unevenReads has four in five callers where a quarter of the targets is. The demand is three quarters of
// the capacity of all targets.
func unevenReads(vms int) *Workload {
	return &Workload{
		Name: "uneven-reads", Regions: []Region{{"a", vms / 2, 6}, {"b", vms / 2, 18}},
		Callers: map[string]float64{"a": 0.8, "b": 0.2},
		OneWay:  estibaOneWay, WithinRegion: withinRegion,
		Slots: 4, QueueLimit: 12, CacheSize: 100, Objects: 60,
		ColdRunTime: 500 * time.Millisecond, RunTimeVariation: 0.15, CachedFactor: 0.3,
		Objective: time.Second, Deadline: 2 * time.Second, LateWorth: 0.2,
		Rate: 480, Period: time.Second, Length: 30 * time.Second,
	}
}

// steadyUnevenReads is like unevenReads, with run times that do not depend on caches.
func steadyUnevenReads(vms int) *Workload {
	w := unevenReads(vms)
	w.ColdRunTime, w.CachedFactor = 150*time.Millisecond, 1
	return w
}

// maxShiftedShare is the share of a region's requests that may change the region in which they run from
// one window to the next.
const maxShiftedShare = 0.15

// Guards against refusing callers of a region that lacks capacity while another region has it, and against
// moving too many requests between regions at a time.
func TestRegionWithoutCapacityUsesAnother(t *testing.T) {
	for _, vms := range []int{6, 24} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%d VMs, seed %d", vms, seed), func(t *testing.T) {
				t.Parallel()
				w := steadyUnevenReads(vms)
				w.RegionLoads = true
				r := Run(w, placement.PolicyCompletion, seed)
				t.Logf("of %d: in time %d, late %d, refused %d, failed %d, shift %.3f", r.Requests, r.InTime, r.Late, r.Refused, r.Failed, r.MaxShift)
				if r.Refused+r.Failed > 0 || r.Late > r.Requests/500 {
					t.Errorf("%d of %d refused, %d failed, %d late; want all served in time", r.Refused, r.Requests, r.Failed, r.Late)
				}
				if r.MaxShift > maxShiftedShare {
					t.Errorf("%.3f of a region's requests moved between regions", r.MaxShift)
				}
			})
		}
	}
}

// Guards against a split that costs more by runs at cold caches than it gains: where each object must first
// be loaded into caches, fewer than a fifth as many callers may be left unserved as without it.
func TestSplitWithColdCaches(t *testing.T) {
	for _, vms := range []int{6, 24} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			w := unevenReads(vms)
			without := Run(w, placement.PolicyCompletion, 1)
			w.RegionLoads = true
			with := Run(w, placement.PolicyCompletion, 1)
			t.Logf("unserved of %d: %d without, %d with; shift %.3f", with.Requests, without.Refused+without.Failed, with.Refused+with.Failed, with.MaxShift)
			if unserved := with.Refused + with.Failed; 5*unserved > without.Refused+without.Failed {
				t.Errorf("%d unserved, without the split %d", unserved, without.Refused+without.Failed)
			}
			if with.MaxShift > maxShiftedShare {
				t.Errorf("%.3f of a region's requests moved between regions", with.MaxShift)
			}
		})
	}
}

// Guards against any effect on a fleet whose regions have capacity.
func TestRegionsWithCapacityKeepTheDefault(t *testing.T) {
	w := steadyUnevenReads(6)
	w.Callers, w.Rate, w.Length = map[string]float64{"a": 0.25, "b": 0.75}, 240, 10*time.Second
	without := Run(w, placement.PolicyCompletion, 1)
	w.RegionLoads = true
	if with := Run(w, placement.PolicyCompletion, 1); *with != *without {
		t.Errorf("with loads of regions: %+v, without: %+v", with, without)
	}
}

// Guards against a split that depends on single messages.
func TestSplitWithLostLoads(t *testing.T) {
	w := steadyUnevenReads(24)
	w.RegionLoads, w.LoadLoss = true, 0.3
	r := Run(w, placement.PolicyCompletion, 1)
	if r.Refused+r.Failed > 0 || r.MaxShift > maxShiftedShare {
		t.Errorf("%d of %d refused, %d failed, shift %.3f", r.Refused, r.Requests, r.Failed, r.MaxShift)
	}
}

// Guards against a sudden move of requests when the roots no longer receive each other's loads, or receive them again, and against
// refusing callers of regions whose roots are connected again after some seconds.
func TestSplitWhileRegionsDoNotHearOfEachOther(t *testing.T) {
	for _, tt := range []struct {
		cut  time.Duration
		most float64 // share of the requests that may be unserved
	}{{6 * time.Second, 0}, {20 * time.Second, 0.04}} {
		w := steadyUnevenReads(24)
		w.RegionLoads, w.Length = true, 45*time.Second
		w.CutFrom, w.CutUntil = 15*time.Second, 15*time.Second+tt.cut
		r := Run(w, placement.PolicyCompletion, 1)
		t.Logf("cut for %v: of %d: refused %d, failed %d, shift %.3f", tt.cut, r.Requests, r.Refused, r.Failed, r.MaxShift)
		if unserved := r.Refused + r.Failed; float64(unserved) > tt.most*float64(r.Requests) {
			t.Errorf("cut for %v: %d of %d unserved", tt.cut, unserved, r.Requests)
		}
		if r.MaxShift > maxShiftedShare {
			t.Errorf("cut for %v: %.3f of a region's requests moved between regions", tt.cut, r.MaxShift)
		}
	}
}
