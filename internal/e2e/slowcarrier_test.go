package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Parameters of fleets whose VMs carry slowly: one after the other, with responses that are late by up to
// slowCarrierMost.
const (
	slowCarrierLength   = 6 * time.Second
	slowCarrierInterval = 100 * time.Millisecond
	slowCarrierMost     = 2 * time.Second
	slowCarrierLeast    = 100 * time.Millisecond
	// slowCarrierObjective is the latency objective of the document.
	slowCarrierObjective = 400 * time.Millisecond
	drainEvery           = 5 // in intervals, while VMs are rolled
	// slowCarrierMargin is how long before its deadline a request counts as one whose time is over.
	slowCarrierMargin = 200 * time.Millisecond
)

var slowCarrierVMs = flag.String("slowcarrier.vms", "9", "sizes of the fleets of TestRequestsThroughSlowCarriersAreNotGivenUp, joined by commas")

// Guards against requests that are given up while the VM that carries them to another region delivers them late, or
// knows only that an earlier process of their VM has ended.
func TestRequestsThroughSlowCarriersAreNotGivenUp(t *testing.T) {
	for size := range strings.SplitSeq(*slowCarrierVMs, ",") {
		vms, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for _, rolled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d VMs, rolled %v", vms, rolled), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startMemFleet(t, memOptions{
						vms: vms, zones: memZones, targets: map[string]int{"b1": 5, "b2": 5}, between: remoteBetween,
						document: memDocument, slots: 1, work: func(string) time.Duration { return memWork },
					})
					defer f.stop()
					stop := f.followers(ownRequest)
					time.Sleep(remoteWarmUp)
					begin := time.Now()
					f.slowCarriers(slowCarrierLength, rolled)
					time.Sleep(slowCarrierMost)
					f.checkNotGivenUp(stop(), begin)
				})
			})
		}
	}
}

// slowCarriers holds back what VMs of region a and VMs of region b send each other, each pair for a random time. If
// rolled, VMs of region a are drained meanwhile, some at a time.
func (f *memFleet) slowCarriers(length time.Duration, rolled bool) {
	random := rand.New(rand.NewPCG(uint64(len(f.vms)), 73))
	origins, carriers := f.inZones("a"), f.inZones("b")
	var drains sync.WaitGroup
	defer drains.Wait()
	for n := 0; n < int(length/slowCarrierInterval); n++ {
		carrier := carriers[random.IntN(len(carriers))]
		late := slowCarrierLeast + time.Duration(random.Int64N(int64(slowCarrierMost-slowCarrierLeast)))
		for _, origin := range origins {
			f.net.Hold(origin.host, carrier.host)
		}
		time.AfterFunc(late, func() {
			for _, origin := range origins {
				f.net.Release(origin.host, carrier.host)
			}
		})
		if next := n / drainEvery; rolled && n%drainEvery == 0 && next < len(origins) {
			drains.Go(func() { f.drainAndStart(origins[next]) })
		}
		time.Sleep(slowCarrierInterval)
	}
}

// checkNotGivenUp checks that no request that was sent since a time has failed before its time was over, unless its
// VM had ended before it could be sent.
func (f *memFleet) checkNotGivenUp(attempts []firstAttempt, since time.Time) {
	f.t.Helper()
	ran := f.ranPaths()
	statuses := make(map[int]int)
	slow := 0
	for _, a := range attempts {
		if a.at.Before(since) {
			continue
		}
		statuses[a.status]++
		if a.took > slowCarrierObjective {
			slow++
		}
		refused := a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
		if a.status == http.StatusOK || refused || a.status == 0 && !ran[a.path] {
			continue
		}
		if a.took < memTimeout-slowCarrierMargin {
			f.t.Errorf("%s: status %d after %v", a.path, a.status, a.took)
		}
	}
	f.t.Logf("statuses %v, %d slower than the objective; %d writes through other VMs", statuses, slow, f.runsThroughOthers(attempts))
}

// ranPaths returns the paths of the requests that have reached a target.
func (f *memFleet) ranPaths() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	paths := make(map[string]bool)
	for _, r := range f.runs {
		paths[r.path] = true
	}
	return paths
}
