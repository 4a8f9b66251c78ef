package target

import (
	"net"
	"sync"
)

// cutConn passes a number of bytes, read and written together, and then cuts
// the connection.
type cutConn struct {
	net.Conn
	mu   sync.Mutex
	left int64
}

func newCutConn(conn net.Conn, limit int64) *cutConn { return &cutConn{Conn: conn, left: limit} }

// take returns how many of n bytes may still pass.
func (c *cutConn) take(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := min(int64(n), c.left)
	c.left -= allowed
	return int(allowed)
}

func (c *cutConn) cut() error {
	c.Conn.Close()
	return net.ErrClosed
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if allowed := c.take(n); allowed < n {
		return allowed, c.cut()
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	allowed := c.take(len(p))
	n, err := c.Conn.Write(p[:allowed])
	if err == nil && allowed < len(p) {
		return n, c.cut()
	}
	return n, err
}
