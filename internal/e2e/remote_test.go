package e2e

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	remoteBetween  = 55 * time.Millisecond
	remoteInterval = 60 * time.Millisecond
	remoteWarmUp   = 4 * time.Second
	remoteLength   = 8 * time.Second
	// remoteSlack is the time besides the way between regions: the ways within both and a connection there.
	remoteSlack = 15 * time.Millisecond
	// remotePromptShare is the share of requests to another region that arrive after one way.
	remotePromptShare = 0.95
	// remoteServedShare is the share of first attempts that are served while one VM of six is away.
	remoteServedShare = 5.0 / 6
)

// newRemoteFleet starts a fleet with nearly all targets in region b.
func newRemoteFleet(t *testing.T) *memFleet {
	t.Helper()
	return startMemFleet(t, memOptions{
		vms: 6, zones: memZones, targets: map[string]int{"a1": 1, "b1": 8, "b2": 8}, between: remoteBetween,
		document: memDocument, slots: memSlots, work: func(string) time.Duration { return memWork },
	})
}

// Guards against requests to other regions that wait for a round trip to open a connection.
func TestRequestsToOtherRegionsDoNotWaitForConnections(t *testing.T) {
	for _, kind := range []string{"write", "read"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRemoteFleet(t)
				defer f.stop()
				vms := f.inZones("a1", "a2")
				client := f.newClient("a1")
				defer client.CloseIdleConnections()
				var s served
				begin := time.Now().Add(remoteWarmUp)
				each(remoteInterval, remoteWarmUp+remoteLength, func(n int) {
					r := f.send(client, vms[n%len(vms)], call{
						method: map[string]string{"write": "POST", "read": "GET"}[kind],
						path:   fmt.Sprintf("/%s/%d", kind, n), object: fmt.Sprint(n % 40),
					})
					s.note(r.status == http.StatusOK)
				})
				remote, prompt := f.remoteRuns(begin)
				t.Logf("%.3f served; of %d requests to the other region %d arrived after one way", s.share(), remote, prompt)
				if float64(prompt) < remotePromptShare*float64(remote) || remote < 30 {
					t.Errorf("of %d requests to the other region %d arrived after one way, want %.2f", remote, prompt, remotePromptShare)
				}
			})
		})
	}
}

// Guards against writes that run twice, or are reported as not run, when VMs end under requests that pass through
// them to another region.
func TestWritesToOtherRegionsRunOnceWhileVMsEnd(t *testing.T) {
	for name, end := range map[string]func(f *memFleet, v *memVM){
		"killed":  (*memFleet).killAndStart,
		"drained": (*memFleet).drainAndStart,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRemoteFleet(t)
				defer f.stop()
				stop := f.followers(ownRequest)
				time.Sleep(remoteWarmUp)
				for n := range 6 {
					end(f, f.vms[n])
					time.Sleep(1200 * time.Millisecond)
				}
				attempts := stop()
				share, through := f.checkRemote(attempts)
				if share < remoteServedShare || through < 50 {
					t.Errorf("%.3f served, want %.2f; %d writes through other VMs, want 50", share, remoteServedShare, through)
				}
			})
		})
	}
}

var (
	remoteSeeds     = flag.Int("remote.seeds", 4, "number of seeds of TestRequestsToOtherRegionsUnderFaults")
	remoteFirstSeed = flag.Uint64("remote.first", 1, "first seed of TestRequestsToOtherRegionsUnderFaults")
)

// remoteFaults are faults of VMs, of ways between VMs and of targets, some of which overlap.
var remoteFaults = map[string]func(f *memFleet, random *rand.Rand){
	"a VM is killed": func(f *memFleet, random *rand.Rand) { f.killAndStart(f.vms[random.IntN(len(f.vms))]) },
	"a VM is drained": func(f *memFleet, random *rand.Rand) {
		f.drainAndStart(f.vms[random.IntN(len(f.vms))])
	},
	"ways between VMs fall silent": func(f *memFleet, random *rand.Rand) {
		a, b := f.vms[random.IntN(len(f.vms))], f.vms[random.IntN(len(f.vms))]
		f.net.Hold(a.host, b.host)
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
		f.net.Release(a.host, b.host)
	},
	"connections between VMs are reset": func(f *memFleet, random *rand.Rand) {
		for _, a := range f.vms {
			f.net.Reset(a.host, f.vms[random.IntN(len(f.vms))].host)
		}
	},
	"a target crashes": func(f *memFleet, random *rand.Rand) { f.targets[random.IntN(len(f.targets))].crash() },
	"a target leaves": func(f *memFleet, random *rand.Rand) {
		g := f.targets[random.IntN(len(f.targets))]
		g.leave()
		time.Sleep(time.Second)
		g.crash()
	},
	"a VM loses its ways to targets": func(f *memFleet, random *rand.Rand) {
		heal := f.cut(partitionResets, f.vms[random.IntN(len(f.vms)):][:1], f.targets)
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		heal()
	},
}

// Guards against writes that run twice, or ran and are reported as not run, under faults of VMs, ways and targets.
func TestRequestsToOtherRegionsUnderFaults(t *testing.T) {
	names := slices.Sorted(maps.Keys(remoteFaults))
	for seed := *remoteFirstSeed; seed < *remoteFirstSeed+uint64(*remoteSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRemoteFleet(t)
				defer f.stop()
				stop := f.followers(ownRequest)
				time.Sleep(remoteWarmUp)
				random := rand.New(rand.NewPCG(seed, 1))
				for range 10 {
					name := names[random.IntN(len(names))]
					t.Logf("%v: %s", time.Now().Format("05.000"), name)
					remoteFaults[name](f, random)
					time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				}
				time.Sleep(memStable)
				attempts := stop()
				if _, through := f.checkRemote(attempts); through == 0 {
					t.Error("no write passed through another VM")
				}
			})
		})
	}
}

// checkRemote checks that writes ran once. It returns the share of attempts that were served, and the number of writes
// that reached region b through a VM there.
func (f *memFleet) checkRemote(attempts []firstAttempt) (share float64, through int) {
	f.t.Helper()
	f.checkWritesOnce(attempts)
	var s served
	for _, a := range attempts {
		s.note(a.status == http.StatusOK)
	}
	share, through = s.share(), f.runsThroughOthers(attempts)
	f.t.Logf("%.3f of %d served; %d writes reached region b through a VM there", share, s.asked, through)
	return share, through
}

// runsThroughOthers returns the number of writes in region b of callers at VMs of region a that came from a VM of
// region b.
func (f *memFleet) runsThroughOthers(attempts []firstAttempt) int {
	byPath := make(map[string]string)
	for _, a := range attempts {
		if strings.HasPrefix(a.path, "/write/") && a.vm != nil && f.inRegion(a.vm.host.IP, "a") {
			byPath[a.path] = a.vm.host.IP
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runs {
		if byPath[r.path] != "" && f.inRegion(r.from, "b") {
			n++
		}
	}
	return n
}

// remoteRuns returns the number of runs in region b of requests sent since a time, and of those that arrived
// after one way between the regions.
func (f *memFleet) remoteRuns(since time.Time) (all, prompt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.sent.Before(since) || !strings.HasPrefix(r.target, "i-10.1.2.") && !strings.HasPrefix(r.target, "i-10.1.3.") {
			continue
		}
		all++
		if r.at.Sub(r.sent) <= remoteBetween+remoteSlack {
			prompt++
		}
	}
	return all, prompt
}
