package e2e

import (
	"strings"
	"testing"
	"time"
)

// Classes of the requests under load.
var (
	lookUps = loadClass{name: "lookup", priority: 0, objective: 400 * time.Millisecond, run: 150 * time.Millisecond}
	reports = loadClass{name: "report", priority: 2, objective: 1600 * time.Millisecond, run: 400 * time.Millisecond}
	reads   = loadClass{name: "read", priority: 1, objective: 400 * time.Millisecond, run: 150 * time.Millisecond, objects: 40}
	pages   = loadClass{name: "page", priority: 1, objective: time.Second, run: 300 * time.Millisecond}
	quick   = loadClass{name: "quick", priority: 1, objective: 400 * time.Millisecond, run: 84 * time.Millisecond}
)

// slowHalf makes each second target three times slower than the others.
func (l *loadRun) slowHalf(odd int) {
	for i, g := range l.fleet.targets {
		g.setSlower(map[bool]float64{true: 3, false: 1}[i%2 == odd])
	}
}

// Guards against slow targets that get as many requests as fast ones.
func TestSlowTargetsAreAvoidedUnderLoad(t *testing.T) {
	c := loadCase{
		vms: 6, streams: []loadStream{{name: "read", class: &reads, perSecond: 130}},
		begin: func(l *loadRun) { l.slowHalf(0) }, want: map[string]float64{"read": 0.85},
	}
	loadRuns(t, map[string]loadCase{"half are slow": c})
}

// Guards against slow targets that are known as fast ones, as they have become slow since.
func TestTargetsThatBecomeSlowAreAvoidedUnderLoad(t *testing.T) {
	loadRuns(t, map[string]loadCase{"the other half becomes slow": {
		vms: 6, streams: []loadStream{{name: "read", class: &reads, perSecond: 130}}, want: map[string]float64{"read": 0.80},
		begin: func(l *loadRun) { l.slowHalf(0) }, midway: func(l *loadRun) { l.slowHalf(1) },
	}})
}

// prioritiesCompete returns the case of two priorities that ask for 150% of the capacity together. receives
// tells which VMs of a region receive look-ups, and which reports; nil: all.
func prioritiesCompete(vms int, lookups, reported func(i int) bool) loadCase {
	return loadCase{vms: vms, want: map[string]float64{"lookup": 0.95, "report": 0.50}, streams: []loadStream{
		{name: "lookup", class: &lookUps, perSecond: 80, receives: lookups},
		{name: "report", class: &reports, perSecond: 150, receives: reported},
	}}
}

// Guards against lower priorities that fill the targets before higher ones, and against higher ones that leave
// nothing to lower ones.
func TestPrioritiesAreAdmittedInOrder(t *testing.T) {
	alike := func(vms int, midway func(l *loadRun)) loadCase {
		c := prioritiesCompete(vms, nil, nil)
		c.midway = midway
		return c
	}
	// A third of the VMs of each region receives only look-ups, the others receive only reports.
	apart := func(vms int) loadCase {
		return prioritiesCompete(vms, func(i int) bool { return i/2%3 == 0 }, func(i int) bool { return i/2%3 != 0 })
	}
	loadRuns(t, map[string]loadCase{
		"all VMs alike":                alike(6, nil),
		"no VM receives both":          apart(6),
		"all VMs alike, 12 VMs":        alike(12, nil),
		"no VM receives both, 12 VMs":  apart(12),
		"all VMs alike, one is killed": alike(6, (*loadRun).killRoot),
		"all VMs alike, one is frozen": alike(6, (*loadRun).freezeRoot),
	})
}

// Guards against a higher priority that finds all slots and queues full of lower ones when it comes.
func TestHigherPriorityThatComesLaterIsServed(t *testing.T) {
	later := func(vms int) loadCase {
		return loadCase{vms: vms, length: 9 * time.Second, want: map[string]float64{"lookup": 0.85}, streams: []loadStream{
			{name: "lookup", class: &lookUps, perSecond: 130, from: 6 * time.Second, inA: 1, receives: func(i int) bool { return i == 0 }},
			{name: "report", class: &reports, perSecond: 150},
		}}
	}
	loadRuns(t, map[string]loadCase{"6 VMs": later(6), "12 VMs": later(12)})
}

// Guards against a customer that takes the slots of those who ask for less than an equal share.
func TestCustomersGetFairShares(t *testing.T) {
	c := loadCase{vms: 6, want: map[string]float64{"large": 0.45}}
	c.streams = []loadStream{{name: "large", class: &pages, customer: true, perSecond: 150}}
	for _, name := range []string{"small-1", "small-2", "small-3", "small-4"} {
		c.streams = append(c.streams, loadStream{name: name, class: &pages, customer: true, perSecond: 18})
		c.want[name] = 0.90
	}
	loadRuns(t, map[string]loadCase{"one asks for eight times as much": c})
}

// maxShift is the largest fraction of a region's requests that may change the region in which they run from one
// window to the next.
const (
	maxShift    = 0.15
	shiftWindow = 2 * time.Second
)

// Guards against callers that are refused while another region has free slots.
func TestOtherRegionsServeWhatARegionCannot(t *testing.T) {
	c := loadCase{
		vms: 24, targets: map[string]int{"a1": 2, "a2": 1, "b1": 5, "b2": 4},
		streams: []loadStream{{name: "lookup", class: &lookUps, perSecond: 240, inA: 0.8}},
		check: func(t *testing.T, l *loadRun) {
			if n := l.figures["lookup"].unserved; n > 0 {
				t.Errorf("%d of %d are not served", n, l.figures["lookup"].asked)
			}
			inB := l.runsInB("/lookup/a/")
			t.Logf("of the requests of region a, %.3f run in b in each %v", inB, shiftWindow)
			for i := 1; i < len(inB); i++ {
				if inB[i]-inB[i-1] > maxShift || inB[i-1]-inB[i] > maxShift {
					t.Errorf("the fraction that runs in region b changes from %.3f to %.3f, at most %.2f is allowed", inB[i-1], inB[i], maxShift)
				}
			}
		},
	}
	loadRuns(t, map[string]loadCase{"four in five callers at a quarter of the targets": c})
}

// runsInB returns which fraction of the runs of requests with a path prefix was in region b, in each window of the load.
func (l *loadRun) runsInB(prefix string) []float64 {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	inB, all := make([]float64, int(l.length/shiftWindow)), make([]float64, int(l.length/shiftWindow))
	for _, r := range f.runs {
		i := int(r.at.Sub(l.began) / shiftWindow)
		if r.at.Before(l.began) || i >= len(all) || !strings.HasPrefix(r.path, prefix) {
			continue
		}
		all[i]++
		if !strings.HasPrefix(r.target, "i-10.1.0.") && !strings.HasPrefix(r.target, "i-10.1.1.") {
			inB[i]++
		}
	}
	for i := range all {
		inB[i] /= max(all[i], 1)
	}
	return inB
}

// Guards against callers that return all at once or too early, and are refused again though slots become free.
func TestReturningCallersAreServedAfterABurst(t *testing.T) {
	const unservedMax = 6
	c := loadCase{
		vms: 6, length: 2 * time.Second, streams: []loadStream{{name: "quick", class: &quick, perSecond: 740}}, // capacity for 571/s
		check: func(t *testing.T, l *loadRun) {
			if g := l.figures["quick"]; g.unserved > unservedMax {
				t.Errorf("%d of %d are not served, at most %d may be", g.unserved, g.asked, unservedMax)
			}
		},
	}
	loadRuns(t, map[string]loadCase{"1.3 times the capacity": c})
}

// Guards against callers that wait for an answer that they do not get.
func TestCallersThatCannotBeServedAreToldAtOnce(t *testing.T) {
	c := loadCase{
		vms: 6, length: 3 * time.Second, streams: []loadStream{{name: "page", class: &pages, perSecond: 320}}, // capacity for 160/s
		check: func(t *testing.T, l *loadRun) {
			if g := l.figures["page"]; g.toldLate > 0 {
				t.Errorf("%d of %d that are not served are told too late", g.toldLate, g.unserved)
			}
		},
	}
	loadRuns(t, map[string]loadCase{"twice the capacity": c})
}
