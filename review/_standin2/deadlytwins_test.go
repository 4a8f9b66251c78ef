package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly-twins"] = deadlyTwins }

// deadlyTwins sends two requests, each again every nine seconds, that crash each upstream some time after it has begun to
// run them. Their client is one of those that repeat at once: it sends four attempts at the same moment.
func deadlyTwins(w *world) error {
	const prefix, deadly, copies = "/puka111/deadly-", 2, 4
	w.putManifest(7, []rule{{"/puka111/", "unsafe", "wuno96b", "2500ms", 2, true}}, []string{"wuno96b"})
	if err := w.addServers("wuno96b", 12, 3, 60*time.Millisecond, func(s *server) {
		s.crashOn = func(r *http.Request) bool { return w.trouble && strings.HasPrefix(r.URL.Path, prefix) }
		s.crashAfter = 300 * time.Millisecond
	}); err != nil {
		return err
	}
	if err := w.startNodes(); err != nil {
		return err
	}
	stop := w.confirmations(12)
	for i := range 5 * deadly {
		path := prefix + strconv.Itoa(1+i%deadly)
		body := "hold of " + path
		var wave sync.WaitGroup
		order := rand.Perm(len(w.nodes))
		for k := range copies {
			wave.Go(func() {
				w.send(w.nodes[order[k]], http.MethodPost, path, strings.NewReader(body), int64(len(body)), hash([]byte(body)), 2500*time.Millisecond)
			})
		}
		time.Sleep(4500 * time.Millisecond)
		wave.Wait()
	}
	stop()
	for i := range deadly {
		w.checkDeadly(prefix + strconv.Itoa(1+i))
	}
	return nil
}
