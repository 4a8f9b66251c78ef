package e2e

import (
	"fmt"
	"net/http"
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
				f.checkWritesOnce(attempts)
				var s served
				for _, a := range attempts {
					s.note(a.status == http.StatusOK)
				}
				through := f.runsThroughOthers(attempts)
				t.Logf("%.3f of %d served; %d writes reached region b through a VM there", s.share(), s.asked, through)
				if s.share() < remoteServedShare || through < 50 {
					t.Errorf("%.3f served, want %.2f; %d writes through other VMs, want 50", s.share(), remoteServedShare, through)
				}
			})
		})
	}
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
