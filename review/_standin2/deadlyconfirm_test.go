package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly-confirm"] = deadlyConfirm }

// deadlyConfirm sends eight requests that must not repeat, each again every eight seconds. They crash each upstream as
// soon as it begins to run them. Other requests to the same service keep connections to the upstreams in use.
func deadlyConfirm(w *world) error {
	const prefix, deadly = "/puka111/deadly-", 8
	w.putManifest(7, []rule{{"/puka111/", "unsafe", "wuno96b", "2500ms", 2, true}}, []string{"wuno96b"})
	if err := w.addServers("wuno96b", 12, 3, 60*time.Millisecond, func(s *server) {
		s.crashOn = func(r *http.Request) bool { return w.trouble && strings.HasPrefix(r.URL.Path, prefix) }
	}); err != nil {
		return err
	}
	if err := w.startNodes(); err != nil {
		return err
	}
	stop := w.confirmations(96)
	time.Sleep(5 * time.Second)
	for i, end := 0, time.Now().Add(90*time.Second); time.Now().Before(end); i++ {
		z := zones[rand.IntN(len(zones))]
		if nodes := w.resolve(z.zone, z.region); len(nodes) > 0 {
			path := prefix + strconv.Itoa(1+i%deadly)
			body := "hold of " + path
			w.send(nodes[rand.IntN(len(nodes))], http.MethodPost, path, strings.NewReader(body), int64(len(body)), hash([]byte(body)), 2500*time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	stop()
	for i := range deadly {
		w.checkDeadly(prefix + strconv.Itoa(1+i))
	}
	return nil
}

// confirmations sends requests that must not repeat, perSecond of them over all machines, until stop is called.
func (w *world) confirmations(perSecond int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	const body = "hold of the vessel"
	for i := range w.nodes {
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.Float64() * 2 * float64(len(w.nodes)) / float64(perSecond) * float64(time.Second))):
				}
				running.Go(func() {
					w.send(w.nodes[i], http.MethodPost, fmt.Sprintf("/puka111/hold-%d", 100+rand.IntN(200)), strings.NewReader(body), int64(len(body)), hash([]byte(body)), 2500*time.Millisecond)
				})
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}
