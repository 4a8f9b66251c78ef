package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// upstream is one upstream: a server that runs one request at a time on each connection.
type upstream struct {
	w       *world
	id      string
	service string
	zone    string
	slots   int
	born    time.Time
	work    time.Duration
	addr    string
	running atomic.Int64
	beat    atomic.Int64
	// before is called when a request has been read, before it runs; it may write to the connection. It returns false
	// to end the connection.
	before func(c *upstreamConn, r *http.Request) bool
	// respond writes the answer instead of the usual one if it is not nil.
	respond func(c *upstreamConn, r *http.Request, body []byte) bool
	runs    *runLog
	ways    *partition // nil: no daemon is ever partitioned
	crashes atomic.Int64
	mute    atomic.Bool // it can't write to the store
	// coldUntil is when the upstream is warm again, in Unix milliseconds.
	coldUntil atomic.Int64

	mu       sync.Mutex
	listener net.Listener // nil while the upstream is down
	conns    map[net.Conn]bool
}

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	in     *bufio.Reader
	served int // answers sent on this connection
}

// runLog holds what upstreams ran, by request id.
type runLog struct {
	mu   sync.Mutex
	byID map[string][]run
}

// run is one run of a request.
type run struct {
	upstream, method, path string
	body                   int
	bodySum                uint32
	at                     time.Time
}

func newRunLog() *runLog { return &runLog{byID: make(map[string][]run)} }

func (l *runLog) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = append(l.byID[id], r)
}

// of returns the runs of a request.
func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.byID[id]...)
}

// start listens and registers the upstream.
func (u *upstream) start(host int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:8500", u.w.address(host)))
	if err != nil {
		return err
	}
	u.addr = l.Addr().String()
	u.listen(l)
	u.register("ready")
	return nil
}

// listen begins a lifetime of the upstream.
func (u *upstream) listen(l net.Listener) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.born, u.listener, u.conns = time.Now(), l, make(map[net.Conn]bool)
	go u.accept(l)
}

// crash ends the upstream's process: its connections and its listener are closed. It is back after a while, as a new
// lifetime under the same id.
func (u *upstream) crash(down time.Duration) {
	u.mu.Lock()
	if u.listener == nil {
		u.mu.Unlock()
		return
	}
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.Close()
	}
	u.listener = nil
	u.mu.Unlock()
	u.crashes.Add(1)
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", u.addr)
		if err != nil {
			u.w.log("upstream %s can't start again: %v", u.id, err)
			return
		}
		u.listen(l)
		u.beat.Store(0)
		if !u.mute.Load() {
			u.register("ready")
		}
		u.w.log("upstream %s is back", u.id)
	})
}

// isUp reports whether the upstream's process runs.
func (u *upstream) isUp() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listener != nil
}

// track records a connection. It returns false if the upstream is down.
func (u *upstream) track(c net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil {
		return false
	}
	u.conns[c] = true
	return true
}

// becomeCold makes the upstream cold until a time. Its health responses tell so, and its entry if the store is up.
func (u *upstream) becomeCold(until time.Time, storeUp bool) {
	u.coldUntil.Store(until.UnixMilli())
	u.w.log("upstream %s becomes cold for %s", u.id, time.Until(until).Round(time.Millisecond))
	if storeUp {
		u.register("ready")
	}
}

// coldMS returns how long the upstream stays cold, in milliseconds.
func (u *upstream) coldMS() int64 { return max(u.coldUntil.Load()-time.Now().UnixMilli(), 0) }

// register writes the upstream's entry.
func (u *upstream) register(state string) {
	u.w.objects.Put("servers", u.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"coldRemaining":"%dms"}}`,
		u.addr, u.born.UnixMilli(), u.service, u.zone, u.slots, state, u.beat.Add(1), u.coldMS()))
}

func (u *upstream) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if !u.track(conn) {
			_ = conn.Close()
			continue
		}
		go u.serve(&upstreamConn{Conn: conn, in: bufio.NewReader(conn)})
	}
}

func (u *upstream) serve(c *upstreamConn) {
	defer c.Close()
	if u.ways != nil {
		if !u.ways.accept(c.Conn) {
			return
		}
		defer u.ways.closed(c.Conn)
	}
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if u.ways != nil && !u.ways.pass(c.Conn) {
			return
		}
		if !u.handle(c, r) {
			return
		}
		c.served++
	}
}

// handle answers one request. It returns false if the connection is to be closed.
func (u *upstream) handle(c *upstreamConn, r *http.Request) bool {
	id := r.Header.Get("Masticturn-Request-Id")
	if r.URL.Path == "/health" {
		return u.write(c, id, "200 OK", fmt.Sprintf("Masticturn-Instance-Id: %s\r\nMasticturn-Cold-Ms: %d\r\n", u.id, u.coldMS()), nil)
	}
	if want := r.Header.Get("Masticturn-Expected-Instance"); want != "" && want != u.id {
		_, _ = io.Copy(io.Discard, r.Body)
		return u.write(c, id, "421 Misdirected Request", "", nil)
	}
	if u.before != nil && !u.before(c, r) {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if u.running.Add(1) > int64(3*u.slots) {
		u.running.Add(-1)
		return u.write(c, id, "503 Service Unavailable", "Masticturn-Not-Executed: 1\r\n", nil)
	}
	defer u.running.Add(-1)
	u.runs.add(id, run{u.id, r.Method, r.URL.RequestURI(), len(body), sumOf(body), time.Now()})
	time.Sleep(u.work)
	if u.respond != nil {
		return u.respond(c, r, body)
	}
	return u.write(c, id, "200 OK", u.signature(id), bodyOf(id))
}

// signature returns the receipt of an answer.
func (u *upstream) signature(id string) string {
	return "Masticturn-Server-Signature: " + u.id + "." + id + "\r\n"
}

// write sends an answer with a length.
func (u *upstream) write(c *upstreamConn, id, status, headers string, body []byte) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\nMasticturn-Request-Id: %s\r\n%sMasticturn-Server-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n",
		status, id, headers, max(u.running.Load()-1, 0), u.slots, len(body))
	b.Write(body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string) []byte { return []byte(strings.Repeat(id+";", 60)) }

func sumOf(b []byte) uint32 {
	h := uint32(2166136261)
	for _, x := range b {
		h = (h ^ uint32(x)) * 16777619
	}
	return h
}
