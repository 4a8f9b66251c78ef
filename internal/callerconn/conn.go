// Package callerconn watches the connections of callers, so that a caller that leaves is noticed while its
// request runs, also if it has already sent further requests.
package callerconn

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxAheadBytes limits the bytes of further requests that a connection holds in memory. A caller
	// that sends more is not read until its present request is answered, and is noticed to leave only
	// then.
	maxAheadBytes = 8 << 10
	// readBytes is the size of a read ahead.
	readBytes = 2 << 10
)

// Conn is the connection of a caller to an http.Server.
//
// While a handler runs, the server reads a single byte in the background to notice that the caller leaves.
// The first byte of a further request ends that read, and the server is blind until the handler returns.
// From such a byte on, Conn reads ahead itself. When the caller leaves, it cancels the contexts of all
// requests of the connection, and requests that were not read yet are dropped.
type Conn struct {
	net.Conn
	now func() time.Time

	mu         sync.Mutex
	changed    *sync.Cond // signals changes of the fields below
	ahead      []byte     // bytes read ahead and not yet read by the server
	reading    bool       // a goroutine reads ahead
	waiting    int        // number of reads that wait for that goroutine
	deadline   time.Time  // of reads; zero: none
	timeout    error      // deadline error for a waiting read
	ended      error      // the error that ended the connection
	receivedAt time.Time  // time of the last read that received bytes
	cancel     context.CancelFunc
}

// New wraps an accepted connection. now is the clock of ReceivedAt.
func New(conn net.Conn, now func() time.Time) *Conn {
	c := &Conn{Conn: conn, now: now, cancel: func() {}, receivedAt: now()}
	c.changed = sync.NewCond(&c.mu)
	return c
}

type contextKey struct{}

// Context returns the parent context of the connection's requests, for http.Server.ConnContext. It is
// canceled when the caller leaves.
func (c *Conn) Context(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(context.WithValue(parent, contextKey{}, c))
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	return ctx
}

// ReceivedAt returns when the last bytes of a request were received, given its context. The request may
// have waited since then for the answer to the request before it. It returns the zero time if the
// connection is not known.
func ReceivedAt(ctx context.Context) time.Time {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedAt
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if n, err, done := c.readAheadOf(p); done {
		return n, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.receivedAt = c.now()
	}
	if n == 1 && len(p) == 1 && err == nil {
		c.reading = true
		go c.readAhead()
	}
	return n, err
}

// readAheadOf reads what the goroutine has read ahead, and waits for it while it runs. done is false if
// the caller must read from the connection.
func (c *Conn) readAheadOf(p []byte) (n int, err error, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting++
	for c.reading && len(c.ahead) == 0 && c.timeout == nil {
		c.changed.Wait()
	}
	c.waiting--
	switch {
	case c.ended != nil:
		return 0, c.ended, true
	case len(c.ahead) > 0:
		n = copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		if len(c.ahead) == 0 {
			c.ahead = nil
		}
		return n, nil, true
	case c.timeout != nil:
		err, c.timeout = c.timeout, nil
		return 0, err, true
	}
	return 0, nil, false
}

// readAhead reads until the connection ends, its read deadline passes, or enough is held.
func (c *Conn) readAhead() {
	var buf [readBytes]byte
	for {
		n, err := c.Conn.Read(buf[:])
		if !c.keep(buf[:n], err) {
			return
		}
	}
}

// keep holds the result of a read ahead. It reports whether to go on reading.
func (c *Conn) keep(received []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	if len(received) > 0 {
		c.ahead = append(c.ahead, received...)
		c.receivedAt = c.now()
	}
	switch {
	case err == nil:
		c.reading = len(c.ahead)+readBytes <= maxAheadBytes
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.deadlinePassed():
		// The server has lifted the deadline since. It no longer expects a timeout, and would end the connection.
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reading = false
		if c.waiting > 0 && len(c.ahead) == 0 {
			c.timeout = err
		}
	default:
		c.reading = false
		c.ended, c.ahead = err, nil
		c.cancel()
	}
	return c.reading
}

// deadlinePassed reports whether reads time out now. It goes by the time of the operating system, as deadlines of
// connections do. c.mu is held.
func (c *Conn) deadlinePassed() bool { return !c.deadline.IsZero() && !time.Now().Before(c.deadline) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	return err
}
