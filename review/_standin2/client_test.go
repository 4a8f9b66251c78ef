package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is a request as its client saw it.
type attempt struct {
	id, method, path string
	bodyHash         uint64
	node             *node
	sent, ended      time.Time
	status           int // 0: no answer
	complete         bool
	err              error
}

var lastID atomic.Int64

// resolve asks up to three directories, nearest first, which machines to use.
func (w *world) resolve(zone, region string) []*node {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	order := append([]*node(nil), w.nodes...)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, n := range order[:3] {
		q := url.Values{"name": {host}, "region": {region}, "zone": {zone}}
		resp, err := client.Get("http://" + n.directory + "/v1/resolve?" + q.Encode())
		if err != nil {
			continue
		}
		var answer struct{ Addresses []string }
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		var found []*node
		for _, a := range answer.Addresses {
			for _, n := range w.nodes {
				if n.front == a {
					found = append(found, n)
				}
			}
		}
		return found
	}
	return nil
}

// pacedBody sends a body at a steady pace, as over a narrow uplink.
type pacedBody struct {
	rest  []byte
	piece int
	every time.Duration
	next  time.Time
}

func (p *pacedBody) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	if wait := time.Until(p.next); wait > 0 {
		time.Sleep(wait)
	}
	p.next = time.Now().Add(p.every)
	n := copy(b, p.rest[:min(p.piece, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}

// send sends one request on a new connection and waits for its answer.
func (w *world) send(n *node, method, path string, body io.Reader, length int64, bodyHash uint64, deadline time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", lastID.Add(1)), method: method, path: path, bodyHash: bodyHash, node: n, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+n.front+path, body)
	if err != nil {
		a.err = err
		return a
	}
	if body == nil {
		req.Body = http.NoBody
	}
	req.ContentLength = length
	req.Host = host
	req.Header.Set("Masticturn-Request-Id", a.id)
	req.Header.Set("Masticturn-Affinity-Key", path[strings.LastIndex(path, "-")+1:]) // the number of the object
	req.Header.Set("Masticturn-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	w.record("sends", "request %s %s %s to %s", a.id, method, path, n.name)
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.complete = err == nil
	}
	a.err, a.ended = err, time.Now()
	w.mu.Lock()
	w.attempts = append(w.attempts, a)
	w.mu.Unlock()
	w.record("answer", "request %s status %d complete %t after %d ms", a.id, a.status, a.complete, a.ended.Sub(a.sent).Milliseconds())
	return a
}
