package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["cold-again"] = playColdAgain }

// Traffic and disruption of the case.
const (
	coldUpstreams = 6
	coldDaemons   = 6
	coldClients   = 24
	coldFor       = 3 * time.Second // coldStart
	coldPerSecond = 3.5
	coldMost      = coldPerSecond*1.5 + 5 // coldPerS × coldOver + coldSlack
	storeAwayFor  = 4500 * time.Millisecond
	coldRestart   = 300 * time.Millisecond
)

// playColdAgain lets an upstream become cold again while the store is down, so that only its health responses tell it.
func playColdAgain(w *world, trouble bool) (verdict, error) {
	runs := newRunLog()
	w.writeManifest(1, []route{{"/hold/", "unsafe", "holdbook", "2500ms", 2}}, []string{clusterOf("holdbook")})
	var first *upstream
	for i := range coldUpstreams {
		u := &upstream{w: w, id: fmt.Sprintf("i-hold-%02d", i), service: "holdbook", zone: []string{"ros-a", "bb-a", "bsas-a"}[i%3], slots: 5, work: 100 * time.Millisecond, runs: runs}
		if err := u.start(100 + i); err != nil {
			return verdict{}, err
		}
		if first == nil {
			first = u
		}
	}
	if err := w.startFleet(coldDaemons); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	var log attemptLog
	var wg sync.WaitGroup
	var ended atomic.Bool
	for i := range coldClients {
		wg.Go(func() {
			c := &client{front: w.daemons[i%len(w.daemons)].front}
			defer c.drop()
			for n := 0; !ended.Load(); n++ {
				a := &attempt{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/hold/%d-%d", i, n), body: []byte("hold " + newID())}
				c.do(a, requestBudget)
				log.add(a)
				time.Sleep(time.Duration(rand.Int63n(int64(240 * time.Millisecond))))
			}
		})
	}
	time.Sleep(stableWindow)
	if trouble {
		w.objects.SetOutage(true)
		w.log("store: down")
	}
	time.Sleep(time.Second)
	if os.Getenv("HOW") == "restart" { // under its id, at its address
		first.mute.Store(trouble)
		first.crash(coldRestart)
		time.Sleep(coldRestart)
	}
	from := time.Now()
	first.becomeCold(from.Add(coldFor), !trouble)
	time.Sleep(storeAwayFor - time.Second)
	w.objects.SetOutage(false)
	w.log("store: up")
	time.Sleep(time.Second)
	ended.Store(true)
	wg.Wait()
	w.logAttempts(log.all(), runs)
	return judgeCold(log.all(), runs, first.id, from), nil
}

// judgeCold applies the rule FAILBACK: requests that were sent and arrived inside one second.
func judgeCold(attempts []*attempt, runs *runLog, id string, from time.Time) verdict {
	type arrival struct{ sent, at time.Time }
	var arrivals []arrival
	for _, a := range attempts {
		for _, r := range runs.of(a.id) {
			if r.upstream == id && a.sentAt.After(from) && r.at.Before(from.Add(coldFor)) {
				arrivals = append(arrivals, arrival{a.sentAt, r.at})
			}
		}
	}
	fullest := 0
	for _, first := range arrivals {
		n := 0
		for _, x := range arrivals {
			if !x.sent.Before(first.sent) && x.at.Before(first.sent.Add(time.Second)) {
				n++
			}
		}
		fullest = max(fullest, n)
	}
	return verdict{float64(fullest) > coldMost, fmt.Sprintf("%d requests reached the cold upstream, %d in the fullest second (FAILBACK: %.2f at most)", len(arrivals), fullest, coldMost)}
}
