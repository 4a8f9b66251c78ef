package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"masticturn/internal/standin/network"
)

// Parameters of callers that follow look-ups: so many for each region, each of which sends a request
// every interval.
const (
	followersPerRegion = 12
	followerInterval   = 250 * time.Millisecond
)

// firstAttempt is what came of a caller's first attempt.
type firstAttempt struct {
	call
	at     time.Time
	vm     *memVM
	status int
	took   time.Duration
}

// follower is a caller that uses the VMs that look-ups return.
type follower struct {
	fleet   *memFleet
	client  *http.Client
	zone    string
	random  *rand.Rand
	keepFor time.Duration // how long it uses a look-up

	addresses  []string
	lookedUpAt time.Time
}

// followers starts callers in all availability zones. stop ends them and returns their first attempts.
func (f *memFleet) followers(request func(n int) call) (stop func() []firstAttempt) {
	ctx, cancel := context.WithCancel(f.t.Context())
	var (
		group    sync.WaitGroup
		mu       sync.Mutex
		attempts []firstAttempt
	)
	for i := range followersPerRegion * 2 {
		c := &follower{
			fleet: f, zone: memZones[i%len(memZones)], random: rand.New(rand.NewPCG(uint64(i), 5)),
			keepFor: []time.Duration{2 * time.Second, 6 * time.Second, 15 * time.Second}[i%3],
		}
		c.client = f.newClient(c.zone)
		group.Go(func() {
			var sent sync.WaitGroup
			defer c.client.CloseIdleConnections()
			defer sent.Wait()
			time.Sleep(time.Duration(i) * followerInterval / (2 * followersPerRegion))
			for n := 0; ctx.Err() == nil; n++ {
				number := n*2*followersPerRegion + i
				v := c.pick()
				sent.Go(func() {
					a := c.attempt(v, request(number))
					mu.Lock()
					defer mu.Unlock()
					attempts = append(attempts, a)
				})
				time.Sleep(followerInterval)
			}
		})
	}
	return func() []firstAttempt {
		cancel()
		group.Wait()
		return attempts
	}
}

func (c *follower) attempt(v *memVM, request call) firstAttempt {
	a := firstAttempt{call: request, at: time.Now(), vm: v}
	a.status = c.fleet.send(c.client, v, request).status
	a.took = time.Since(a.at)
	return a
}

// pick returns one of the VMs of the caller's latest look-up.
func (c *follower) pick() *memVM {
	if time.Since(c.lookedUpAt) > c.keepFor {
		c.lookUp()
	}
	address := c.addresses[c.random.IntN(len(c.addresses))]
	i := slices.IndexFunc(c.fleet.vms, func(v *memVM) bool { return v.host.IP+":8641" == address })
	return c.fleet.vms[i]
}

// lookUp asks the VMs in turn, and keeps what it has if none answers.
func (c *follower) lookUp() {
	for _, v := range c.fleet.vms {
		resp, err := c.client.Get(fmt.Sprintf("http://%s:8644/v1/resolve?name=one.example&region=%s&zone=%s", v.host.IP, memPlaces[c.zone], c.zone))
		if err != nil {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var answer struct{ Addresses []string }
		if err == nil && json.Unmarshal(raw, &answer) == nil && len(answer.Addresses) > 0 {
			c.addresses, c.lookedUpAt = answer.Addresses, time.Now()
			return
		}
	}
}

// partition is a way in which a VM loses its connections to targets.
type partition string

const (
	partitionHangs   partition = "connections hang"
	partitionResets  partition = "connections are reset"
	partitionRefuses partition = "new connections are refused"
)

// cut partitions VMs from targets; heal ends that.
func (f *memFleet) cut(how partition, vms []*memVM, targets []*memTarget) (heal func()) {
	each := func(do func(v, g network.Host)) {
		for _, v := range vms {
			for _, g := range targets {
				do(v.host, g.host)
			}
		}
	}
	switch how {
	case partitionHangs:
		each(f.net.Hold)
		return func() { each(f.net.Release) }
	case partitionResets:
		each(func(v, g network.Host) { f.net.Refuse(v, g, true); f.net.Reset(v, g) })
	case partitionRefuses:
		each(func(v, g network.Host) { f.net.Refuse(v, g, true) })
	}
	return func() { each(func(v, g network.Host) { f.net.Refuse(v, g, false) }) }
}

// Bounds on first attempts while VMs are partitioned from targets, from memStable after the cut on.
const (
	partitionedServedRatio = 2.0 / 3 // of the share that is served at the other VMs
	partitionedFailed      = 10      // and one in partitionedFailedOf
	partitionedFailedOf    = 50
	partitionedServed      = 0.99 // at the partitioned VMs
)

// checkPartitioned checks the first attempts that were sent in a span.
func checkPartitioned(t *testing.T, when string, attempts []firstAttempt, vms []*memVM, from, to time.Time) {
	t.Helper()
	var there, elsewhere served
	statuses := make(map[int]int)
	slowest := time.Duration(0)
	for _, a := range attempts {
		if a.at.Before(from) || a.at.After(to) {
			continue
		}
		s := &elsewhere
		if slices.Contains(vms, a.vm) {
			s = &there
			statuses[a.status]++
			slowest = max(slowest, a.took)
		}
		s.note(a.status == http.StatusOK)
	}
	t.Logf(when+": served at partitioned VMs %d of %d, statuses %v, slowest %v; elsewhere %d of %d",
		there.answers, there.asked, statuses, slowest, elsewhere.answers, elsewhere.asked)
	failed := there.asked - there.answers + elsewhere.asked - elsewhere.answers
	if there.share() < partitionedServedRatio*elsewhere.share() && failed > partitionedFailed+(there.asked+elsewhere.asked)/partitionedFailedOf {
		t.Errorf("%s: partitioned VMs serve %.3f of first attempts, the others %.3f", when, there.share(), elsewhere.share())
	}
	if there.asked > 0 && there.share() < partitionedServed {
		t.Errorf("%s: partitioned VMs serve %.3f of first attempts, want %.2f", when, there.share(), partitionedServed)
	}
	if elsewhere.asked > 0 && elsewhere.share() < partitionedServed {
		t.Errorf("%s: the other VMs serve %.3f of first attempts, want %.2f", when, elsewhere.share(), partitionedServed)
	}
}

// checkWritesOnce checks that no write ran twice, and that none ran that was answered as not run.
func (f *memFleet) checkWritesOnce(attempts []firstAttempt) {
	f.t.Helper()
	runs := make(map[string]int)
	f.mu.Lock()
	for _, r := range f.runs {
		runs[r.path]++
	}
	f.mu.Unlock()
	for _, a := range attempts {
		n := runs[a.path]
		if !strings.HasPrefix(a.path, "/write/") {
			continue
		}
		if n > 1 {
			f.t.Errorf("%s ran %d times", a.path, n)
		}
		if n > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			f.t.Errorf("%s ran and was answered with %d", a.path, a.status)
		}
	}
}

// inZones returns the VMs of availability zones or regions.
func (f *memFleet) inZones(zones ...string) []*memVM {
	var vms []*memVM
	for _, v := range f.vms {
		if slices.Contains(zones, v.host.Zone) || slices.Contains(zones, memPlaces[v.host.Zone]) {
			vms = append(vms, v)
		}
	}
	return vms
}
