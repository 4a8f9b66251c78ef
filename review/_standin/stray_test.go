package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["1"] = playStrayBytes }

// The disruption is the kind "garble, how extra late" in the doses of the site file: share 0.6, x 0.03, for 5 s, one
// service at a time, several times.
const (
	strayUpstreams = 5 // of each service
	strayFaulty    = 3 // of them, a share of 0.6
	strayShare     = 0.03
	strayFor       = 5 * time.Second
	strayPause     = 2 * time.Second
	strayRounds    = 2 // for each service
	strayClients   = 24
	requestBudget  = 2500 * time.Millisecond
)

// strayBytes are the bytes that belong to no request: they bear neither the id nor the receipt of any. STRAY chooses
// others than those of the case, for comparison.
func strayBytes() string {
	switch os.Getenv("STRAY") {
	case "421":
		return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	case "503":
		return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"
}

// faultWindow tells when the upstreams of a service are faulty.
type faultWindow struct {
	mu      sync.Mutex
	service string
}

func (f *faultWindow) set(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service = service
}

func (f *faultWindow) is(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service == service
}

// playStrayBytes lets upstreams send bytes of no request after complete answers. They arrive late, where the next answer
// on the connection is expected.
func playStrayBytes(w *world, trouble bool) (verdict, error) {
	runs := newRunLog()
	services := []string{"planview", "holdbook"}
	w.writeManifest(1, []route{
		{"/plan/", "safe", "planview", "2000ms", 3},
		{"/hold/", "unsafe", "holdbook", "2500ms", 2},
	}, []string{clusterOf("planview"), clusterOf("holdbook")})
	window := &faultWindow{}
	for s, service := range services {
		for i, zone := range []string{"ros-a", "bb-a", "bsas-a", "ros-b", "bb-b"} {
			u := &upstream{w: w, id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zone, slots: 5, work: 40 * time.Millisecond, runs: runs}
			if i < strayFaulty {
				u.before = func(c *upstreamConn, r *http.Request) bool {
					if c.served > 0 && window.is(service) && rand.Float64() < strayShare {
						w.log("upstream %s: stray bytes arrive where the answer to %s is due", u.id, r.Header.Get("Masticturn-Request-Id"))
						_, _ = io.WriteString(c, strayBytes())
					}
					return true
				}
			}
			if err := u.start(100 + strayUpstreams*s + i); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := w.startFleet(3); err != nil {
		return verdict{}, err
	}
	var log attemptLog
	var wg sync.WaitGroup
	end := make(chan struct{})
	for i := range strayClients {
		wg.Go(func() { sendPlansOrHolds(w, i, &log, end) })
	}
	for range strayRounds {
		for _, service := range services {
			time.Sleep(strayPause)
			if trouble {
				window.set(service)
			}
			time.Sleep(strayFor)
			window.set("")
		}
	}
	close(end)
	wg.Wait()
	return judgeStray(w, log.all(), runs), nil
}

// sendPlansOrHolds sends safe requests, or unsafe ones, one after the other.
func sendPlansOrHolds(w *world, number int, log *attemptLog, end <-chan struct{}) {
	c := &client{front: w.daemons[number%len(w.daemons)].front}
	defer c.drop()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		default:
		}
		a := &attempt{id: newID(), method: http.MethodGet, path: fmt.Sprintf("/plan/%d", n), safe: true}
		if number%2 == 0 {
			a = &attempt{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/hold/%d", n), body: []byte("hold " + newID())}
		}
		c.do(a, requestBudget)
		log.add(a)
		time.Sleep(time.Duration(rand.Int63n(int64(120 * time.Millisecond))))
	}
}

// judgeStray applies the rules MIXED, REFUSED and TWICE. The case is about MIXED; the others are told.
func judgeStray(w *world, attempts []*attempt, runs *runLog) verdict {
	w.logAttempts(attempts, runs)
	served, mixed, refused, twice, others := 0, 0, 0, 0, map[string]int{}
	for _, a := range attempts {
		ran := runs.of(a.id)
		switch {
		case a.status/100 == 2 && a.whole && (a.signature == "" || string(a.answer) != string(bodyOf(a.id))):
			mixed++
			w.log("MIXED %s %s %s: answered %d, receipt %q, body %q; ran at %s", a.id, a.method, a.path, a.status, a.signature, a.answer[:min(len(a.answer), 40)], upstreamsOf(ran))
		case !a.safe && a.promised() && len(ran) > 0:
			refused++
			w.log("REFUSED %s %s %s: answered %d, ran at %s", a.id, a.method, a.path, a.status, upstreamsOf(ran))
		case a.status == 200 && a.whole:
			served++
		default:
			others[fmt.Sprintf("%d %s", a.status, a.errText())]++
		}
		if !a.safe && len(ran) > 1 {
			twice++
			w.log("TWICE %s %s %s: answered %d, ran at %s", a.id, a.method, a.path, a.status, upstreamsOf(ran))
		}
	}
	return verdict{mixed > 0 || refused > 0 || twice > 0, fmt.Sprintf("%d attempts, %d served; MIXED %d, REFUSED %d, TWICE %d; others %v",
		len(attempts), served, mixed, refused, twice, others)}
}

// upstreamsOf returns where a request ran.
func upstreamsOf(runs []run) string {
	if len(runs) == 0 {
		return "no upstream"
	}
	text := ""
	for _, r := range runs {
		text += r.upstream + " "
	}
	return text[:len(text)-1]
}
