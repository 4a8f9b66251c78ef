package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["one-address"] = playOneAddress }

// Clients of the case. All have the same address, as behind one gateway.
const (
	usualClients  = 160
	burstClients  = 272 // 1.7 times the usual, the dose of the kind "burst"
	latecomers    = 10
	latecomersFor = 5 * time.Second
)

// playOneAddress lets many clients of one address keep connections to a daemon, and others of it open new ones.
func playOneAddress(w *world, trouble bool) (verdict, error) {
	runs := newRunLog()
	w.writeManifest(1, []route{{"/plan/", "safe", "planview", "2000ms", 3}}, []string{clusterOf("planview")})
	for i, zone := range []string{"ros-a", "bb-a", "bsas-a"} {
		u := &upstream{w: w, id: fmt.Sprintf("i-plan-%02d", i), service: "planview", zone: zone, slots: 30, work: 5 * time.Millisecond, runs: runs}
		if err := u.start(100 + i); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startFleet(1); err != nil {
		return verdict{}, err
	}
	clients := usualClients
	if trouble {
		clients = burstClients
	}
	var log attemptLog
	var kept []*client
	for i := range clients {
		c := &client{front: w.daemons[0].front}
		a := &attempt{id: newID(), method: http.MethodGet, path: fmt.Sprintf("/plan/%d", i), safe: true}
		c.do(a, requestBudget)
		log.add(a)
		kept = append(kept, c)
	}
	var served, failed atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(latecomersFor)
	for i := range latecomers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c := &client{front: w.daemons[0].front}
				a := &attempt{id: newID(), method: http.MethodGet, path: fmt.Sprintf("/plan/late-%d-%d", i, n), safe: true}
				c.do(a, requestBudget)
				c.drop()
				log.add(a)
				if a.status == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	ready := w.daemons[0].isReady()
	for _, c := range kept {
		c.drop()
	}
	w.logAttempts(log.all(), runs)
	return verdict{served.Load() == 0 && ready, fmt.Sprintf("%d kept connections; new ones served %d, closed unread %d; the daemon says ready: %t", clients, served.Load(), failed.Load(), ready)}, nil
}
