package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"time"
)

// deadlyUpload sends an upload again and again that crashes each upstream that begins to run it. Its client has a
// narrow uplink, so that the upstream crashes when only the first part of the body is in.
func deadlyUpload(w *world) error {
	const path = "/cufi502/photos-17"
	w.putManifest(7, []rule{
		{"/leny950/", "safe", "huvo11a", "2000ms", 2, true},
		{"/cufi502/", "upload", "wuno96b", "5000ms", 2, true},
	}, []string{"huvo11a", "wuno96b"})
	if err := w.addServers("huvo11a", 6, 5, 40*time.Millisecond, nil); err != nil {
		return err
	}
	if err := w.addServers("wuno96b", 6, 3, 60*time.Millisecond, func(s *server) {
		s.crashOn = func(r *http.Request) bool { return w.trouble && strings.HasPrefix(r.URL.Path, path) }
	}); err != nil {
		return err
	}
	if err := w.startNodes(); err != nil {
		return err
	}
	stop := w.background("/leny950/sheet-2")
	body := bytes.Repeat([]byte("survey photo 17 "), 12_500) // 200 KB
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Second) {
		z := zones[rand.IntN(len(zones))]
		if nodes := w.resolve(z.zone, z.region); len(nodes) > 0 {
			n := nodes[rand.IntN(len(nodes))]
			w.send(n, http.MethodPost, path, &pacedBody{rest: body, piece: 1500, every: 15 * time.Millisecond}, int64(len(body)), hash(body), 5*time.Second)
		}
	}
	stop()
	w.checkDeadly(path)
	return nil
}

// background sends a few safe requests each second to all machines until stop is called.
func (w *world) background(path string) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				w.send(w.nodes[i%len(w.nodes)], http.MethodGet, path, nil, 0, 0, 2*time.Second)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// checkDeadly checks the rule BUDGET: a request that crashes the upstreams that run it reaches upstreams in at most
// three retries that are sent later than stableWindow after it has crashed the third.
func (w *world) checkDeadly(path string) {
	w.mu.Lock()
	var crashes, arrivals []*arrival
	sentAt := map[string]time.Time{}
	for _, a := range w.attempts {
		sentAt[a.id] = a.sent
	}
	for _, a := range w.arrivals {
		if a.path != path {
			continue
		}
		arrivals = append(arrivals, a)
		if a.crashed {
			crashes = append(crashes, a)
		}
	}
	w.mu.Unlock()
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].at.Before(crashes[j].at) })
	w.record("result", "%s: %d arrivals at upstreams, %d crashes", path, len(arrivals), len(crashes))
	if len(crashes) < 3 {
		return
	}
	late := 0
	for _, a := range arrivals {
		if sentAt[a.id].After(crashes[2].at.Add(stableWindow)) {
			late++
		}
	}
	if late > 3 {
		w.fail("%s reached upstreams in %d retries sent later than stableWindow after it had crashed the third", path, late)
	}
}
