package e2e

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Bounds on a request that crashes targets: it may reach runsLate more later than
// memStable after it has crashed the lossesFirst-th.
const (
	lossesFirst = 3
	runsLate    = 3
)

// lateRuns returns how many runs of requests began later than memStable after the
// third target was lost.
func (f *memFleet) lateRuns(crashing func(memRun) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.losses) < lossesFirst {
		return 0
	}
	late := 0
	for _, r := range f.runs {
		if crashing(r) && r.at.After(f.losses[lossesFirst-1].Add(memStable)) {
			late++
		}
	}
	return late
}

// Guards against sending a request on and on to targets that crash under it.
func TestRequestThatCrashesTargetsReachesFewOfThem(t *testing.T) {
	for _, interval := range []time.Duration{150 * time.Millisecond, 1200 * time.Millisecond} {
		for name, c := range map[string]call{
			"read":         {method: "GET", path: "/read/crash?q=1", object: "7"},
			"write":        {method: "POST", path: "/write/x", body: "crash"},
			"chunked body": {method: "POST", path: "/write/x", body: strings.Repeat("crash", 30_000), chunked: true},
		} {
			t.Run(fmt.Sprintf("%s every %v", name, interval), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newMemFleet(t, 6, 6)
					defer f.stop()
					var others served
					var group sync.WaitGroup
					group.Go(func() { f.load(20*time.Millisecond, 20*time.Second, &others, ownRead) })
					f.repeat(interval, 20*time.Second, c)
					group.Wait()
					late := f.lateRuns(func(r memRun) bool { return strings.HasPrefix(r.path, c.path) })
					t.Logf("%d targets lost, %d runs too late, %.3f of other requests served", len(f.losses), late, others.share())
					if late > runsLate {
						t.Errorf("%d runs later than %v after the third loss, at most %d are allowed", late, memStable, runsLate)
					}
					if len(f.losses) > lossesFirst+runsLate {
						t.Errorf("%d targets lost, at most %d are allowed", len(f.losses), lossesFirst+runsLate)
					}
				})
			})
		}
	}
}

// popularServed is the share of a popular request that is served while availability
// zones crash under it.
const popularServed = 0.95

// Guards against blaming a popular request for targets that end for other reasons.
func TestPopularRequestIsServedWhileZonesCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t, 6, 6)
		defer f.stop()
		for n := range 5 {
			time.AfterFunc(time.Duration(2+3*n)*time.Second, func() { f.crashZone(memZones[n%len(memZones)]) })
		}
		var s served
		f.load(20*time.Millisecond, 20*time.Second, &s, func(int) call { return call{method: "GET", path: "/read/popular"} })
		t.Logf("%d targets lost, %.3f served", len(f.losses), s.share())
		if s.share() < popularServed {
			t.Errorf("%.3f served, want %.2f", s.share(), popularServed)
		}
	})
}

// crashZone crashes all targets of an availability zone.
func (f *memFleet) crashZone(zone string) {
	for _, g := range f.targets {
		if g.host.Zone == zone {
			g.crash()
		}
	}
}

// Guards against requests that crash targets hiding behind each other.
func TestSeveralRequestsThatCrashTargets(t *testing.T) {
	const several = 3
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t, 6, 6)
		defer f.stop()
		var others served
		var group sync.WaitGroup
		group.Go(func() { f.load(20*time.Millisecond, 20*time.Second, &others, ownRead) })
		for n := range several {
			c := call{method: "GET", path: fmt.Sprintf("/read/crash/%d", n)}
			group.Go(func() { f.repeat(150*time.Millisecond, 20*time.Second, c) })
		}
		group.Wait()
		t.Logf("%d targets lost, %.3f of other requests served", len(f.losses), others.share())
		if most := several * (lossesFirst + runsLate); len(f.losses) > most {
			t.Errorf("%d targets lost, at most %d are allowed", len(f.losses), most)
		}
	})
}

// Guards against VMs in trouble that don't hear of a request that crashes targets,
// or forget it.
func TestTroubleDoesNotBringBackARequestThatCrashesTargets(t *testing.T) {
	region := func(f *memFleet, name string) []*memVM {
		var vms []*memVM
		for _, v := range f.vms {
			if memPlaces[v.host.Zone] == name {
				vms = append(vms, v)
			}
		}
		return vms
	}
	apart := func(f *memFleet, some, others []*memVM, on bool) {
		for _, a := range some {
			for _, b := range others {
				if a == b {
					continue
				}
				if on {
					f.net.Hold(a.host, b.host)
				} else {
					f.net.Release(a.host, b.host)
				}
			}
		}
	}
	tests := map[string]func(f *memFleet){
		"the store is away": func(f *memFleet) { f.objects.SetOutage(true) },
		"a VM starts again": func(f *memFleet) {
			time.Sleep(8 * time.Second)
			f.vms[2].kill(f)
			time.Sleep(time.Second)
			f.vms[2].start(f)
		},
		"a VM starts again while the store is away": func(f *memFleet) {
			f.objects.SetOutage(true)
			time.Sleep(8 * time.Second)
			f.vms[2].kill(f)
			time.Sleep(time.Second)
			f.vms[2].start(f)
		},
		"all VMs start again": func(f *memFleet) {
			time.Sleep(8 * time.Second)
			for _, v := range f.vms {
				v.kill(f)
			}
			time.Sleep(time.Second)
			for _, v := range f.vms {
				v.start(f)
			}
		},
		"a VM is cut from the others": func(f *memFleet) {
			apart(f, f.vms[:1], f.vms, true)
			time.Sleep(12 * time.Second)
			apart(f, f.vms[:1], f.vms, false)
		},
		"regions are cut from each other": func(f *memFleet) {
			apart(f, region(f, "a"), region(f, "b"), true)
			time.Sleep(12 * time.Second)
			apart(f, region(f, "a"), region(f, "b"), false)
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newMemFleet(t, 6, 6)
				defer f.stop()
				var others served
				var group sync.WaitGroup
				group.Go(func() { f.load(20*time.Millisecond, 20*time.Second, &others, ownRead) })
				group.Go(func() { trouble(f) })
				f.repeat(300*time.Millisecond, 20*time.Second, call{method: "GET", path: "/read/crash", object: "7"})
				group.Wait()
				late := f.lateRuns(func(r memRun) bool { return r.path == "/read/crash" })
				t.Logf("%d targets lost, %d runs too late, %.3f of other requests served", len(f.losses), late, others.share())
				if late > runsLate {
					t.Errorf("%d runs later than %v after the third loss, at most %d are allowed", late, memStable, runsLate)
				}
			})
		})
	}
}

// Guards against holding a request back for good after what crashed targets under it
// was mended.
func TestRequestThatCrashesNoMoreIsLetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t, 6, 2)
		defer f.stop()
		c := call{method: "GET", path: "/read/crash"}
		f.repeat(500*time.Millisecond, 5*time.Second, c)
		f.mend()
		began := time.Now()
		statuses := make(map[int]int)
		for time.Since(began) < time.Minute {
			r := f.repeat(time.Second, time.Second, c)[0]
			if r.status == 200 {
				break
			}
			statuses[r.status]++
		}
		t.Logf("served again after %v; before: %v", time.Since(began), statuses)
		if statuses[400] == 0 || time.Since(began) >= time.Minute {
			t.Errorf("want it refused, and served within a minute")
		}
		for _, r := range f.repeat(100*time.Millisecond, 3*time.Second, c) {
			if r.status != 200 {
				t.Errorf("%d after it was served", r.status)
			}
		}
	})
}

// Guards against refusals that call the caller back in vain, or come late.
func TestRequestInQuarantineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t, 6, 6)
		defer f.stop()
		c := call{method: "POST", path: "/write/x", body: "crash"}
		f.repeat(500*time.Millisecond, 5*time.Second, c)
		client := f.newClient("a1")
		defer client.CloseIdleConnections()
		for _, v := range f.vms {
			began := time.Now()
			r := f.send(client, v, c)
			if r.status != 400 || r.after != "" || !strings.Contains(r.body, "quarantine") {
				t.Errorf("%s: %+v", v.host.Name, r)
			}
			if took := time.Since(began); took > 200*time.Millisecond {
				t.Errorf("%s: refused after %v", v.host.Name, took)
			}
			other := c
			other.body = "another"
			if r := f.send(client, v, other); r.status != 200 {
				t.Errorf("%s: another body is answered with %d", v.host.Name, r.status)
			}
		}
	})
}
