package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = playPoison }

// Traffic and disruption of the case.
const (
	poisonUpstreams = 14
	poisonDaemons   = 6
	poisonClients   = 24
	poisonFor       = 20 * time.Second // the length of the kind "poison, how deadly"
	poisonPause     = time.Second      // between two tries of its client
	poisonRunsFor   = 30 * time.Millisecond
	poisonDown      = 3 * time.Second // until a crashed upstream is back
	poisonPath      = "/plan/poison"
	poisonBudget    = 2000 * time.Millisecond
	poisonMost      = 3 // retries that may reach upstreams later than stableWindow after the third crash
)

// poisonHits are the moments at which the request reached upstreams.
type poisonHits struct {
	mu   sync.Mutex
	list []time.Time
}

func (h *poisonHits) add(at time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, at)
	return len(h.list)
}

// playPoison lets one client repeat a request that crashes each upstream that runs it. The client authenticates by HTTP
// Digest, so that its Authorization header differs with each try.
func playPoison(w *world, trouble bool) (verdict, error) {
	runs := newRunLog()
	w.writeManifest(1, []route{
		{"/plan/", "safe", "planview", "2000ms", 3},
		{"/survey/", "upload", "planview", "2000ms", 2},
	}, []string{clusterOf("planview")})
	hits := &poisonHits{}
	for i := range poisonUpstreams {
		zone := []string{"ros-a", "bb-a", "bsas-a", "ros-b", "bb-b", "bsas-b"}[i%6]
		u := &upstream{w: w, id: fmt.Sprintf("i-plan-%02d", i), service: "planview", zone: zone, slots: 5, work: 60 * time.Millisecond, runs: runs}
		u.before = func(_ *upstreamConn, r *http.Request) bool {
			if r.URL.Path != poisonPath {
				return true
			}
			n := hits.add(time.Now())
			w.log("upstream %s begins to run the poison, run %d of it, and crashes", u.id, n)
			time.Sleep(poisonRunsFor)
			u.crash(poisonDown)
			return false
		}
		if err := u.start(100 + i); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startFleet(poisonDaemons); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	var log attemptLog
	var wg sync.WaitGroup
	var ended atomic.Bool
	for i := range poisonClients {
		wg.Go(func() {
			c := &client{front: w.daemons[i%len(w.daemons)].front}
			defer c.drop()
			for n := 0; !ended.Load(); n++ {
				a := &attempt{id: newID(), method: http.MethodGet, path: fmt.Sprintf("/plan/%d-%d", i, n), safe: true}
				if i%3 == 0 {
					a = &attempt{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/survey/%d-%d", i, n), body: []byte(strings.Repeat(newID(), 500))}
				}
				c.do(a, poisonBudget)
				log.add(a)
				time.Sleep(time.Duration(rand.Int63n(int64(200 * time.Millisecond))))
			}
		})
	}
	time.Sleep(stableWindow)
	for n, end := 1, time.Now().Add(poisonFor); time.Now().Before(end); n++ {
		if trouble {
			w.sendPoison(n)
		}
		time.Sleep(poisonPause)
	}
	ended.Store(true)
	wg.Wait()
	w.logAttempts(log.all(), runs)
	return judgePoison(w, log.all(), hits.list), nil
}

// sendPoison sends the request once, to a daemon by chance.
func (w *world) sendPoison(n int) {
	c := &client{front: w.daemons[rand.Intn(len(w.daemons))].front}
	defer c.drop()
	a := &attempt{id: newID(), method: http.MethodGet, path: poisonPath, safe: true}
	a.headers = fmt.Sprintf("Authorization: Digest username=\"marta\", realm=\"estiba\", nonce=\"dcd98b7102dd\", uri=%q, qop=auth, "+
		"nc=%08x, cnonce=\"0a4f113b\", response=\"%016x%016x\"\r\n", poisonPath, n, rand.Uint64(), rand.Uint64())
	if os.Getenv("CREDENTIALS") == "same" { // for comparison
		a.headers = "Authorization: Basic bWFydGE6eA==\r\n"
	}
	c.do(a, poisonBudget)
	w.log("client: try %d of the poison at %s answered %d %s", n, c.front, a.status, a.errText())
}

// judgePoison applies the part of the rule BUDGET on requests that crash upstreams.
func judgePoison(w *world, attempts []*attempt, hits []time.Time) verdict {
	late := 0
	for _, at := range hits {
		if len(hits) >= 3 && at.After(hits[2].Add(stableWindow)) {
			late++
		}
	}
	uploads, lost, plans, unserved := 0, 0, 0, 0
	for _, a := range attempts {
		ok := a.status == http.StatusOK && a.whole
		switch {
		case a.safe:
			plans++
			if !ok {
				unserved++
			}
		default:
			uploads++
			if !ok && !a.promised() {
				lost++
				w.log("survey %s: answered %d %s", a.id, a.status, a.errText())
			}
		}
	}
	return verdict{late > poisonMost, fmt.Sprintf("the request reached upstreams %d times, %d of them later than %s after the third crash (BUDGET: %d at most); "+
		"%d of %d uploads of others lost, %d of %d reads of others not served", len(hits), late, stableWindow, poisonMost, lost, uploads, unserved, plans)}
}
