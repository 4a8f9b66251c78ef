package e2e

import (
	"fmt"
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
)

// Guards against requests to other regions that wait for a round trip to open a connection.
func TestRequestsToOtherRegionsDoNotWaitForConnections(t *testing.T) {
	for _, kind := range []string{"write", "read"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startMemFleet(t, memOptions{
					vms: 6, zones: memZones, targets: map[string]int{"a1": 1, "b1": 8, "b2": 8}, between: remoteBetween,
					document: memDocument, slots: memSlots, work: func(string) time.Duration { return memWork },
				})
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
					s.note(r.status == 200)
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
