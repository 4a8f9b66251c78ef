package network

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"masticturn/internal/resetconn"
)

// readBuffer is the size of reads from the real connection.
const readBuffer = 8 << 10

// conn is the dialer's end of a connection. One goroutine for each direction
// moves bytes between its queue and the real connection.
type conn struct {
	network *Network
	raw     net.Conn
	way     way
	out     *queue // from the dialer to the listener
	in      *queue
	read    *deadline
	write   *deadline
	silent  chan struct{}
	once    sync.Once
	closed  sync.Once
}

var _ net.Conn = (*conn)(nil)

func newConn(n *Network, raw net.Conn, w way, delay time.Duration) *conn {
	return &conn{
		network: n,
		raw:     resetconn.Wrap(raw), // as its reads and writes are apart
		way:     w,
		out:     newQueue(delay),
		in:      newQueue(delay),
		read:    newDeadline(),
		write:   newDeadline(),
		silent:  make(chan struct{}),
	}
}

func (c *conn) start() {
	go c.sendLoop()
	go c.receiveLoop()
}

// sendLoop writes what is due to the real connection and closes it after the
// last byte, once the dialer has closed.
func (c *conn) sendLoop() {
	buf := make([]byte, readBuffer)
	for {
		n, err := c.out.take(buf, nil)
		if err != nil {
			c.end()
			return
		}
		if _, err := c.raw.Write(buf[:n]); err != nil {
			c.out.abort(err)
			c.end()
			return
		}
	}
}

// end closes the real connection, unless it is silent: then the listener's
// side must not see an end.
func (c *conn) end() {
	select {
	case <-c.silent:
		return
	default:
	}
	c.raw.Close()
	c.network.forget(c)
}

func (c *conn) receiveLoop() {
	buf := make([]byte, readBuffer)
	for {
		n, err := c.raw.Read(buf)
		if n > 0 && c.in.put(buf[:n], nil) != nil {
			return
		}
		if err != nil {
			c.in.close(err)
			return
		}
	}
}

// silence makes the connection silent for good, either way.
func (c *conn) silence() {
	c.once.Do(func() { close(c.silent) })
	c.out.silence()
	c.in.silence()
}

// reset ends the connection at once, either way.
func (c *conn) reset() {
	if socket, ok := c.raw.(*resetconn.Conn); ok {
		_ = socket.SetLinger(0)
	}
	c.out.abort(syscall.ECONNRESET)
	c.in.abort(syscall.ECONNRESET)
	c.raw.Close()
	c.network.forget(c)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.take(p, c.read)
	return n, c.wrapError("read", err)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.out.put(p, c.write); err != nil {
		return 0, c.wrapError("write", err)
	}
	return len(p), nil
}

func (c *conn) wrapError(op string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// Close implements net.Conn. What was written still arrives.
func (c *conn) Close() error {
	c.closed.Do(func() {
		c.out.close(net.ErrClosed)
		c.in.abort(net.ErrClosed)
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return nil
}
