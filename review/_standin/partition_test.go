package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["partition"] = playPartition }

// Traffic and disruption of the case.
const (
	partDaemons   = 6
	partCut       = 2 // daemons that are partitioned from all upstreams
	partUpstreams = 12
	partClients   = 36
	partFor       = 12 * time.Second
	partBudget    = 2000 * time.Millisecond
	lookupTTL     = 2 * time.Second
)

// partition stands for the ways from some daemons to all upstreams: a proxy before the upstreams that resets the
// connections of these daemons, or lets them hang.
type partition struct {
	w     *world
	hangs bool

	mu    sync.Mutex
	cut   map[string]bool     // daemons, by name
	ended chan struct{}       // closed at the end of the cut
	conns map[net.Conn]string // open connections and the daemons that opened them
}

// begin cuts some daemons off. Their open connections are reset, unless the cut makes them hang.
func (p *partition) begin(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = make(chan struct{})
	for _, name := range names {
		p.cut[name] = true
	}
	for c, owner := range p.conns {
		if p.cut[owner] && !p.hangs {
			resetConn(c)
		}
	}
}

// end ends the cut. Connections that hung are reset.
func (p *partition) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, owner := range p.conns {
		if p.cut[owner] {
			resetConn(c)
		}
	}
	clear(p.cut)
	close(p.ended)
}

// accept records a connection. It returns false if the connection is cut off and was reset.
func (p *partition) accept(c net.Conn) bool {
	owner := p.w.ownerOf(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut[owner] && !p.hangs {
		resetConn(c)
		return false
	}
	p.conns[c] = owner
	return true
}

// pass waits while the way of a connection hangs. It returns false once the connection is not to be used.
func (p *partition) pass(c net.Conn) bool {
	p.mu.Lock()
	cut, ended := p.cut[p.conns[c]], p.ended
	p.mu.Unlock()
	if cut && p.hangs {
		<-ended
	}
	return !cut
}

func (p *partition) closed(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ownerOf returns the daemon whose process has the other end of a connection, by the tables of the operating system.
func (w *world) ownerOf(c net.Conn) string {
	inode := socketInode(c)
	for _, d := range w.daemons {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", d.cmd.Process.Pid))
		for _, link := range links {
			if to, err := os.Readlink(link); err == nil && to == "socket:["+inode+"]" {
				return d.name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the socket at the other end of a loopback connection.
func socketInode(c net.Conn) string {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	remote, local := c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr)
	from, to := procAddress(remote), procAddress(local)
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == from && f[2] == to {
			return f[9]
		}
	}
	return ""
}

// procAddress returns an address as /proc/net/tcp has it.
func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// lookup asks a directory for the daemons of a region.
func (w *world) lookup(region, zone string) []string {
	client := http.Client{Timeout: time.Second}
	at := w.daemons[rand.Intn(len(w.daemons))]
	host, _, _ := net.SplitHostPort(at.front)
	resp, err := client.Get(fmt.Sprintf("http://%s:8644/v1/resolve?name=%s&region=%s&zone=%s", host, hostName, region, zone))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(raw, &body) != nil {
		return nil
	}
	return body.Addresses
}

// playPartition partitions some daemons from all upstreams, while clients, the store and the other daemons reach them.
func playPartition(w *world, trouble bool) (verdict, error) {
	runs := newRunLog()
	w.writeManifest(1, []route{
		{"/plan/", "safe", "planview", "2000ms", 3},
		{"/hold/", "unsafe", "holdbook", "2000ms", 2},
	}, []string{clusterOf("planview"), clusterOf("holdbook")})
	ways := &partition{w: w, hangs: os.Getenv("WAY") == "hangs", cut: make(map[string]bool), conns: make(map[net.Conn]string)}
	for i := range partUpstreams {
		service := []string{"planview", "holdbook"}[i%2]
		zone := []string{"ros-a", "bb-a", "bsas-a", "ros-b", "bb-b", "bsas-b"}[i/2]
		u := &upstream{w: w, id: fmt.Sprintf("i-%s-%02d", service, i), service: service, zone: zone, slots: 4, work: 40 * time.Millisecond, runs: runs, ways: ways}
		if err := u.start(100 + i); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startFleet(partDaemons); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	var log attemptLog
	var wg sync.WaitGroup
	var ended atomic.Bool
	for i := range partClients {
		wg.Go(func() { w.followLookups(i, &log, &ended) })
	}
	time.Sleep(2 * stableWindow)
	cut := make(map[string]bool)
	var names []string
	for _, d := range w.daemons[:partCut] {
		cut[d.front] = true
		names = append(names, d.name)
	}
	began := time.Now()
	if trouble {
		ways.begin(names)
		w.log("%v are partitioned from all upstreams, hangs: %t", names, ways.hangs)
	}
	time.Sleep(partFor)
	over := time.Now()
	if trouble {
		ways.end()
		w.log("the partition ends")
	}
	time.Sleep(time.Second)
	ended.Store(true)
	wg.Wait()
	w.logAttempts(log.all(), runs)
	return judgePartition(log.all(), cut, began.Add(stableWindow), over.Add(-partBudget)), nil
}

// followLookups sends requests to the daemons that a directory names, on a kept connection.
func (w *world) followLookups(number int, log *attemptLog, ended *atomic.Bool) {
	place := [][2]string{{"rosario", "ros-a"}, {"bahia-blanca", "bb-a"}, {"buenos-aires", "bsas-a"}}[number%3]
	var addresses []string
	var asked time.Time
	c := &client{}
	defer c.drop()
	for n := 0; !ended.Load(); n++ {
		if time.Since(asked) > lookupTTL {
			if found := w.lookup(place[0], place[1]); len(found) > 0 {
				addresses, asked = found, time.Now()
			}
		}
		if len(addresses) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		named := false
		for _, a := range addresses {
			named = named || a == c.front
		}
		if !named {
			c.drop()
		}
		if c.conn == nil {
			c.front = addresses[rand.Intn(len(addresses))]
		}
		a := &attempt{id: newID(), method: http.MethodGet, path: fmt.Sprintf("/plan/%d-%d", number, n), safe: true}
		if n%2 == 0 {
			a = &attempt{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/hold/%d-%d", number, n), body: []byte("hold " + newID())}
		}
		c.do(a, partBudget)
		log.add(a)
		time.Sleep(time.Duration(100+rand.Intn(300)) * time.Millisecond)
	}
}

// judgePartition applies the rule RECOVER on partitioned machines to the tries sent in a time. Each try is a first one.
func judgePartition(attempts []*attempt, cut map[string]bool, from, until time.Time) verdict {
	tries, served := map[bool]int{}, map[bool]int{}
	lost, statuses := 0, map[string]int{}
	for _, a := range attempts {
		if a.sentAt.Before(from) || a.sentAt.After(until) {
			continue
		}
		at := cut[a.daemon]
		tries[at]++
		if a.status == http.StatusOK && a.whole {
			served[at]++
			continue
		}
		if at {
			key := strconv.Itoa(a.status)
			if a.status == 0 {
				key = a.errText()
			}
			statuses[key]++
			if !a.safe && !a.promised() {
				lost++
			}
		}
	}
	failed := tries[true] - served[true]
	share := func(at bool) float64 { return float64(served[at]) / float64(max(tries[at], 1)) }
	broken := tries[true] > 0 && share(true) < 2.0/3*share(false) && float64(failed) > 10+float64(tries[true]+tries[false])/50
	return verdict{broken, fmt.Sprintf("first tries served at the partitioned daemons: %d of %d, at the others: %d of %d (RECOVER: two thirds as often, at least); "+
		"%d of the failed ones are holds of unknown outcome; failed: %v", served[true], tries[true], served[false], tries[false], lost, statuses)}
}
