package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and what came of it.
type attempt struct {
	id, method, path string
	body             []byte
	headers          string // further headers
	safe             bool
	daemon           string
	sentAt           time.Time
	status           int // 0: no answer
	signature        string
	answer           []byte
	whole            bool
	endedAt          time.Time
	err              error
}

// attemptLog holds the attempts of all clients.
type attemptLog struct {
	mu   sync.Mutex
	list []*attempt
}

func (l *attemptLog) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

func (l *attemptLog) all() []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*attempt(nil), l.list...)
}

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1)) }

// client keeps a connection to one daemon and sends one request at a time on it.
type client struct {
	front string
	conn  net.Conn
	in    *bufio.Reader
}

// do sends a request and reads its answer. It opens a connection if none is kept.
func (c *client) do(a *attempt, budget time.Duration) {
	defer func() { a.endedAt = time.Now() }()
	a.daemon = c.front
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			a.err, a.sentAt = err, time.Now()
			return
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	a.sentAt = time.Now()
	_ = c.conn.SetDeadline(a.sentAt.Add(budget))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nMasticturn-Request-Id: %s\r\nMasticturn-Deadline-Ms: %d\r\n", a.method, a.path, hostName, a.id, budget.Milliseconds())
	b.WriteString(a.headers)
	if a.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		a.err = err
		c.drop()
		return
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		c.drop()
		return
	}
	a.status, a.signature = resp.StatusCode, resp.Header.Get("Masticturn-Server-Signature")
	a.answer, err = io.ReadAll(resp.Body)
	a.whole, a.err = err == nil, err
	if err != nil || resp.Close {
		c.drop()
	}
}

// drop closes the connection.
func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// promised reports whether the answer promises that the request has not run.
func (a *attempt) promised() bool {
	return a.status == 408 || a.status == 421 || a.status == 429 || a.status == 503
}

// errText returns the error of an attempt for the record.
func (a *attempt) errText() string {
	if a.err == nil {
		return "-"
	}
	var ne net.Error
	if errors.As(a.err, &ne) && ne.Timeout() {
		return "time budget over"
	}
	return a.err.Error()
}
