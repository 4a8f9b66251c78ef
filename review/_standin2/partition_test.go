package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["partition"] = partitioned }

// partition stands between the machines and the upstreams: it resets the connections of the machines that are cut off.
type partition struct {
	mu    sync.Mutex
	cut   map[string]bool     // machines, by name
	conns map[net.Conn]string // open connections to upstreams and the machines that opened them
}

// admit records a new connection. It reports whether the connection may be used; one of a machine that is cut off is reset.
func (p *partition) admit(conn net.Conn, owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut[owner] {
		resetConn(conn)
		return false
	}
	p.conns[conn] = owner
	return true
}

func (p *partition) closed(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// set cuts a machine off from all upstreams, or ends that. Its open connections are reset.
func (p *partition) set(name string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[name] = cut
	for conn, owner := range p.conns {
		if cut && owner == name {
			resetConn(conn)
		}
	}
}

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// ownerOf names the machine whose process has the other end of a loopback connection, by the tables of the operating
// system; all machines connect from the same address.
func (w *world) ownerOf(conn net.Conn) string {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	from, to := procAddress(conn.RemoteAddr()), procAddress(conn.LocalAddr())
	inode := ""
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 9 && f[1] == from && f[2] == to {
			inode = f[9]
		}
	}
	for _, n := range w.nodes {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", n.cmd.Process.Pid))
		for _, link := range links {
			if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
				return n.name
			}
		}
	}
	return ""
}

// procAddress returns an address as /proc/net/tcp has it.
func procAddress(a net.Addr) string {
	tcp := a.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

const cutFor = 10 * time.Second

// partitioned cuts the machine of one zone off from all upstreams, three times, while clients, the store and the other
// machines reach it: its connections to upstreams are reset, new ones as well.
func partitioned(w *world) error {
	w.putManifest(7, []rule{
		{"/leny950/", "safe", "huvo11a", "2000ms", 2, true},
		{"/puka111/", "unsafe", "wuno96b", "2000ms", 2, true},
	}, []string{"huvo11a", "wuno96b"})
	w.partition = &partition{cut: map[string]bool{}, conns: map[net.Conn]string{}}
	for _, service := range []string{"huvo11a", "wuno96b"} {
		if err := w.addServers(service, 6, 4, 40*time.Millisecond, nil); err != nil {
			return err
		}
	}
	if err := w.startNodes(); err != nil {
		return err
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range 24 {
		running.Go(func() { w.client(zones[i%len(zones)].zone, zones[i%len(zones)].region, done) })
	}
	time.Sleep(6 * time.Second)
	for i := range 3 {
		n := w.nodes[i]
		if w.trouble {
			w.partition.set(n.name, true)
			w.note("%s is partitioned from all upstreams", n.name)
		}
		began := time.Now()
		time.Sleep(cutFor)
		w.checkPartition(n, began.Add(stableWindow), time.Now())
		w.partition.set(n.name, false)
		w.note("%s reaches the upstreams", n.name)
		time.Sleep(8 * time.Second)
	}
	close(done)
	running.Wait()
	return nil
}

// client sends requests one after the other, each on a new connection to one of the machines that the last answer of
// the directory named.
func (w *world) client(zone, region string, done chan struct{}) {
	var found []*node
	var asked time.Time
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rand.Float64() * 2 * 250 * float64(time.Millisecond))):
		}
		if time.Since(asked) > 2*time.Second {
			if nodes := w.resolve(zone, region); len(nodes) > 0 {
				found = nodes
			}
			asked = time.Now()
		}
		if len(found) == 0 {
			continue
		}
		n, object := found[rand.IntN(len(found))], rand.IntN(200)
		if rand.IntN(3) > 0 {
			w.send(n, http.MethodGet, fmt.Sprintf("/leny950/sheet-%d", object), nil, 0, 0, 2*time.Second)
			continue
		}
		body := fmt.Sprintf("hold %d of the vessel", object)
		w.send(n, http.MethodPost, fmt.Sprintf("/puka111/hold-%d", object), strings.NewReader(body), int64(len(body)), hash([]byte(body)), 2*time.Second)
	}
}

// checkPartition checks the rule RECOVER for first tries that were sent in a span of time: those at the machine that is
// cut off are served two thirds as often as those at the others, or no more than 10 + 1 in 50 of all fail there.
func (w *world) checkPartition(cut *node, from, to time.Time) {
	w.mu.Lock()
	var there, servedThere, others, servedOthers int
	for _, a := range w.attempts {
		if a.sent.Before(from) || a.ended.After(to) {
			continue
		}
		served := 0
		if a.status == http.StatusOK && a.complete {
			served = 1
		}
		if a.node == cut {
			there, servedThere = there+1, servedThere+served
		} else {
			others, servedOthers = others+1, servedOthers+served
		}
	}
	w.mu.Unlock()
	w.record("result", "%s: served at it %d of %d first tries, at the others %d of %d", cut.name, servedThere, there, servedOthers, others)
	if there == 0 || others == 0 {
		return
	}
	shareThere, shareOthers := float64(servedThere)/float64(there), float64(servedOthers)/float64(others)
	if shareThere < shareOthers*2/3 && float64(there-servedThere) > 10+float64(there+others)/50 {
		w.fail("served at %s, partitioned from all upstreams, %d of %d first tries, at the others %d of %d", cut.name, servedThere, there, servedOthers, others)
	}
}
