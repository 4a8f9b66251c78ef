package main

import (
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["second-signal"] = playSecondSignal }

// Traffic and disruption of the case.
const (
	signalClients = 36
	signalWork    = 600 * time.Millisecond
	stopGrace     = 6 * time.Second
	secondAfter   = 1500 * time.Millisecond // from the first SIGTERM to the second one
)

func playSecondSignal(w *world, trouble bool) (verdict, error) {
	runs := newRunLog()
	w.writeManifest(1, []route{{"/hold/", "unsafe", "holdbook", "2500ms", 2}}, []string{clusterOf("holdbook")})
	for i, zone := range []string{"ros-a", "bb-a", "bsas-a", "ros-a", "bb-a", "bsas-a", "ros-a", "bb-a", "bsas-a"} {
		u := &upstream{w: w, id: fmt.Sprintf("i-hold-%d", i), service: "holdbook", zone: zone, slots: 5, work: signalWork, runs: runs}
		if err := u.start(100 + i); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startFleet(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	var log attemptLog
	var wg sync.WaitGroup
	var ended atomic.Bool
	for i := range signalClients {
		wg.Go(func() {
			c := &client{front: w.daemons[i%len(w.daemons)].front}
			defer c.drop()
			for n := 0; !ended.Load(); n++ {
				a := &attempt{id: newID(), method: "POST", path: fmt.Sprintf("/hold/%d-%d", i, n), body: []byte("hold " + newID())}
				c.do(a, requestBudget)
				log.add(a)
				pause := 100 * time.Millisecond
				if a.status == 0 { // the daemon is away
					pause = 500 * time.Millisecond
				}
				time.Sleep(pause + time.Duration(rand.Int63n(int64(100*time.Millisecond))))
			}
		})
	}
	signalled := map[string][]time.Time{}
	for _, d := range w.daemons {
		time.Sleep(5 * time.Second)
		signalled[d.front] = append(signalled[d.front], time.Now())
		d.signal(syscall.SIGTERM)
		if trouble {
			time.Sleep(secondAfter)
			d.signal(syscall.SIGTERM)
		}
		select {
		case <-d.done:
		case <-time.After(time.Until(signalled[d.front][0].Add(stopGrace))):
			d.signal(syscall.SIGKILL)
			<-d.done
		}
		time.Sleep(500 * time.Millisecond)
		if err := d.start(); err != nil {
			return verdict{}, err
		}
		if !waitFor(10*time.Second, d.isReady) {
			return verdict{}, fmt.Errorf("%s is not ready again", d.name)
		}
	}
	ended.Store(true)
	wg.Wait()
	time.Sleep(time.Second)
	w.logAttempts(log.all(), runs)
	lost, served, others := 0, 0, map[string]int{}
	for _, a := range log.all() {
		ran := runs.of(a.id)
		switch {
		case a.status != 0 && a.whole:
			others[fmt.Sprint(a.status)]++
			if a.status == 200 {
				served++
			}
		case len(ran) > 0 && a.endedAt.Sub(a.sentAt) < requestBudget-100*time.Millisecond:
			lost++
			w.log("LOST %s %s: sent %.3f, runs at %s since %.3f, connection ends without an answer at %.3f: %s", a.id, a.path,
				a.sentAt.Sub(w.began).Seconds(), ran[0].upstream, ran[0].at.Sub(w.began).Seconds(), a.endedAt.Sub(w.began).Seconds(), a.errText())
		default:
			others[a.errText()]++
		}
	}
	return verdict{lost > 0, fmt.Sprintf("attempts %d, served %d, passed on and ended without an answer (LOST) %d, statuses %v", len(log.all()), served, lost, others)}, nil
}
