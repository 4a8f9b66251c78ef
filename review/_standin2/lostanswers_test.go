package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["lost-answers"] = lostAnswers }

// lostAnswers plays upstreams of a safe route that run requests in a few milliseconds, some of which lose the answers
// of a part of them for some seconds: they run the request and reset its connection.
func lostAnswers(w *world) error {
	const maxAttempts = 2
	w.putManifest(7, []rule{{"/leny950/", "safe", "huvo11a", "2000ms", maxAttempts, false}}, []string{"huvo11a"})
	var losing atomic.Bool
	if err := w.addServers("huvo11a", 10, 5, 5*time.Millisecond, func(s *server) {
		if len(w.servers) < 6 { // a share of 0.6
			s.loseAnswer = func() bool { return losing.Load() && rand.Float64() < 0.2 }
		}
	}); err != nil {
		return err
	}
	if err := w.startNodes(); err != nil {
		return err
	}
	stop := w.reads(180, 200)
	for range 8 {
		time.Sleep(6 * time.Second)
		losing.Store(w.trouble)
		time.Sleep(4 * time.Second)
		losing.Store(false)
	}
	stop()
	w.checkAttempts(maxAttempts)
	return nil
}

// reads sends safe requests about some objects, perSecond of them over all machines, until stop is called.
func (w *world) reads(perSecond, objects int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range w.nodes {
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.Float64() * 2 * float64(len(w.nodes)) / float64(perSecond) * float64(time.Second))):
				}
				running.Go(func() {
					w.send(w.nodes[i], http.MethodGet, fmt.Sprintf("/leny950/sheet-%d", rand.IntN(objects)), nil, 0, 0, 2*time.Second)
				})
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// checkAttempts checks the rule BUDGET: at most three requests of clients run, in one client attempt, on more upstreams
// than their route's maxAttempts.
func (w *world) checkAttempts(maxAttempts int) {
	w.mu.Lock()
	ran := map[string]map[string]bool{}
	for _, a := range w.arrivals {
		if ran[a.id] == nil {
			ran[a.id] = map[string]bool{}
		}
		ran[a.id][a.server] = true
	}
	over := 0
	for _, servers := range ran {
		if len(servers) > maxAttempts {
			over++
		}
	}
	w.mu.Unlock()
	w.record("result", "%d requests ran, %d of them on more than %d upstreams", len(ran), over, maxAttempts)
	if over > 3 {
		w.fail("%d requests ran on more upstreams than the route's maxAttempts, which is %d", over, maxAttempts)
	}
}
