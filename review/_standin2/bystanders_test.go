package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["bystanders"] = bystanders }

// bystanders sends reads of popular objects, and beside them safe requests that crash each upstream some time after it
// has begun to run them, each again and again until it is held back.
func bystanders(w *world) error {
	const prefix = "/leny950/deadly-"
	w.putManifest(7, []rule{{"/leny950/", "safe", "huvo11a", "2000ms", 2, true}}, []string{"huvo11a"})
	if err := w.addServers("huvo11a", 4, 6, 200*time.Millisecond, func(s *server) {
		s.crashOn = func(r *http.Request) bool { return w.trouble && strings.HasPrefix(r.URL.Path, prefix) }
		s.crashAfter, s.downFor = 5*time.Millisecond, 2*time.Second
	}); err != nil {
		return err
	}
	if err := w.startNodes(); err != nil {
		return err
	}
	stop := w.reads(40, 40)
	time.Sleep(3 * time.Second)
	var running sync.WaitGroup
	for k := range 50 {
		running.Go(func() {
			for range 9 {
				w.send(w.nodes[rand.IntN(len(w.nodes))], http.MethodGet, fmt.Sprintf("%s%d", prefix, k), nil, 0, 0, 2*time.Second)
				time.Sleep(time.Second)
			}
		})
		if k%5 == 4 {
			time.Sleep(10 * time.Second)
		}
	}
	running.Wait()
	stop()
	w.checkDenied(prefix)
	return nil
}

// checkDenied checks the rule DENIED: no more than 5 + one in 500 of all requests are proper and answered 400.
func (w *world) checkDenied(prefix string) {
	w.mu.Lock()
	proper, denied := 0, 0
	for _, a := range w.attempts {
		if strings.HasPrefix(a.path, prefix) {
			continue
		}
		proper++
		if a.status == http.StatusBadRequest {
			denied++
		}
	}
	total := len(w.attempts)
	w.mu.Unlock()
	w.record("result", "%d proper requests, %d denied, of %d", proper, denied, total)
	if float64(denied) > 5+float64(total)/500 {
		w.fail("%d of %d proper requests were answered 400", denied, proper)
	}
}
